//! Pending events of a lost site, in virtual time: each event that was reported as replicated ends in exactly one
//! way, and no unsafe event runs twice.
use basaltward_membership::{LinkFaults, MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, Key, Outcome, Output, PendingSettings, RepeatSafety, Resolution, SimulatedOutput,
    SimulatedSites, Source, Step,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;

fn seeds(default: u64) -> std::ops::Range<u64> {
    let range = std::env::var("PENDING_SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..default)
}

/// An event as workers and clients see it.
struct Event {
    again: RepeatSafety,
    replicated: bool,
    /// The journal of the loop that runs it; outputs of other gateways don't concern that loop.
    owner: Source,
    /// The journals under which a first byte was sent.
    sent: Vec<Source>,
    /// When the loop is about to send the first byte, and until when by its clock it may.
    sends: Option<(Micros, Micros)>,
    /// When the worker answers.
    answers: Option<Micros>,
    ended: Option<Micros>,
}

struct Run {
    sites: SimulatedSites,
    rng: StdRng,
    events: BTreeMap<Key, Event>,
    violations: Vec<String>,
    ends: BTreeMap<&'static str, usize>,
    killed: Option<Micros>,
    /// Events that their owners lost while running.
    lost: usize,
}

impl Run {
    fn new(layout: &[u8], holders: [u8; 2], seed: u64, link: LinkFaults) -> Self {
        let own = SiteMap::new(layout.to_vec(), 0).expect("one");
        let settings =
            PendingSettings { recovery_rate: 400, ..PendingSettings::new(own, 0, holders.into(), seed) };
        let mut sites = SimulatedSites::new(layout.to_vec(), settings, link);
        sites.start_all();
        let rng = StdRng::seed_from_u64(seed);
        Self {
            sites,
            rng,
            events: BTreeMap::new(),
            violations: Vec::new(),
            ends: BTreeMap::new(),
            killed: None,
            lost: 0,
        }
    }

    fn source(&self, of: MemberId) -> Option<Source> {
        self.sites.net.node(of).map(|gateway| gateway.pending.source())
    }

    fn accept(&mut self, of: MemberId) {
        let Some(owner) = self.source(of).filter(|_| self.sites.net.is_up(of)) else { return };
        let key = Key(self.events.len() as u128 + 1);
        let again = [RepeatSafety::Safe, RepeatSafety::Unsafe, RepeatSafety::Keyed { window: 60 * S }]
            [self.rng.random_range(0..3)];
        let known = Event {
            again,
            replicated: false,
            owner,
            sent: Vec::new(),
            sends: None,
            answers: None,
            ended: None,
        };
        self.events.insert(key, known);
        let deadline = self.sites.wall(of) + 40_000;
        let (class, event) = (self.rng.random_range(0..2), vec![1; 50]);
        let function = "f".into();
        let accepted = Accepted {
            key,
            class,
            tenant: 0,
            function,
            repeat_safety: again,
            finish_without_client: true,
            deadline,
            event,
        };
        self.sites.step(of, Step::Accepted(accepted));
    }

    fn record_end(&mut self, key: Key, how: &'static str) {
        *self.ends.entry(how).or_default() += 1;
        let event = self.events.get_mut(&key).expect("known");
        // The client is answered before the end is replicated: if the site is lost in between, the event ends again
        // elsewhere.
        let ended_just_before_crash =
            event.ended.is_some_and(|at| self.killed.is_some_and(|killed| killed < at + 100_000));
        if event.ended.is_some() && !ended_just_before_crash {
            self.violations.push(format!("{key:?} ends once more: {how}"));
        }
        event.ended = Some(self.sites.net.now);
    }

    fn loops(&mut self) {
        let (now, mut late) = (self.sites.net.now, Vec::new());
        for (at, of, output) in std::mem::take(&mut self.sites.net.outputs) {
            let SimulatedOutput::Local(output) = output else { continue };
            let (wall, source) = (self.sites.wall(of), self.source(of));
            let is_current = |event: &Event| source == Some(event.owner);
            match output {
                Output::Replicated { key } if is_current(&self.events[&key]) => {
                    self.events.get_mut(&key).into_iter().for_each(|event| event.replicated = true);
                    let sending = Step::Sending { key, attempt: 0, worker: "w".into(), at: wall };
                    self.sites.step(of, sending);
                }
                Output::SendAllowed { key, until, .. } if is_current(&self.events[&key]) => {
                    // Some loops stall between the permission and the first byte.
                    let late = [0, 0, 0, 200_000, 4 * S][self.rng.random_range(0..5)];
                    let event = self.events.get_mut(&key).expect("known");
                    event.sends = Some((at + late, until));
                }
                Output::SendDenied { key, .. } | Output::NotReplicated { key, .. }
                    if is_current(&self.events[&key]) =>
                {
                    self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
                    self.record_end(key, "refused");
                }
                Output::Run { accepted, resolution, .. } => {
                    let (key, owner) = (accepted.key, source.expect("it runs"));
                    let event = self.events.get_mut(&key).expect("known");
                    if resolution == Resolution::Run
                        && !event.sent.is_empty()
                        && event.again == RepeatSafety::Unsafe
                    {
                        self.violations
                            .push(format!("{key:?} was sent by {:?} and runs at {of}", event.sent));
                    }
                    (event.owner, event.sends, event.answers) = (owner, None, None);
                    self.sites.step(of, Step::Accepted(accepted));
                }
                Output::Resolved { key, resolution, .. } => {
                    let how = if resolution == Resolution::MayHaveRun { "may have run" } else { "closed" };
                    let event = self.events.get_mut(&key).expect("known");
                    (event.sends, event.answers) = (None, None);
                    self.record_end(key, how);
                }
                Output::OwnershipLost { .. } => self.lost += 1,
                _ => {}
            }
        }
        for (key, event) in &mut self.events {
            let of = event.owner.gateway;
            let running = self.sites.net.node(of).filter(|gateway| gateway.pending.source() == event.owner);
            let Some((_, until)) = event.sends.filter(|(at, _)| *at <= now && self.sites.net.is_up(of))
            else {
                continue;
            };
            event.sends = None;
            // The clock is read last, as a loop that stalled notices it only here.
            if running.is_some() && self.sites.net.clock(of) < until {
                event.sent.push(event.owner);
                event.answers = Some(now + self.rng.random_range(1..2 * S));
            } else if running.is_some() {
                late.push((of, *key));
            }
        }
        for (of, key) in late {
            self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
            self.record_end(key, "refused");
        }
        let answered = self.events.iter().filter(|(_, event)| event.answers.is_some_and(|at| at <= now));
        let answered: Vec<(Key, Source)> = answered.map(|(key, event)| (*key, event.owner)).collect();
        for (key, owner) in answered {
            // A worker's answer to a gateway that has crashed is lost.
            if self.source(owner.gateway) == Some(owner) && self.sites.net.is_up(owner.gateway) {
                self.events.get_mut(&key).expect("known").answers = None;
                self.sites
                    .step(owner.gateway, Step::Ended { key, outcome: Outcome::Served, answer: vec![1] });
                self.record_end(key, "served");
            }
        }
    }

    fn pass(&mut self, span: Micros, load: bool) {
        let until = self.sites.net.now + span;
        while self.sites.net.now < until {
            self.sites.run(self.sites.net.now + 10_000);
            self.loops();
            if load && self.rng.random_range(0..4) == 0 {
                let of = self.rng.random_range(0..self.sites.net.node_ids().end);
                self.accept(of);
            }
        }
    }

    /// Returns the replicated events that have not ended; reports unsafe events that were sent more than once.
    fn check_ends(&mut self) -> BTreeSet<Key> {
        for (key, event) in &self.events {
            let effects: BTreeSet<&Source> = event.sent.iter().collect();
            if event.again == RepeatSafety::Unsafe && effects.len() > 1 {
                self.violations.push(format!("{key:?} was sent from {effects:?}"));
            }
        }
        let open = self.events.iter().filter(|(_, event)| event.replicated && event.ended.is_none());
        open.map(|(key, _)| *key).collect()
    }
}

#[test]
fn each_pending_event_of_a_lost_site_ends_once() {
    let mut ends = BTreeMap::<&str, usize>::new();
    for seed in seeds(6) {
        let layout = [vec![0, 0, 1, 1], vec![0, 0, 1, 1, 2, 2], vec![0, 1, 2]][seed as usize % 3].clone();
        let late = [(2_000, 2_000), (1_000, 30_000)][seed as usize % 2];
        let mut run = Run::new(
            &layout,
            [1, 2],
            seed,
            LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: late },
        );
        run.pass(5 * S, false);
        run.pass(3 * S, true);
        let site = run.rng.random_range(0..=layout[layout.len() - 1]);
        run.sites.kill_site(site);
        run.killed = Some(run.sites.net.now);
        run.pass(2 * S, true);
        run.pass(30 * S, false);
        let open = run.check_ends();
        assert!(
            run.violations.is_empty() && open.is_empty(),
            "seed {seed}: {:?} open {open:?}",
            run.violations
        );
        run.ends.iter().for_each(|(how, count)| *ends.entry(how).or_default() += count);
    }
    println!("{ends:?}");
    assert!(ends["served"] > 10 * ends["may have run"], "{ends:?}");
}

#[test]
fn events_with_a_single_holder_end_although_the_other_gateway_has_no_replica() {
    for seed in seeds(6) {
        let link = LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: (1_000, 3_000) };
        let mut run = Run::new(&[0, 0, 1, 1], [1, 1], seed, link);
        run.pass(5 * S, false);
        run.pass(3 * S, true);
        run.killed = Some(run.sites.net.now);
        run.sites.kill(3);
        // In some runs permits are granted for each gateway before one is granted for the site.
        run.pass(u64::from(seed as u16 % 3) * S, true);
        run.killed = Some(run.sites.net.now);
        run.sites.kill(2);
        run.pass(2 * S, true);
        run.pass(30 * S, false);
        let open = run.check_ends();
        assert!(
            run.violations.is_empty() && open.is_empty(),
            "seed {seed}: {:?} open {open:?}",
            run.violations
        );
    }
}

#[test]
fn a_gateway_that_was_taken_over_while_running_is_recovered_when_lost_later() {
    for seed in seeds(3) {
        let link = LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: (1_000, 3_000) };
        let mut run = Run::new(&[0, 0, 1, 1], [1, 1], seed, link);
        run.pass(5 * S, true);
        [2, 3].into_iter().for_each(|of| run.sites.set_falsely_dead(of, true));
        run.pass(8 * S, false);
        [2, 3].into_iter().for_each(|of| run.sites.set_falsely_dead(of, false));
        run.pass(40 * S, false);
        assert!(run.sites.net.node(2).is_some_and(|gateway| gateway.pending.is_ready()), "seed {seed}");
        run.pass(3 * S, true);
        run.killed = Some(run.sites.net.now);
        run.sites.kill_site(1);
        run.pass(2 * S, true);
        run.pass(30 * S, false);
        let open = run.check_ends();
        assert!(open.is_empty(), "seed {seed}: open {open:?}");
    }
}

/// A site with running calls is isolated for longer than a lease, and comes back.
fn isolated_and_back(seed: u64) -> Run {
    let layout = [vec![0, 0, 1, 1, 2, 2], vec![0, 1, 2]][seed as usize % 2].clone();
    let mut run = Run::new(
        &layout,
        [1, 2],
        seed,
        LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: (1_000, 20_000) },
    );
    run.pass(5 * S, false);
    run.pass(3 * S, true);
    let site = run.rng.random_range(0..3);
    run.sites.set_isolated(site, true);
    run.pass(10 * S, true);
    run.sites.set_isolated(site, false);
    run.pass(5 * S, true);
    run.pass(30 * S, false);
    run.check_ends();
    run
}

#[test]
fn an_isolated_site_runs_no_unsafe_event_twice() {
    let (mut lost, mut ends) = (0, BTreeMap::<&str, usize>::new());
    for seed in seeds(6) {
        let run = isolated_and_back(seed);
        // An isolated owner may receive an answer that no other gateway has received, so that an event ends there as
        // well.
        let twice: Vec<&String> =
            run.violations.iter().filter(|text| !text.contains("ends once more")).collect();
        assert!(twice.is_empty(), "seed {seed}: {twice:?}");
        let back = run.sites.net.node_ids().filter_map(|of| run.sites.net.node(of));
        assert!(back.into_iter().all(|gateway| gateway.pending.is_ready()), "seed {seed}");
        lost += run.lost;
        run.ends.iter().for_each(|(how, count)| *ends.entry(how).or_default() += count);
    }
    println!("ownership lost {lost}; {ends:?}");
    assert!(lost > 0);
}
