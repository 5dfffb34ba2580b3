//! Kept events: bytes on the wire and in memory, the time that it takes until one is held, in virtual time, and how
//! many a writer and a holder do in a second of a core.

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
    let places = SiteMap::new(vec![0, 1], own).ok_or("not in the list")?;
    let settings = PendingSettings::new(places, u64::from(own) + 1, vec![1], 1);
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

/// A writer, its holder, and what went between them.
struct Pair {
    both: [PendingEvents; 2],
    now: Micros,
    wire: [usize; 2],
    frames: [usize; 2],
}

const WALL: u64 = 1_800_000_000_000;

impl Pair {
    fn new() -> Result<Self, Box<dyn Error>> {
        let mut both = [PendingEvents::new(settings(0)?, 0), PendingEvents::new(settings(1)?, 0)];
        let mut out = Vec::new();
        both[0].handle(0, WALL, Input::LivePeers(vec![true; 2]), &mut out);
        both[0].handle(0, WALL, Input::LinkUp { of: 1, life: 2 }, &mut out);
        both[1].handle(0, WALL, Input::LinkUp { of: 0, life: 1 }, &mut out);
        for subject in [Subject::Site(0), Subject::Gateway(0)] {
            both[0].handle(0, WALL, Input::ReclaimReply { subject, permit: 0 }, &mut out);
        }
        let mut pair = Self { both, now: 4_000_000, wire: [0; 2], frames: [0; 2] };
        while !pair.both[0].is_ready() {
            pair.turn(std::iter::empty());
        }
        (pair.wire, pair.frames) = ([0; 2], [0; 2]);
        Ok(pair)
    }

    /// A turn of the writer's control thread: all that loops say, then what follows until nothing is on its way.
    fn turn(&mut self, steps: impl Iterator<Item = Step>) -> usize {
        let (mut told, mut out) = (0, Vec::new());
        self.now += 1;
        steps.for_each(|step| self.both[0].handle(self.now, WALL, Input::Step(step), &mut out));
        self.both[0].wake(self.now, WALL, &mut out);
        let mut from = 0;
        while !out.is_empty() {
            let mut back = Vec::new();
            for output in out {
                match output {
                    Output::Send { to, bytes } => {
                        self.wire[from] += bytes.len();
                        self.frames[from] += 1;
                        let frame = Input::Frame { from: from as MemberId, bytes };
                        self.both[usize::from(to)].handle(self.now, WALL, frame, &mut back);
                    }
                    Output::Replicated { .. } | Output::SendAllowed { .. } => told += 1,
                    _ => {}
                }
            }
            from = 1 - from;
            out = back;
        }
        told
    }
}

/// What went between a writer and its holder.
pub struct Traffic {
    /// Bytes to the holder.
    pub there: usize,
    /// Bytes back.
    pub back: usize,
    /// Frames to the holder.
    pub frames: usize,
}

/// So many events from their coming to their end, in turns of so many, with events and answers of so many bytes.
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
    let [there, back] = pair.wire;
    Ok(Traffic { there, back, frames: pair.frames[0] })
}

fn bytes(events: u128) -> Result<(), Box<dyn Error>> {
    println!("bytes a kept event, one holder: event and answer | turn | to the holder | back | frames there");
    for body in [0, 500, 4_000] {
        for batch in [1, 16, 256] {
            let told = traffic(events, batch, body)?;
            let per = |count: usize| count as f64 / events as f64;
            println!(
                "{body:>5} | {batch:>3} | {:>7.0} | {:>4.0} | {:.2}",
                per(told.there),
                per(told.back),
                per(told.frames)
            );
        }
    }
    Ok(())
}

/// A writer and a holder of so many events that have ended, kept so that their memory can be read.
pub fn held(events: u128, body: usize) -> Result<impl Sized, Box<dyn Error>> {
    let mut pair = Pair::new()?;
    let batches = || (0..events).step_by(64).map(|first| first..first + 64);
    batches().for_each(|keys| _ = pair.turn(keys.map(|key| accepted(key, body))));
    batches().for_each(|keys| _ = pair.turn(keys.map(sending)));
    batches().for_each(|keys| _ = pair.turn(keys.map(|key| ended(key, 100))));
    Ok(pair)
}

fn memory(events: u128) -> Result<(), Box<dyn Error>> {
    println!(
        "memory of {events} events, bytes each at writer and holder: event | stage | counted | resident, both"
    );
    for body in [0, 500] {
        let mut pair = Pair::new()?;
        let before = resident()?;
        let told = |pair: &Pair, stage: &str| -> Result<(), Box<dyn Error>> {
            let per = |bytes: f64| bytes / events as f64;
            let (own, held) = (pair.both[0].journal_size().0, pair.both[1].replica_size().0);
            let resident = per(resident()? - before);
            println!(
                "{body:>5} | {stage} | {:.0} + {:.0} | {resident:.0}",
                per(own as f64),
                per(held as f64)
            );
            Ok(())
        };
        let batches = || (0..events).step_by(64).map(|first| first..first + 64);
        batches().for_each(|keys| _ = pair.turn(keys.map(|key| accepted(key, body))));
        batches().for_each(|keys| _ = pair.turn(keys.map(sending)));
        told(&pair, "pending")?;
        batches().for_each(|keys| _ = pair.turn(keys.map(|key| ended(key, 100))));
        told(&pair, "ended, answers of 100 kept")?;
    }
    Ok(())
}

/// Seconds for so many events, in turns of so many.
pub fn spin(events: u128, batch: usize, body: usize) -> Result<f64, Box<dyn Error>> {
    let mut pair = Pair::new()?;
    let began = Instant::now();
    let mut told = 0;
    for first in (0..events).step_by(batch) {
        let keys = first..first + batch as u128;
        told += pair.turn(keys.clone().map(|key| accepted(key, body)));
        told += pair.turn(keys.clone().map(sending));
        told += pair.turn(keys.map(|key| ended(key, 100)));
    }
    let took = began.elapsed().as_secs_f64();
    if told as u128 != 2 * events { Err("not all were held".into()) } else { Ok(took) }
}

/// Seconds for what is done of events that aren't kept: the same steps are made and dropped.
fn unkept(events: u128, body: usize) -> f64 {
    let began = Instant::now();
    let made = (0..events).flat_map(|key| [accepted(key, body), sending(key), ended(key, 100)]);
    made.for_each(|step| _ = std::hint::black_box(step));
    began.elapsed().as_secs_f64()
}

fn rate(events: u128, rounds: usize) -> Result<(), Box<dyn Error>> {
    println!(
        "writer and holder on one core, 500 bytes an event, {rounds} rounds: turn | events/s | entries/s | us an event"
    );
    for batch in [1, 16, 256] {
        let took: Result<Vec<f64>, _> = (0..rounds).map(|_| spin(events, batch, 500)).collect();
        let took = took?;
        let each = |of: f64| crate::spread(took.iter().map(|took| of * events as f64 / took).collect());
        let us = took.iter().map(|took| took * 1e6 / events as f64).collect();
        println!("{batch:>3} | {} | {} | {}", each(1.0), each(3.0), crate::spread(us));
    }
    let took = (0..rounds).map(|_| unkept(events, 500) * 1e6 / events as f64).collect();
    println!("  - | the same steps made and dropped, us an event: {}", crate::spread(took));
    Ok(())
}

/// Times until an event is held, and until its first byte may leave after that was said.
fn times(late: (Micros, Micros), together: bool, seed: u64) -> Result<[Vec<Micros>; 2], Box<dyn Error>> {
    let sites = vec![0, 0, 1, 1, 2, 2];
    let places = SiteMap::new(sites.clone(), 0).ok_or("not in the list")?;
    let settings = PendingSettings::new(places, 0, vec![1], seed);
    let mut world = SimulatedSites::new(
        sites,
        settings,
        LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: late },
    );
    world.start_all();
    world.run(world.net.now + 8_000_000);
    world.net.outputs.clear();
    let (mut began, mut times) = (BTreeMap::new(), [Vec::new(), Vec::new()]);
    let mut key = 0;
    for _ in 0..20_000 {
        world.run(world.net.now + 100);
        for (at, of, said) in std::mem::take(&mut world.net.outputs) {
            match said {
                SimulatedOutput::Local(Output::Replicated { key }) => {
                    times[0].push(at - began[&key]);
                    if !together {
                        began.insert(key, world.net.now);
                        world.step(of, sending(key.0));
                    }
                }
                SimulatedOutput::Local(Output::SendAllowed { key, .. }) => {
                    times[1].push(at - began[&key]);
                    world.step(of, ended(key.0, 100));
                }
                _ => {}
            }
        }
        if world.net.random_below(10) == 0 {
            let of = world.net.random_below(6) as MemberId;
            key += 1;
            began.insert(Key(key), world.net.now);
            world.step(of, accepted(key, 500));
            if together {
                world.step(of, sending(key));
            }
        }
    }
    Ok(times)
}

fn added(seeds: u64) -> Result<(), Box<dyn Error>> {
    println!(
        "ms in virtual time, 3 sites of 2 gateways, 1,000 events a second, {seeds} seeds, p50 / p99: one way | \
         accepted until held | said to be sent until it may | both said at once, until it may"
    );
    for ms in [0, 5, 40] {
        // In order, as within a connection: a frame that overtakes another would cost a round that it does not there.
        let late = (ms * 1_000, ms * 1_000);
        let mut all = [Vec::new(), Vec::new(), Vec::new()];
        for seed in 0..seeds {
            let [held, may] = times(late, false, seed)?;
            let [_, both] = times(late, true, seed)?;
            all.iter_mut().zip([held, may, both]).for_each(|(all, more)| all.extend(more));
        }
        let text = |values: &mut Vec<Micros>| {
            values.sort_unstable();
            let at =
                |share: usize| values.get(values.len() * share / 100).map_or(f64::NAN, |at| *at as f64 / 1e3);
            format!("{:.1} / {:.1}", at(50), at(99))
        };
        let [held, may, both] = &mut all;
        println!("{ms:>2} | {} | {} | {}", text(held), text(may), text(both));
    }
    Ok(())
}

/// Measures and prints.
pub fn run(events: u64, rounds: usize, seeds: u64) -> Result<(), Box<dyn Error>> {
    let events = u128::from(events.next_multiple_of(256));
    bytes(2_560.min(events))?;
    added(seeds)?;
    memory(events)?;
    rate(events, rounds)
}
