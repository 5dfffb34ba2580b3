//! Journaled events: bytes on the wire and in memory, the time until an event is replicated, in virtual time, and how
//! many events a writer and a holder process in a second on one core.

use crate::memory::resident;
use basaltward_membership::{LinkFaults, MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, Input, Key, Outcome, Output, PendingEvents, PendingSettings, RepeatSafety, SimulatedOutput,
    SimulatedSites, Step,
};
use basaltward_permits::Subject;
use std::collections::BTreeMap;
use std::error::Error;
use std::time::Instant;

fn settings(own: MemberId) -> Result<PendingSettings, Box<dyn Error>> {
    let site_map = SiteMap::new(vec![0, 1], own).ok_or("the member is not in the list of sites")?;
    let settings = PendingSettings::new(site_map, u64::from(own) + 1, vec![1], 1);
    Ok(PendingSettings { journal_bytes: 1 << 30, ..settings })
}

fn accepted(key: u128, body: usize) -> Step {
    let (function, event) = ("function-0123".into(), vec![b'x'; body]);
    let deadline = 1_800_000_060_000;
    let again = RepeatSafety::Unsafe;
    Step::Accepted(Accepted {
        key: Key(key),
        class: 0,
        tenant: 0,
        function,
        repeat_safety: again,
        finish_without_client: true,
        deadline,
        event,
    })
}

fn sending(key: u128) -> Step {
    Step::Sending { key: Key(key), attempt: 0, worker: "127.0.0.1:10003".into(), at: 1_800_000_000_000 }
}

fn ended(key: u128, answer: usize) -> Step {
    Step::Ended { key: Key(key), outcome: Outcome::Served, answer: vec![b'y'; answer] }
}

/// A writer (index 0) and its holder (index 1), with counts of the traffic between them by sender.
struct Pair {
    nodes: [PendingEvents; 2],
    now: Micros,
    /// Bytes sent.
    bytes_sent: [usize; 2],
    /// Frames sent.
    frames: [usize; 2],
}

/// Wall clock of the runs, milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_800_000_000_000;

impl Pair {
    fn new() -> Result<Self, Box<dyn Error>> {
        let mut nodes = [PendingEvents::new(settings(0)?, 0), PendingEvents::new(settings(1)?, 0)];
        let mut out = Vec::new();
        nodes[0].handle(0, WALL_MS, Input::LivePeers(vec![true; 2]), &mut out);
        nodes[0].handle(0, WALL_MS, Input::LinkUp { of: 1, life: 2 }, &mut out);
        nodes[1].handle(0, WALL_MS, Input::LinkUp { of: 0, life: 1 }, &mut out);
        for subject in [Subject::Site(0), Subject::Gateway(0)] {
            nodes[0].handle(0, WALL_MS, Input::ReclaimReply { subject, permit: 0 }, &mut out);
        }
        let mut pair = Self { nodes, now: 4_000_000, bytes_sent: [0; 2], frames: [0; 2] };
        while !pair.nodes[0].is_ready() {
            pair.turn(std::iter::empty());
        }
        (pair.bytes_sent, pair.frames) = ([0; 2], [0; 2]);
        Ok(pair)
    }

    /// One turn of the writer's control thread: handles the steps, then delivers frames until none is in flight.
    /// Returns how many events were reported as replicated or allowed to be sent.
    fn turn(&mut self, steps: impl Iterator<Item = Step>) -> usize {
        let (mut reported, mut out) = (0, Vec::new());
        self.now += 1;
        steps.for_each(|step| self.nodes[0].handle(self.now, WALL_MS, Input::Step(step), &mut out));
        self.nodes[0].wake(self.now, WALL_MS, &mut out);
        let mut from = 0;
        while !out.is_empty() {
            let mut back = Vec::new();
            for output in out {
                match output {
                    Output::Send { to, bytes } => {
                        self.bytes_sent[from] += bytes.len();
                        self.frames[from] += 1;
                        let frame = Input::Frame { from: from as MemberId, bytes };
                        self.nodes[usize::from(to)].handle(self.now, WALL_MS, frame, &mut back);
                    }
                    Output::Replicated { .. } | Output::SendAllowed { .. } => reported += 1,
                    _ => {}
                }
            }
            from = 1 - from;
            out = back;
        }
        reported
    }
}

/// Traffic between a writer and its holder.
pub struct Traffic {
    /// Bytes from the writer to the holder.
    pub bytes_to_holder: usize,
    /// Bytes from the holder to the writer.
    pub bytes_to_writer: usize,
    /// Frames from the writer to the holder.
    pub frames: usize,
}

/// The traffic of `events` events from acceptance to end, in turns of `batch` events, with events and answers of `body`
/// bytes.
///
/// # Errors
/// If the settings are invalid.
pub fn traffic(events: u128, batch: usize, body: usize) -> Result<Traffic, Box<dyn Error>> {
    let mut pair = Pair::new()?;
    for first in (0..events).step_by(batch) {
        let keys = first..first + batch as u128;
        let steps: [&dyn Fn(u128) -> Step; 3] =
            [&|key| accepted(key, body), &sending, &|key| ended(key, body)];
        for step in steps {
            pair.turn(keys.clone().map(step));
        }
    }
    let [bytes_to_holder, bytes_to_writer] = pair.bytes_sent;
    Ok(Traffic { bytes_to_holder, bytes_to_writer, frames: pair.frames[0] })
}

fn print_bytes(events: u128) -> Result<(), Box<dyn Error>> {
    println!(
        "bytes per stored event, one holder: event and answer | batch | to the holder | to the writer | frames to the holder"
    );
    for body in [0, 500, 4_000] {
        for batch in [1, 16, 256] {
            let traffic = traffic(events, batch, body)?;
            let per = |count: usize| count as f64 / events as f64;
            println!(
                "{body:>5} | {batch:>3} | {:>7.0} | {:>4.0} | {:.2}",
                per(traffic.bytes_to_holder),
                per(traffic.bytes_to_writer),
                per(traffic.frames)
            );
        }
    }
    Ok(())
}

/// A writer and a holder of `events` events that have ended, for measuring their memory.
///
/// # Errors
/// If the settings are invalid.
pub fn ended_events(events: u128, body: usize) -> Result<impl Sized, Box<dyn Error>> {
    let mut pair = Pair::new()?;
    let batches = || (0..events).step_by(64).map(|first| first..first + 64);
    batches().for_each(|keys| _ = pair.turn(keys.map(|key| accepted(key, body))));
    batches().for_each(|keys| _ = pair.turn(keys.map(sending)));
    batches().for_each(|keys| _ = pair.turn(keys.map(|key| ended(key, 100))));
    Ok(pair)
}

fn print_memory(events: u128) -> Result<(), Box<dyn Error>> {
    println!(
        "memory of {events} events, bytes each at writer and holder: event | stage | counted | resident, both together"
    );
    for body in [0, 500] {
        let mut pair = Pair::new()?;
        let before = resident()?;
        let print = |pair: &Pair, stage: &str| -> Result<(), Box<dyn Error>> {
            let per = |bytes: f64| bytes / events as f64;
            let (own, replica) = (pair.nodes[0].journal_size().0, pair.nodes[1].replica_size().0);
            let resident = per(resident()? - before);
            println!(
                "{body:>5} | {stage} | {:.0} + {:.0} | {resident:.0}",
                per(own as f64),
                per(replica as f64)
            );
            Ok(())
        };
        let batches = || (0..events).step_by(64).map(|first| first..first + 64);
        batches().for_each(|keys| _ = pair.turn(keys.map(|key| accepted(key, body))));
        batches().for_each(|keys| _ = pair.turn(keys.map(sending)));
        print(&pair, "pending")?;
        batches().for_each(|keys| _ = pair.turn(keys.map(|key| ended(key, 100))));
        print(&pair, "ended, with stored answers of 100 bytes")?;
    }
    Ok(())
}

/// Seconds in which a writer and a holder process `events` events from acceptance to end, in turns of `batch` events.
///
/// # Errors
/// If the settings are invalid or not every event was replicated and allowed to be sent.
pub fn run_seconds(events: u128, batch: usize, body: usize) -> Result<f64, Box<dyn Error>> {
    let mut pair = Pair::new()?;
    let start = Instant::now();
    let mut reported = 0;
    for first in (0..events).step_by(batch) {
        let keys = first..first + batch as u128;
        reported += pair.turn(keys.clone().map(|key| accepted(key, body)));
        reported += pair.turn(keys.clone().map(sending));
        reported += pair.turn(keys.map(|key| ended(key, 100)));
    }
    let seconds = start.elapsed().as_secs_f64();
    if reported as u128 != 2 * events {
        Err("not all events were replicated and sent".into())
    } else {
        Ok(seconds)
    }
}

/// Seconds for the baseline without a journal: the same steps are built and dropped.
fn baseline_seconds(events: u128, body: usize) -> f64 {
    let start = Instant::now();
    let steps = (0..events).flat_map(|key| [accepted(key, body), sending(key), ended(key, 100)]);
    steps.for_each(|step| _ = std::hint::black_box(step));
    start.elapsed().as_secs_f64()
}

fn print_rates(events: u128, rounds: usize) -> Result<(), Box<dyn Error>> {
    println!(
        "writer and holder on one core, 500 bytes an event, {rounds} rounds: batch | events/s | entries/s | us per event"
    );
    for batch in [1, 16, 256] {
        let seconds: Result<Vec<f64>, _> = (0..rounds).map(|_| run_seconds(events, batch, 500)).collect();
        let seconds = seconds?;
        let rate =
            |entries: f64| crate::spread(seconds.iter().map(|run| entries * events as f64 / run).collect());
        let us = seconds.iter().map(|run| run * 1e6 / events as f64).collect();
        println!("{batch:>3} | {} | {} | {}", rate(1.0), rate(3.0), crate::spread(us));
    }
    let us = (0..rounds).map(|_| baseline_seconds(events, 500) * 1e6 / events as f64).collect();
    println!("  - | baseline: the same steps built and dropped, us per event: {}", crate::spread(us));
    Ok(())
}

/// Times from acceptance until an event is replicated, and from the request to send it until it may be sent. With
/// `together` the request follows acceptance at once, and the second time counts from acceptance.
fn times(
    delay_range: (Micros, Micros),
    together: bool,
    seed: u64,
) -> Result<[Vec<Micros>; 2], Box<dyn Error>> {
    let sites = vec![0, 0, 1, 1, 2, 2];
    let site_map = SiteMap::new(sites.clone(), 0).ok_or("the member is not in the list of sites")?;
    let settings = PendingSettings::new(site_map, 0, vec![1], seed);
    let mut cluster =
        SimulatedSites::new(sites, settings, LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range });
    cluster.start_all();
    cluster.run(cluster.net.now + 8_000_000);
    cluster.net.outputs.clear();
    let (mut started, mut times) = (BTreeMap::new(), [Vec::new(), Vec::new()]);
    let mut key = 0;
    for _ in 0..20_000 {
        cluster.run(cluster.net.now + 100);
        for (at, of, output) in std::mem::take(&mut cluster.net.outputs) {
            match output {
                SimulatedOutput::Local(Output::Replicated { key }) => {
                    times[0].push(at - started[&key]);
                    if !together {
                        started.insert(key, cluster.net.now);
                        cluster.step(of, sending(key.0));
                    }
                }
                SimulatedOutput::Local(Output::SendAllowed { key, .. }) => {
                    times[1].push(at - started[&key]);
                    cluster.step(of, ended(key.0, 100));
                }
                _ => {}
            }
        }
        if cluster.net.random_below(10) == 0 {
            let of = cluster.net.random_below(6) as MemberId;
            key += 1;
            started.insert(Key(key), cluster.net.now);
            cluster.step(of, accepted(key, 500));
            if together {
                cluster.step(of, sending(key));
            }
        }
    }
    Ok(times)
}

fn print_added_latency(seeds: u64) -> Result<(), Box<dyn Error>> {
    println!(
        "ms in virtual time, 3 sites of 2 gateways, 1,000 events a second, {seeds} seeds, p50 / p99: one-way delay | \
         accepted until held | send requested until allowed | both requested at once, until allowed"
    );
    for ms in [0, 5, 40] {
        // A constant delay delivers frames in order, as a connection does. A reordered frame would cost a round trip
        // that it does not cost on a connection.
        let delay_range = (ms * 1_000, ms * 1_000);
        let mut collected = [Vec::new(), Vec::new(), Vec::new()];
        for seed in 0..seeds {
            let [replicated, allowed] = times(delay_range, false, seed)?;
            let [_, both] = times(delay_range, true, seed)?;
            collected.iter_mut().zip([replicated, allowed, both]).for_each(|(all, more)| all.extend(more));
        }
        let text = |values: &mut Vec<Micros>| {
            values.sort_unstable();
            let at =
                |share: usize| values.get(values.len() * share / 100).map_or(f64::NAN, |at| *at as f64 / 1e3);
            format!("{:.1} / {:.1}", at(50), at(99))
        };
        let [replicated, allowed, both] = &mut collected;
        println!("{ms:>2} | {} | {} | {}", text(replicated), text(allowed), text(both));
    }
    Ok(())
}

/// Measures and prints.
///
/// # Errors
/// If the settings are invalid or the resident size can't be read.
pub fn run(events: u64, rounds: usize, seeds: u64) -> Result<(), Box<dyn Error>> {
    let events = u128::from(events.next_multiple_of(256));
    print_bytes(2_560.min(events))?;
    print_added_latency(seeds)?;
    print_memory(events)?;
    print_rates(events, rounds)
}
