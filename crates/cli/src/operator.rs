//! The `fleet` subcommands of operators that need the fleet's agreement on which workers and schedulers may be
//! out of service: drains, releases and halts.

use crate::CommandError;
use crate::args::{FleetCommand, OperatorOptions};
use basaltward_peers::send_operator_command;
use basaltward_permits::{
    Denied, OperatorCommand, OperatorReply, Permit, PermitRequest, PermitResult, PermitStatus, Subject,
    name_hash, worker_subject,
};
use serde_json::json;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// How long a permit may be acted on, counted from when it was requested. The leader relies on this bound: later than
/// that, it removes the permit of a scheduler that is in use.
const PERMIT_USE_LIMIT: Duration = Duration::from_secs(2);
/// Wait before a denied or unanswered request is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Runs a `fleet` subcommand other than `view`.
pub fn run(command: &FleetCommand) -> Result<(), CommandError> {
    match command {
        FleetCommand::Status(options) => print_status(options),
        FleetCommand::Drain { worker: name, dry_run, wait, options } => {
            let subject = worker_subject(name);
            if *dry_run {
                return check_permit(options, name, subject);
            }
            let deadline = Instant::now() + Duration::from_secs(*wait);
            let (number, _) = acquire_permit(options, name, subject, deadline)?;
            print_step(options, name, "drained", json!({"permit": number}));
            wait_until_clear(options, name, (subject, number), deadline)
        }
        FleetCommand::Back { worker: name, options } => {
            let subject = worker_subject(name);
            let number = find_permit(options, subject)?.number;
            request_granted(options, PermitRequest::Return(subject, number))?;
            print_step(options, name, "back", json!({}));
            Ok(())
        }
        FleetCommand::WriteOff { subject: name, scheduler, options } => {
            let subject = if *scheduler {
                Subject::Scheduler(parse_scheduler_number(name)?)
            } else {
                worker_subject(name)
            };
            request_granted(options, PermitRequest::WriteOff(subject))?;
            print_step(options, name, "written off", json!({}));
            Ok(())
        }
        FleetCommand::Release { run, to, from, back: _, dry_run, wait, options } => {
            let wait = Duration::from_secs(*wait);
            run_release(options, &Release { run, to: to.as_deref(), from, dry_run: *dry_run, wait })
        }
        FleetCommand::Halt(options) => match send_command(options, OperatorCommand::Halt)? {
            OperatorReply::Halted(halt) => {
                print_step(options, "all", "halted", json!({"count": halt.count}));
                Ok(())
            }
            _ => Err(unexpected_reply()),
        },
        FleetCommand::Resume(options) => {
            let halt = status(options)?.halt;
            request_granted(options, PermitRequest::Resume(halt.count))?;
            print_step(options, "all", "resumed", json!({"count": halt.count}));
            Ok(())
        }
        FleetCommand::View { .. } => Ok(()),
    }
}

fn unexpected_reply() -> CommandError {
    CommandError::Run("the reply is of another kind than the request".into())
}

fn parse_scheduler_number(name: &str) -> Result<u16, CommandError> {
    name.parse().map_err(|_| CommandError::Input(format!("{name} is not a scheduler's number")))
}

/// Prints a step as one line or as one JSON object.
fn print_step(options: &OperatorOptions, subject: &str, step: &str, details: serde_json::Value) {
    if options.json {
        println!("{}", json!({"of": subject, "what": step, "more": details}));
    } else if details.as_object().is_some_and(|details| !details.is_empty()) {
        println!("{subject}: {step} {details}");
    } else {
        println!("{subject}: {step}");
    }
}

/// Sends a command to the given schedulers in turn and returns the first reply.
fn send_command(options: &OperatorOptions, command: OperatorCommand) -> Result<OperatorReply, CommandError> {
    let mut last_error = CommandError::Input("no scheduler address given".into());
    for address in &options.schedulers {
        match send_operator_command(*address, command) {
            Ok(reply) => return Ok(reply),
            Err(error) => last_error = CommandError::Run(format!("{address}: {error}")),
        }
    }
    Err(last_error)
}

/// Forwards a request to the leader.
fn send_request(options: &OperatorOptions, request: PermitRequest) -> Result<PermitResult, CommandError> {
    match send_command(options, OperatorCommand::Request(request))? {
        OperatorReply::Answer(result) => Ok(result),
        _ => Err(unexpected_reply()),
    }
}

/// Like [`send_request`], but a denial is an error. Returns the number in the leader's reply.
fn request_granted(options: &OperatorOptions, request: PermitRequest) -> Result<u16, CommandError> {
    send_request(options, request)?.map_err(|denied| CommandError::Run(denied.to_string()))
}

fn status(options: &OperatorOptions) -> Result<PermitStatus, CommandError> {
    match send_command(options, OperatorCommand::Status)? {
        OperatorReply::Status(status) => Ok(status),
        _ => Err(unexpected_reply()),
    }
}

fn find_permit(options: &OperatorOptions, subject: Subject) -> Result<Permit, CommandError> {
    let permits = status(options)?.permits;
    let permit = permits.into_iter().find(|permit| permit.subject == subject);
    permit.ok_or_else(|| CommandError::Run("it has no permit in force".into()))
}

/// Prints whether a permit would be granted now, without acquiring it.
fn check_permit(options: &OperatorOptions, name: &str, subject: Subject) -> Result<(), CommandError> {
    match send_request(options, PermitRequest::Check(subject))? {
        Ok(_) => print_step(options, name, "might go now", json!({})),
        Err(denied) => print_step(options, name, "might not go now", json!({"why": denied.to_string()})),
    }
    Ok(())
}

/// Requests a permit until it is granted. Returns the permit's number and when it was requested. Returns an error at
/// the deadline, or at once on a denial that a retry can't change.
///
/// If a reply of this command may have been lost and the worker then has a permit already, that permit counts as
/// acquired: the worker is drained, no matter which operator requested it. A scheduler's permit may belong to another
/// operator who is restarting it now, so it is not taken over; an unused permit expires.
fn acquire_permit(
    options: &OperatorOptions,
    name: &str,
    subject: Subject,
    deadline: Instant,
) -> Result<(u16, Instant), CommandError> {
    let mut printed_reason = None;
    let mut reply_may_be_lost = false;
    loop {
        let requested_at = Instant::now();
        let reason = match send_request(options, PermitRequest::Acquire(subject)) {
            Ok(Ok(number)) => return Ok((number, requested_at)),
            Ok(Err(Denied::Taken(number))) if reply_may_be_lost && matches!(subject, Subject::Worker(_)) => {
                return Ok((number, requested_at));
            }
            Ok(Err(denied @ Denied::Unknown)) => return Err(CommandError::Run(format!("{name}: {denied}"))),
            Ok(Err(denied @ Denied::Taken(_))) if !reply_may_be_lost => {
                return Err(CommandError::Run(format!("{name}: {denied}")));
            }
            Ok(Err(denied)) => {
                reply_may_be_lost |= matches!(denied, Denied::NoLeader | Denied::Stale);
                denied.to_string()
            }
            Err(CommandError::Run(error) | CommandError::Input(error)) => {
                reply_may_be_lost = true;
                error
            }
        };
        if Instant::now() >= deadline {
            return Err(CommandError::Run(format!("{name}: {reason}")));
        }
        if printed_reason.as_ref() != Some(&reason) {
            print_step(options, name, "waits", json!({"why": reason}));
            printed_reason = Some(reason);
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Waits until every scheduler has reported that none of its requests is in flight to a drained worker. The queried
/// scheduler must have received this drain first: until then its count covers other drains only.
fn wait_until_clear(
    options: &OperatorOptions,
    name: &str,
    (subject, number): (Subject, u16),
    deadline: Instant,
) -> Result<(), CommandError> {
    loop {
        let PermitStatus { unclear, permits, .. } = status(options)?;
        let drain_known = permits
            .iter()
            .any(|permit| (permit.subject, permit.number, permit.returned) == (subject, number, false));
        if unclear == 0 && drain_known {
            print_step(options, name, "clear", json!({}));
            return Ok(());
        }
        if Instant::now() >= deadline {
            return Err(CommandError::Run(format!(
                "{name}: {unclear} schedulers have not reported that none of their requests are in flight there"
            )));
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Prints the status of permits, halt and release as seen by one scheduler.
fn print_status(options: &OperatorOptions) -> Result<(), CommandError> {
    let status = status(options)?;
    if options.json {
        println!("{}", serde_json::to_string(&status)?);
        return Ok(());
    }
    let leader = status.leader.map_or("nobody".into(), |number| format!("n{number}"));
    let halted = if status.halt.on { ", HALTED" } else { "" };
    println!("by n{}: leader {leader}{halted}", status.own);
    println!("out: {} schedulers, {} workers; unclear: {}", status.out.0, status.out.1, status.unclear);
    if let Some((plan, updated)) = &status.plan {
        let kind = if plan.rollback { "rollback" } else { "release" };
        println!("{kind} {}: {updated} run version {:08x}, from {:08x}", plan.number, plan.to, plan.from);
    }
    for permit in &status.permits {
        let returned = if permit.returned { ", returned" } else { "" };
        println!("permit {}: {:?}{returned}", permit.number, permit.subject);
    }
    Ok(())
}

/// Arguments of `fleet release`.
struct Release<'a> {
    /// The program that restarts one scheduler with the new version.
    run: &'a Path,
    /// The name of the new version, `None` for a rollback.
    to: Option<&'a str>,
    /// The name of the version that all run now.
    from: &'a str,
    dry_run: bool,
    /// The longest wait for one step.
    wait: Duration,
}

/// Returns the number of the fleet's current plan if it is the one requested, or else of a new plan.
fn find_or_start_plan(options: &OperatorOptions, release: &Release) -> Result<u16, CommandError> {
    let current = status(options)?.plan.map(|(plan, _)| plan);
    let (to, from, rollback) = match (release.to, current) {
        (Some(name), Some(plan)) if plan.to == name_hash(name) && !plan.rollback => return Ok(plan.number),
        (Some(name), Some(plan)) => (name_hash(name), plan.to, false),
        (Some(name), None) => (name_hash(name), name_hash(release.from), false),
        (None, Some(plan)) if plan.rollback => return Ok(plan.number),
        (None, Some(plan)) => (plan.from, plan.to, true),
        (None, None) => return Err(CommandError::Run("there is no release to roll back".into())),
    };
    request_granted(options, PermitRequest::Plan { to, from, rollback })
}

/// Carries out the steps of a plan that the fleet stores. If this process dies, the same command run again continues
/// the plan; a permit that is not acted on expires.
fn run_release(options: &OperatorOptions, release: &Release) -> Result<(), CommandError> {
    if release.dry_run {
        return print_status(options);
    }
    let mut deadline = Instant::now() + release.wait;
    let number = loop {
        match find_or_start_plan(options, release) {
            Ok(number) => break number,
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => std::thread::sleep(RETRY_INTERVAL),
        }
    };
    print_step(options, "release", "goes on", json!({"plan": number}));
    loop {
        let requested_at = Instant::now();
        let reason = match send_request(options, PermitRequest::Next(number)) {
            Ok(Err(Denied::Over)) => {
                print_step(options, "release", "done", json!({"plan": number}));
                return Ok(());
            }
            Ok(Err(denied @ (Denied::Halted | Denied::Stale))) => {
                return Err(CommandError::Run(denied.to_string()));
            }
            Ok(Err(denied)) => denied.to_string(),
            Err(CommandError::Run(error) | CommandError::Input(error)) => error,
            Ok(Ok(permit)) => {
                restart_next(options, release.run, permit, requested_at)?;
                deadline = Instant::now() + release.wait;
                continue;
            }
        };
        if Instant::now() >= deadline {
            return Err(CommandError::Run(format!("no step for {} s: {reason}", release.wait.as_secs())));
        }
        std::thread::sleep(RETRY_INTERVAL);
    }
}

/// Restarts the scheduler that a permit names, unless the permit may no longer be acted on.
fn restart_next(
    options: &OperatorOptions,
    run: &Path,
    permit: u16,
    requested_at: Instant,
) -> Result<(), CommandError> {
    let number = loop {
        let permits = status(options)?.permits;
        let granted = permits.iter().find(|granted| granted.number == permit && !granted.returned);
        if let Some(Subject::Scheduler(number)) = granted.map(|granted| granted.subject) {
            break number;
        }
        if requested_at.elapsed() >= PERMIT_USE_LIMIT {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    let (name, subject) = (format!("n{number}"), Subject::Scheduler(number));
    // The reply may have been delayed: check the time right before acting on the permit.
    if requested_at.elapsed() >= PERMIT_USE_LIMIT {
        let _ = send_request(options, PermitRequest::Return(subject, permit));
        return Ok(());
    }
    print_step(options, &name, "goes", json!({"permit": permit}));
    let status = Command::new(run).arg(number.to_string()).status()?;
    if !status.success() {
        let _ = send_command(options, OperatorCommand::Halt);
        return Err(CommandError::Run(format!(
            "{name}: {} failed: {status}; the fleet is halted",
            run.display()
        )));
    }
    // If this request is lost, the permit ends later, once the leader observes the scheduler in use again.
    if let Err(CommandError::Run(error) | CommandError::Input(error)) =
        request_granted(options, PermitRequest::Return(subject, permit))
    {
        print_step(options, &name, "is back, but that could not be told", json!({"why": error}));
    }
    print_step(options, &name, "is back", json!({}));
    Ok(())
}
