//! What the fleet agrees on, in virtual time and between processes: how long from asking to a permit, until a new
//! fleet gives permits, until another leader does, and until a halt is at all; and what it costs.

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

const S: Micros = 1_000_000;
/// Asked for in each round; each is written off again.
const ASKED: usize = 20;

fn wide() -> Bounds {
    let most = Limit::Percent(100);
    Bounds {
        schedulers: most,
        schedulers_of_zone: most,
        workers: most,
        workers_of_zone: most,
        ..Bounds::default()
    }
}

/// Asks through this one until it is permitted; how long that took. What is permitted is written off again.
fn permit(fleet: &mut VirtualFleet, by: MemberId, of: Subject, patience: Micros) -> Option<Micros> {
    let from = fleet.net.now;
    let mut told = fleet.answers.len();
    fleet.submit(by, PermitRequest::Acquire(of));
    while fleet.net.now < from + patience {
        let next = fleet.net.now + 2_000;
        fleet.run(next);
        let answers = fleet.answers[told..].iter();
        let answer =
            answers.filter(|a| a.request == PermitRequest::Acquire(of)).map(|a| (a.at, a.answer)).next_back();
        told = fleet.answers.len();
        match answer {
            // Or the answer to the one before was lost.
            Some((at, Ok(_) | Err(Denied::Taken(_)))) => {
                fleet.submit(by, PermitRequest::WriteOff(of));
                fleet.run(at + S);
                return Some(at - from);
            }
            Some(_) => fleet.submit(by, PermitRequest::Acquire(of)),
            None => {}
        }
    }
    None
}

/// In virtual time.
pub fn run(sizes: &[MemberId], lost: f64, seeds: u64) -> Result<(), Box<dyn Error>> {
    println!("{:.0}% lost, {seeds} seeds; milliseconds, p50 / p99", lost * 100.0);
    println!(
        "size | new fleet's first permit | permit | leader killed | halt at all | bytes/s a member for it, quiet"
    );
    for &size in sizes {
        let (mut first, mut asked, mut next, mut halt) = <(Vec<_>, Vec<_>, Vec<_>, Vec<_>)>::default();
        let mut quiet = 0.0;
        for seed in 1..=seeds {
            let settings = PermitSettings { bounds: wide(), ..PermitSettings::new(size, 0, 0, seed) };
            let seen = Observation {
                zone: 0,
                incarnation: 0,
                in_use_for: Some(60 * S),
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
            first.push(permit(&mut fleet, size / 3, Subject::Worker(0), 120 * S));
            let bytes = |fleet: &VirtualFleet| fleet.permit_bytes_sent();
            fleet.run(fleet.net.now + 10 * S);
            let (from, before) = (fleet.net.now, bytes(&fleet));
            fleet.run(from + 20 * S);
            quiet += (bytes(&fleet) - before) as f64 / 20.0 / f64::from(size);
            for of in 0..ASKED as u32 {
                let by = fleet.net.random_below(size.into()) as MemberId;
                asked.push(permit(&mut fleet, by, Subject::Worker(of), 10 * S));
            }
            if let Some(leader) = fleet.leaders().first().copied() {
                fleet.net.kill(leader);
                next.push(permit(&mut fleet, (leader + 1) % size, Subject::Worker(1), 60 * S));
                fleet.start(leader);
                fleet.run(fleet.net.now + 15 * S);
            }
            let from = fleet.net.now;
            fleet.net.with_node(size / 2, |one, now, out| {
                one.with_node(now, out, |node, _, out| node.halt_all(out));
            });
            let halted = |fleet: &VirtualFleet| {
                fleet.net.node_ids().filter_map(|of| fleet.net.node(of)).all(|one| one.node.halt().on)
            };
            while !halted(&fleet) && fleet.net.now < from + 60 * S {
                let step = fleet.net.now + 10_000;
                fleet.run(step);
            }
            halt.push(halted(&fleet).then_some(fleet.net.now - from));
        }
        let told = [first, asked, next, halt].map(spread).join(" | ");
        println!("{size} | {told} | {:.0}", quiet / seeds as f64);
    }
    Ok(())
}

/// Between processes, with nobody calling.
pub fn processes(schedulers: usize, lost: f64, rounds: usize) -> Result<(), Box<dyn Error>> {
    let program = std::env::current_exe()?.with_file_name("basaltward");
    let (work_ms, pause_ms, seed) = (5, 50, 1);
    let spec = ClusterSpec { program, schedulers, workers: 4, work_ms, pause_ms, seed, bounds: Some(wide()) };
    let bed = {
        let mut bed = Cluster::start(spec)?;
        bed.set_all_datagram_faults(DatagramFaults { loss_rate: lost, ..DatagramFaults::default() });
        bed
    };
    let ask = |by: usize, request: PermitRequest| {
        send_operator_command(bed.peer_addresses[by], OperatorCommand::Request(request))
    };
    let permit = |by: usize, of: Subject, patience: Duration| {
        let from = monotonic();
        while monotonic() < from + patience.as_micros() as Micros {
            if let Ok(OperatorReply::Answer(Ok(_) | Err(Denied::Taken(_)))) =
                ask(by, PermitRequest::Acquire(of))
            {
                return Some(monotonic() - from);
            }
        }
        None
    };
    let first = permit(0, worker_subject("s-0"), Duration::from_secs(60));
    ask(0, PermitRequest::WriteOff(worker_subject("s-0")))?;
    let mut asked = Vec::new();
    for round in 0..rounds {
        let (by, of) = (round % schedulers, worker_subject(&format!("s-{}", round % 4)));
        asked.push(permit(by, of, Duration::from_secs(20)));
        ask(by, PermitRequest::WriteOff(of))?;
    }
    println!("{schedulers} processes, {:.0}% lost; milliseconds, p50 / p99", lost * 100.0);
    println!("new fleet's first permit {} | permit {}", spread(vec![first]), spread(asked));
    Ok(())
}
