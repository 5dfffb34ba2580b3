//! What operators ask of a fleet that agrees on who may be out: drains, releases, halts.

use crate::Failed;
use crate::args::{FleetCommand, Through};
use basaltward_peers::ask_agreed;
use basaltward_permits::{
    Denied, OperatorCommand, OperatorReply, Permit, PermitRequest, PermitResult, PermitStatus, Subject,
    name_hash, worker_subject,
};
use serde_json::json;
use std::path::Path;
use std::process::Command;
use std::time::{Duration, Instant};

/// A permit may be acted on for so long from when it was asked for, see the design note.
const ACT: Duration = Duration::from_secs(2);
/// What was denied is asked again after this.
const AGAIN: Duration = Duration::from_millis(500);

/// Does what is asked.
pub fn run(command: &FleetCommand) -> Result<(), Failed> {
    match command {
        FleetCommand::Status(through) => show(through),
        FleetCommand::Drain { worker: name, dry_run, wait, through } => {
            let subject = worker_subject(name);
            if *dry_run {
                return tried(through, name, subject);
            }
            let until = Instant::now() + Duration::from_secs(*wait);
            let (number, _) = permitted(through, name, subject, until)?;
            say(through, name, "drained", json!({"permit": number}));
            clear(through, name, (subject, number), until)
        }
        FleetCommand::Back { worker: name, through } => {
            let subject = worker_subject(name);
            let number = standing(through, subject)?.number;
            granted(through, PermitRequest::Return(subject, number))?;
            say(through, name, "back", json!({}));
            Ok(())
        }
        FleetCommand::WriteOff { subject: name, scheduler, through } => {
            let subject = if *scheduler { Subject::Scheduler(numbered(name)?) } else { worker_subject(name) };
            granted(through, PermitRequest::WriteOff(subject))?;
            say(through, name, "written off", json!({}));
            Ok(())
        }
        FleetCommand::Release { run, to, from, back: _, dry_run, wait, through } => {
            let wait = Duration::from_secs(*wait);
            release(through, &Release { run, to: to.as_deref(), from, dry_run: *dry_run, wait })
        }
        FleetCommand::Halt(through) => match ask(through, OperatorCommand::Halt)? {
            OperatorReply::Halted(halt) => {
                say(through, "all", "halted", json!({"count": halt.count}));
                Ok(())
            }
            _ => Err(strange()),
        },
        FleetCommand::Resume(through) => {
            let halt = status(through)?.halt;
            granted(through, PermitRequest::Resume(halt.count))?;
            say(through, "all", "resumed", json!({"count": halt.count}));
            Ok(())
        }
        FleetCommand::View { .. } => Ok(()),
    }
}

fn strange() -> Failed {
    Failed::Run("an answer to another question".into())
}

fn numbered(name: &str) -> Result<u16, Failed> {
    name.parse().map_err(|_| Failed::Input(format!("{name} is not a scheduler's number")))
}

/// One line, or one JSON object, for each step.
fn say(through: &Through, of: &str, what: &str, more: serde_json::Value) {
    if through.json {
        println!("{}", json!({"of": of, "what": what, "more": more}));
    } else if more.as_object().is_some_and(|more| !more.is_empty()) {
        println!("{of}: {what} {more}");
    } else {
        println!("{of}: {what}");
    }
}

/// The answer of the first that gives one.
fn ask(through: &Through, command: OperatorCommand) -> Result<OperatorReply, Failed> {
    let mut last = Failed::Input("nobody to ask".into());
    for of in &through.of {
        match ask_agreed(*of, command) {
            Ok(told) => return Ok(told),
            Err(error) => last = Failed::Run(format!("{of}: {error}")),
        }
    }
    Err(last)
}

fn requested(through: &Through, request: PermitRequest) -> Result<PermitResult, Failed> {
    match ask(through, OperatorCommand::Request(request))? {
        OperatorReply::Answer(answer) => Ok(answer),
        _ => Err(strange()),
    }
}

fn granted(through: &Through, request: PermitRequest) -> Result<u16, Failed> {
    requested(through, request)?.map_err(|why| Failed::Run(why.to_string()))
}

fn status(through: &Through) -> Result<PermitStatus, Failed> {
    match ask(through, OperatorCommand::Status)? {
        OperatorReply::Status(status) => Ok(status),
        _ => Err(strange()),
    }
}

fn standing(through: &Through, subject: Subject) -> Result<Permit, Failed> {
    let permits = status(through)?.permits;
    let permit = permits.into_iter().find(|permit| permit.subject == subject);
    permit.ok_or_else(|| Failed::Run("it has no permit to be out".into()))
}

fn tried(through: &Through, name: &str, subject: Subject) -> Result<(), Failed> {
    match requested(through, PermitRequest::Check(subject))? {
        Ok(_) => say(through, name, "might go now", json!({})),
        Err(why) => say(through, name, "might not go now", json!({"why": why.to_string()})),
    }
    Ok(())
}

/// Asks until it is permitted, and gives the permit's number and when it was asked for. What another try can't change
/// ends it. A worker's permit that stands after a question of ours that had no answer is ours, or as good: it is
/// drained. A scheduler's may be somebody's who restarts it now; one that nobody uses ends by itself.
fn permitted(
    through: &Through,
    name: &str,
    subject: Subject,
    until: Instant,
) -> Result<(u16, Instant), Failed> {
    let (mut told, mut lost) = (None, false);
    loop {
        let asked = Instant::now();
        let why = match requested(through, PermitRequest::Acquire(subject)) {
            Ok(Ok(number)) => return Ok((number, asked)),
            Ok(Err(Denied::Taken(number))) if lost && matches!(subject, Subject::Worker(_)) => {
                return Ok((number, asked));
            }
            Ok(Err(why @ Denied::Unknown)) => return Err(Failed::Run(format!("{name}: {why}"))),
            Ok(Err(why @ Denied::Taken(_))) if !lost => return Err(Failed::Run(format!("{name}: {why}"))),
            Ok(Err(why)) => {
                lost |= matches!(why, Denied::NoLeader | Denied::Stale);
                why.to_string()
            }
            Err(Failed::Run(why) | Failed::Input(why)) => {
                lost = true;
                why
            }
        };
        if Instant::now() >= until {
            return Err(Failed::Run(format!("{name}: {why}")));
        }
        if told.as_ref() != Some(&why) {
            say(through, name, "waits", json!({"why": why}));
            told = Some(why);
        }
        std::thread::sleep(AGAIN);
    }
}

/// Waits until every scheduler has said that it has nothing in hand for drained workers. Whoever we ask has to know of
/// this drain first: until then it tells of others.
fn clear(through: &Through, name: &str, of: (Subject, u16), until: Instant) -> Result<(), Failed> {
    loop {
        let PermitStatus { unclear, permits, .. } = status(through)?;
        let knows = permits
            .iter()
            .any(|permit| (permit.subject, permit.number, permit.returned) == (of.0, of.1, false));
        if unclear == 0 && knows {
            say(through, name, "clear", json!({}));
            return Ok(());
        }
        if Instant::now() >= until {
            return Err(Failed::Run(format!(
                "{name}: {unclear} schedulers have not said that they have nothing there"
            )));
        }
        std::thread::sleep(AGAIN);
    }
}

fn show(through: &Through) -> Result<(), Failed> {
    let status = status(through)?;
    if through.json {
        println!("{}", serde_json::to_string(&status)?);
        return Ok(());
    }
    let leader = status.leader.map_or("nobody".into(), |of| format!("n{of}"));
    let halted = if status.halt.on { ", HALTED" } else { "" };
    println!("by n{}: leader {leader}{halted}", status.own);
    println!("out: {} schedulers, {} workers; unclear: {}", status.out.0, status.out.1, status.unclear);
    if let Some((plan, done)) = &status.plan {
        let what = if plan.rollback { "way back" } else { "release" };
        println!("{what} {}: {done} run version {:08x}, from {:08x}", plan.number, plan.to, plan.from);
    }
    for permit in &status.permits {
        let back = if permit.returned { ", comes back" } else { "" };
        println!("permit {}: {:?}{back}", permit.number, permit.subject);
    }
    Ok(())
}

/// A release, as it was asked for.
struct Release<'a> {
    run: &'a Path,
    to: Option<&'a str>,
    from: &'a str,
    dry_run: bool,
    wait: Duration,
}

/// The number of the plan: that which stands, where it is the one asked for, or a new one.
fn planned(through: &Through, asked: &Release) -> Result<u16, Failed> {
    let stands = status(through)?.plan.map(|(plan, _)| plan);
    let (to, from, back) = match (asked.to, stands) {
        (Some(name), Some(plan)) if plan.to == name_hash(name) && !plan.rollback => return Ok(plan.number),
        (Some(name), Some(plan)) => (name_hash(name), plan.to, false),
        (Some(name), None) => (name_hash(name), name_hash(asked.from), false),
        (None, Some(plan)) if plan.rollback => return Ok(plan.number),
        (None, Some(plan)) => (plan.from, plan.to, true),
        (None, None) => return Err(Failed::Run("no release stands that could be taken back".into())),
    };
    granted(through, PermitRequest::Plan { to, from, rollback: back })
}

/// Carries out the steps of a plan that the fleet keeps. Whoever dies here loses nothing: run again, it goes on. A
/// permit that nobody acts on ends by itself.
fn release(through: &Through, asked: &Release) -> Result<(), Failed> {
    if asked.dry_run {
        return show(through);
    }
    let mut until = Instant::now() + asked.wait;
    let number = loop {
        match planned(through, asked) {
            Ok(number) => break number,
            Err(why) if Instant::now() >= until => return Err(why),
            Err(_) => std::thread::sleep(AGAIN),
        }
    };
    say(through, "release", "goes on", json!({"plan": number}));
    loop {
        let since = Instant::now();
        let why = match requested(through, PermitRequest::Next(number)) {
            Ok(Err(Denied::Over)) => {
                say(through, "release", "done", json!({"plan": number}));
                return Ok(());
            }
            Ok(Err(why @ (Denied::Halted | Denied::Stale))) => return Err(Failed::Run(why.to_string())),
            Ok(Err(why)) => why.to_string(),
            Err(Failed::Run(why) | Failed::Input(why)) => why,
            Ok(Ok(permit)) => {
                step(through, asked.run, permit, since)?;
                until = Instant::now() + asked.wait;
                continue;
            }
        };
        if Instant::now() >= until {
            return Err(Failed::Run(format!("no step for {} s: {why}", asked.wait.as_secs())));
        }
        std::thread::sleep(AGAIN);
    }
}

/// One scheduler is restarted by its permit, while that may be acted on.
fn step(through: &Through, run: &Path, permit: u16, since: Instant) -> Result<(), Failed> {
    let of = loop {
        let permits = status(through)?.permits;
        let one = permits.iter().find(|one| one.number == permit && !one.returned);
        if let Some(Subject::Scheduler(of)) = one.map(|one| one.subject) {
            break of;
        }
        if since.elapsed() >= ACT {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(50));
    };
    let (name, subject) = (format!("n{of}"), Subject::Scheduler(of));
    // Whoever acts looks at the time itself: the answer may have been long on its way.
    if since.elapsed() >= ACT {
        let _ = requested(through, PermitRequest::Return(subject, permit));
        return Ok(());
    }
    say(through, &name, "goes", json!({"permit": permit}));
    let ended = Command::new(run).arg(of.to_string()).status()?;
    if !ended.success() {
        let _ = ask(through, OperatorCommand::Halt);
        return Err(Failed::Run(format!("{name}: {} ended with {ended}; all is halted", run.display())));
    }
    // Where this is lost the permit ends by what is seen, later.
    if let Err(Failed::Run(why) | Failed::Input(why)) =
        granted(through, PermitRequest::Return(subject, permit))
    {
        say(through, &name, "is back, but that could not be told", json!({"why": why}));
    }
    say(through, &name, "is back", json!({}));
    Ok(())
}
