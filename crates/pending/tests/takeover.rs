//! What becomes of kept events when a site is lost, in virtual time: each that was told as held ends in one way, and
//! none that must not run twice does.
use basaltward_membership::{LinkFaults, MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, Key, Outcome, Output, PendingSettings, RepeatSafety, Resolution, SimulatedOutput,
    SimulatedSites, Source, Step,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let told = std::env::var("PENDING_SEEDS").unwrap_or_default();
    let told = told.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    told.unwrap_or(0..usual)
}

/// An event as workers and clients see it.
struct Event {
    again: RepeatSafety,
    held: bool,
    /// Whose loop does it: what it is told elsewhere is not for it.
    by: Source,
    /// First bytes that left, by whose journal.
    sent: Vec<Source>,
    /// The loop comes to its first byte then, and may let it go before that time of its clock.
    leaves: Option<(Micros, Micros)>,
    /// The worker answers then.
    answers: Option<Micros>,
    ended: Option<Micros>,
}

struct Run {
    sites: SimulatedSites,
    rng: StdRng,
    events: BTreeMap<Key, Event>,
    broken: Vec<String>,
    ends: BTreeMap<&'static str, usize>,
    killed: Option<Micros>,
    /// Events that their owners lost while they ran.
    lost: usize,
}

impl Run {
    fn new(places: &[u8], holders: [u8; 2], seed: u64, link: LinkFaults) -> Self {
        let own = SiteMap::new(places.to_vec(), 0).expect("one");
        let settings =
            PendingSettings { recovery_rate: 400, ..PendingSettings::new(own, 0, holders.into(), seed) };
        let mut sites = SimulatedSites::new(places.to_vec(), settings, link);
        sites.start_all();
        let rng = StdRng::seed_from_u64(seed);
        Self {
            sites,
            rng,
            events: BTreeMap::new(),
            broken: Vec::new(),
            ends: BTreeMap::new(),
            killed: None,
            lost: 0,
        }
    }

    fn source(&self, of: MemberId) -> Option<Source> {
        self.sites.net.node(of).map(|one| one.pending.source())
    }

    fn accept(&mut self, of: MemberId) {
        let Some(by) = self.source(of).filter(|_| self.sites.net.is_up(of)) else { return };
        let key = Key(self.events.len() as u128 + 1);
        let again = [RepeatSafety::Safe, RepeatSafety::Unsafe, RepeatSafety::Keyed { window: 60 * S }]
            [self.rng.random_range(0..3)];
        let known =
            Event { again, held: false, by, sent: Vec::new(), leaves: None, answers: None, ended: None };
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

    fn ends(&mut self, key: Key, how: &'static str) {
        *self.ends.entry(how).or_default() += 1;
        let event = self.events.get_mut(&key).expect("known");
        // Its client is answered before that is held: with the site lost in between, it ends elsewhere as well.
        let just = event.ended.is_some_and(|at| self.killed.is_some_and(|killed| killed < at + 100_000));
        if event.ended.is_some() && !just {
            self.broken.push(format!("{key:?} ends once more: {how}"));
        }
        event.ended = Some(self.sites.net.now);
    }

    fn loops(&mut self) {
        let (now, mut late) = (self.sites.net.now, Vec::new());
        for (at, of, said) in std::mem::take(&mut self.sites.net.outputs) {
            let SimulatedOutput::Local(output) = said else { continue };
            let (wall, source) = (self.sites.wall(of), self.source(of));
            let ours = |event: &Event| source == Some(event.by);
            match output {
                Output::Replicated { key } if ours(&self.events[&key]) => {
                    self.events.get_mut(&key).into_iter().for_each(|event| event.held = true);
                    let sending = Step::Sending { key, attempt: 0, worker: "w".into(), at: wall };
                    self.sites.step(of, sending);
                }
                Output::SendAllowed { key, until, .. } if ours(&self.events[&key]) => {
                    // Some loops stand still between the word and the write.
                    let late = [0, 0, 0, 200_000, 4 * S][self.rng.random_range(0..5)];
                    let event = self.events.get_mut(&key).expect("known");
                    event.leaves = Some((at + late, until));
                }
                Output::SendDenied { key, .. } | Output::NotReplicated { key, .. }
                    if ours(&self.events[&key]) =>
                {
                    self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
                    self.ends(key, "refused");
                }
                Output::Run { accepted: pending, resolution: end, .. } => {
                    let (key, by) = (pending.key, source.expect("it runs"));
                    let event = self.events.get_mut(&key).expect("known");
                    if end == Resolution::Run && !event.sent.is_empty() && event.again == RepeatSafety::Unsafe
                    {
                        self.broken.push(format!("{key:?} was sent by {:?} and runs at {of}", event.sent));
                    }
                    (event.by, event.leaves, event.answers) = (by, None, None);
                    self.sites.step(of, Step::Accepted(pending));
                }
                Output::Resolved { key, resolution: end, .. } => {
                    let how = if end == Resolution::MayHaveRun { "may have run" } else { "closed" };
                    let event = self.events.get_mut(&key).expect("known");
                    (event.leaves, event.answers) = (None, None);
                    self.ends(key, how);
                }
                Output::OwnershipLost { .. } => self.lost += 1,
                _ => {}
            }
        }
        for (key, event) in &mut self.events {
            let of = event.by.gateway;
            let running = self.sites.net.node(of).filter(|one| one.pending.source() == event.by);
            let Some((_, until)) = event.leaves.filter(|(at, _)| *at <= now && self.sites.net.is_up(of))
            else {
                continue;
            };
            event.leaves = None;
            // Looked at last of all, as whoever stood still finds only here that it did.
            if running.is_some() && self.sites.net.clock(of) < until {
                event.sent.push(event.by);
                event.answers = Some(now + self.rng.random_range(1..2 * S));
            } else if running.is_some() {
                late.push((of, *key));
            }
        }
        for (of, key) in late {
            self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
            self.ends(key, "refused");
        }
        let over = self.events.iter().filter(|(_, event)| event.answers.is_some_and(|at| at <= now));
        let over: Vec<(Key, Source)> = over.map(|(key, event)| (*key, event.by)).collect();
        for (key, by) in over {
            // A worker's answer to a gateway that is no more is nobody's.
            if self.source(by.gateway) == Some(by) && self.sites.net.is_up(by.gateway) {
                self.events.get_mut(&key).expect("known").answers = None;
                self.sites.step(by.gateway, Step::Ended { key, outcome: Outcome::Served, answer: vec![1] });
                self.ends(key, "served");
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

    /// All that was held has ended once, unless its owner was lost before its journal said how it ended.
    fn judge(&mut self) -> BTreeSet<Key> {
        for (key, event) in &self.events {
            let effects: BTreeSet<&Source> = event.sent.iter().collect();
            if event.again == RepeatSafety::Unsafe && effects.len() > 1 {
                self.broken.push(format!("{key:?} left from {effects:?}"));
            }
        }
        let open = self.events.iter().filter(|(_, event)| event.held && event.ended.is_none());
        open.map(|(key, _)| *key).collect()
    }
}

#[test]
fn what_a_lost_site_had_pending_ends_in_one_way_each() {
    let mut ends = BTreeMap::<&str, usize>::new();
    for seed in seeds(6) {
        let places = [vec![0, 0, 1, 1], vec![0, 0, 1, 1, 2, 2], vec![0, 1, 2]][seed as usize % 3].clone();
        let late = [(2_000, 2_000), (1_000, 30_000)][seed as usize % 2];
        let mut run = Run::new(
            &places,
            [1, 2],
            seed,
            LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: late },
        );
        run.pass(5 * S, false);
        run.pass(3 * S, true);
        let site = run.rng.random_range(0..=places[places.len() - 1]);
        run.sites.kill_site(site);
        run.killed = Some(run.sites.net.now);
        run.pass(2 * S, true);
        run.pass(30 * S, false);
        let open = run.judge();
        assert!(run.broken.is_empty() && open.is_empty(), "seed {seed}: {:?} open {open:?}", run.broken);
        run.ends.iter().for_each(|(how, count)| *ends.entry(how).or_default() += count);
    }
    println!("{ends:?}");
    assert!(ends["served"] > 10 * ends["may have run"], "{ends:?}");
}

#[test]
fn what_only_one_gateway_held_ends_though_the_other_never_heard_of_its_owner() {
    for seed in seeds(6) {
        let link = LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: (1_000, 3_000) };
        let mut run = Run::new(&[0, 0, 1, 1], [1, 1], seed, link);
        run.pass(5 * S, false);
        run.pass(3 * S, true);
        run.killed = Some(run.sites.net.now);
        run.sites.kill(3);
        // At times both are permitted one by one before their site is.
        run.pass(u64::from(seed as u16 % 3) * S, true);
        run.killed = Some(run.sites.net.now);
        run.sites.kill(2);
        run.pass(2 * S, true);
        run.pass(30 * S, false);
        let open = run.judge();
        assert!(run.broken.is_empty() && open.is_empty(), "seed {seed}: {:?} open {open:?}", run.broken);
    }
}

#[test]
fn one_that_was_taken_over_while_it_ran_and_then_is_lost_is_rebuilt_as_well() {
    for seed in seeds(3) {
        let link = LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: (1_000, 3_000) };
        let mut run = Run::new(&[0, 0, 1, 1], [1, 1], seed, link);
        run.pass(5 * S, true);
        [2, 3].into_iter().for_each(|of| run.sites.set_falsely_dead(of, true));
        run.pass(8 * S, false);
        [2, 3].into_iter().for_each(|of| run.sites.set_falsely_dead(of, false));
        run.pass(40 * S, false);
        assert!(run.sites.net.node(2).is_some_and(|one| one.pending.is_ready()), "seed {seed}");
        run.pass(3 * S, true);
        run.killed = Some(run.sites.net.now);
        run.sites.kill_site(1);
        run.pass(2 * S, true);
        run.pass(30 * S, false);
        let open = run.judge();
        assert!(open.is_empty(), "seed {seed}: open {open:?}");
    }
}

/// A site is cut off with calls in hand, longer than a lease, and comes back.
fn cut_off(seed: u64) -> Run {
    let places = [vec![0, 0, 1, 1, 2, 2], vec![0, 1, 2]][seed as usize % 2].clone();
    let mut run = Run::new(
        &places,
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
    run.judge();
    run
}

#[test]
fn a_site_that_was_cut_off_does_nothing_twice_that_must_not_be() {
    let (mut lost, mut ends) = (0, BTreeMap::<&str, usize>::new());
    for seed in seeds(6) {
        let run = cut_off(seed);
        // An owner that was cut off may have an answer that nobody heard of, so that an event ends there as well.
        let twice: Vec<&String> = run.broken.iter().filter(|text| !text.contains("ends once more")).collect();
        assert!(twice.is_empty(), "seed {seed}: {twice:?}");
        let back = run.sites.net.node_ids().filter_map(|of| run.sites.net.node(of));
        assert!(back.into_iter().all(|one| one.pending.is_ready()), "seed {seed}");
        lost += run.lost;
        run.ends.iter().for_each(|(how, count)| *ends.entry(how).or_default() += count);
    }
    println!("lost to others {lost}; {ends:?}");
    assert!(lost > 0);
}
