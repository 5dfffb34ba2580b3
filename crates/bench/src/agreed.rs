//! Permits and halts by quorum, in virtual time and between processes: the time from a request to a permit, until a new
//! fleet grants permits, until a new leader does, and until a halt has reached all members; and the traffic.

use crate::fleet::spread;
use basaltward_faulttest::{Cluster, ClusterSpec, DatagramFaults};
use basaltward_membership::{LinkFaults, MemberId, Micros};
use basaltward_net::monotonic;
use basaltward_peers::send_operator_command;
use basaltward_permits::{
    Bounds, Denied, Limit, Observation, Observations, OperatorCommand, OperatorReply, PermitRequest,
    PermitSettings, Subject, VirtualFleet, worker_subject,
};
use std::error::Error;
use std::time::Duration;

const SECOND_US: Micros = 1_000_000;
/// Permits requested for each seed; each is written off again.
const REQUESTS: usize = 20;

/// Bounds that allow all schedulers and workers to be out of use at once.
fn unlimited_bounds() -> Bounds {
    let all = Limit::Percent(100);
    Bounds {
        schedulers: all,
        schedulers_of_zone: all,
        workers: all,
        workers_of_zone: all,
        ..Bounds::default()
    }
}

/// Requests a permit through member `by` until it is granted, and returns how long that took; `None` if it was not
/// granted in time. The permit is written off again.
fn permit(fleet: &mut VirtualFleet, by: MemberId, of: Subject, timeout: Micros) -> Option<Micros> {
    let from = fleet.net.now;
    let mut seen = fleet.answers.len();
    fleet.submit(by, PermitRequest::Acquire(of));
    while fleet.net.now < from + timeout {
        let next = fleet.net.now + 2_000;
        fleet.run(next);
        let answers = fleet.answers[seen..].iter();
        let answer =
            answers.filter(|a| a.request == PermitRequest::Acquire(of)).map(|a| (a.at, a.answer)).next_back();
        seen = fleet.answers.len();
        match answer {
            // `Taken`: an earlier request was granted, but its answer was lost.
            Some((at, Ok(_) | Err(Denied::Taken(_)))) => {
                fleet.submit(by, PermitRequest::WriteOff(of));
                fleet.run(at + SECOND_US);
                return Some(at - from);
            }
            Some(_) => fleet.submit(by, PermitRequest::Acquire(of)),
            None => {}
        }
    }
    None
}

/// Measures in virtual time and prints.
pub fn run(sizes: &[MemberId], lost: f64, seeds: u64) -> Result<(), Box<dyn Error>> {
    println!("{:.0}% lost, {seeds} seeds; milliseconds, p50 / p99", lost * 100.0);
    println!(
        "size | first permit of a new fleet | permit | leader killed | halt at all members | bytes/s per member, quiet"
    );
    for &size in sizes {
        let (mut first, mut granted, mut new_leader, mut halt) =
            <(Vec<_>, Vec<_>, Vec<_>, Vec<_>)>::default();
        let mut quiet = 0.0;
        for seed in 1..=seeds {
            let settings =
                PermitSettings { bounds: unlimited_bounds(), ..PermitSettings::new(size, 0, 0, seed) };
            let seen = Observation {
                zone: 0,
                incarnation: 0,
                in_use_for: Some(60 * SECOND_US),
                holds_last_copy: false,
                running_version: None,
            };
            let workers: Observations = (0..40).map(|of| (Subject::Worker(of), seen)).collect();
            let mut fleet = VirtualFleet::new(
                size,
                settings,
                workers,
                LinkFaults { loss_rate: lost, ..LinkFaults::default() },
            );
            fleet.net.node_ids().for_each(|of| fleet.start(of));
            first.push(permit(&mut fleet, size / 3, Subject::Worker(0), 120 * SECOND_US));
            let bytes = |fleet: &VirtualFleet| fleet.permit_bytes_sent();
            fleet.run(fleet.net.now + 10 * SECOND_US);
            let (from, before) = (fleet.net.now, bytes(&fleet));
            fleet.run(from + 20 * SECOND_US);
            quiet += (bytes(&fleet) - before) as f64 / 20.0 / f64::from(size);
            for of in 0..REQUESTS as u32 {
                let by = fleet.net.random_below(size.into()) as MemberId;
                granted.push(permit(&mut fleet, by, Subject::Worker(of), 10 * SECOND_US));
            }
            if let Some(leader) = fleet.leaders().first().copied() {
                fleet.net.kill(leader);
                new_leader.push(permit(&mut fleet, (leader + 1) % size, Subject::Worker(1), 60 * SECOND_US));
                fleet.start(leader);
                fleet.run(fleet.net.now + 15 * SECOND_US);
            }
            let from = fleet.net.now;
            fleet.net.with_node(size / 2, |one, now, out| {
                one.with_node(now, out, |node, _, out| node.halt_all(out));
            });
            let halted = |fleet: &VirtualFleet| {
                fleet.net.node_ids().filter_map(|of| fleet.net.node(of)).all(|one| one.node.halt().on)
            };
            while !halted(&fleet) && fleet.net.now < from + 60 * SECOND_US {
                let step = fleet.net.now + 10_000;
                fleet.run(step);
            }
            halt.push(halted(&fleet).then_some(fleet.net.now - from));
        }
        let columns = [first, granted, new_leader, halt].map(spread).join(" | ");
        println!("{size} | {columns} | {:.0}", quiet / seeds as f64);
    }
    Ok(())
}

/// Measures between processes that receive no calls, and prints.
///
/// # Errors
/// If a process can't be started or a permit can't be written off.
pub fn processes(schedulers: usize, lost: f64, rounds: usize) -> Result<(), Box<dyn Error>> {
    let program = std::env::current_exe()?.with_file_name("basaltward");
    let (work_ms, pause_ms, seed) = (5, 50, 1);
    let spec = ClusterSpec {
        program,
        schedulers,
        workers: 4,
        work_ms,
        pause_ms,
        seed,
        bounds: Some(unlimited_bounds()),
    };
    let cluster = {
        let mut cluster = Cluster::start(spec)?;
        cluster.set_all_datagram_faults(DatagramFaults { loss_rate: lost, ..DatagramFaults::default() });
        cluster
    };
    let request = |by: usize, permit_request: PermitRequest| {
        send_operator_command(cluster.peer_addresses[by], OperatorCommand::Request(permit_request))
    };
    let permit = |by: usize, of: Subject, timeout: Duration| {
        let from = monotonic();
        while monotonic() < from + timeout.as_micros() as Micros {
            if let Ok(OperatorReply::Answer(Ok(_) | Err(Denied::Taken(_)))) =
                request(by, PermitRequest::Acquire(of))
            {
                return Some(monotonic() - from);
            }
        }
        None
    };
    let first = permit(0, worker_subject("s-0"), Duration::from_secs(60));
    request(0, PermitRequest::WriteOff(worker_subject("s-0")))?;
    let mut granted = Vec::new();
    for round in 0..rounds {
        let (by, of) = (round % schedulers, worker_subject(&format!("s-{}", round % 4)));
        granted.push(permit(by, of, Duration::from_secs(20)));
        request(by, PermitRequest::WriteOff(of))?;
    }
    println!("{schedulers} processes, {:.0}% lost; milliseconds, p50 / p99", lost * 100.0);
    println!("first permit of a new fleet {} | permit {}", spread(vec![first]), spread(granted));
    Ok(())
}
