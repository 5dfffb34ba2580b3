//! DisruptionKind heirs go through, in virtual time over many seeds: owners, heirs and second sites killed at each step, gateways
//! that stand still for up to 30 s, clocks a tenth apart. Other seeds: `HEIRS_SEEDS=0..1000 cargo test --release`.
use basaltward_membership::{LinkFaults, MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, ClaimDecision, ClaimReply, Entry, EventStatus, FirstSend, JournalSnapshot, Key, Outcome,
    Output, PendingEvents, PendingSettings, Recovery, RecoveryFault, RecoveryOutput, RecoverySettings,
    RepeatSafety, Resolution, SimulatedOutput, SimulatedSites, Source, Step, TakeoverMessage,
};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let told = std::env::var("HEIRS_SEEDS").unwrap_or_default();
    let told = told.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    told.unwrap_or(0..usual)
}

/// How far one event has come, as its loop sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    Written,
    Held,
    Announced,
    Sent,
    Ended,
}

/// Its loop could not go on: until that is held by others an heir may still run it, and the client is told so.
const GIVEN_UP: &str = "given up";

/// DisruptionKind a loop does next.
#[derive(Clone, Copy, Debug)]
enum NextAction {
    /// Says that the first byte is about to leave.
    Announce,
    /// Lets it leave before this time of its clock.
    Write(Micros),
}

struct Event {
    again: RepeatSafety,
    first: MemberId,
    by: Source,
    at: Progress,
    /// First bytes, by whose journal; and when an end was told.
    sent: Vec<Source>,
    told: Option<&'static str>,
    does: Option<NextAction>,
    /// A worker answers then.
    answers: Option<Micros>,
}

/// DisruptionKind befalls a gateway, once an event of its own, or one that it has inherited, has come so far.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    at: Progress,
    inherited: bool,
    what: DisruptionKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisruptionKind {
    KillSite,
    StandStill(Micros),
    CutSite,
}

struct Run {
    sites: SimulatedSites,
    places: Vec<u8>,
    events: BTreeMap<Key, Event>,
    blows: Vec<Disruption>,
    broken: Vec<String>,
    gone: usize,
    /// First bytes of unsafe events that left after an end was told.
    late: usize,
    cut: Vec<(Micros, u8)>,
}

impl Run {
    fn new(places: &[u8], seed: u64, blows: Vec<Disruption>) -> Self {
        let own = SiteMap::new(places.to_vec(), 0).expect("one");
        let settings = PendingSettings { recovery_rate: 400, ..PendingSettings::new(own, 0, vec![2], seed) };
        let link = LinkFaults { loss_rate: 0.01, duplicate_rate: 0.02, delay_range: (MS, 30 * MS) };
        let mut sites = SimulatedSites::new(places.to_vec(), settings, link);
        sites.start_all();
        let (events, broken, cut) = (BTreeMap::new(), Vec::new(), Vec::new());
        let places = places.to_vec();
        // Clocks run up to a tenth apart.
        let rate = |of: MemberId| [1.0, 0.95, 1.05][usize::from(of) % 3];
        sites.net.node_ids().for_each(|of| sites.net.set_clock_rate(of, rate(of)));
        let mut run = Self { sites, places, events, blows, broken, gone: 0, late: 0, cut };
        run.pass(6 * S);
        run
    }

    fn accept(&mut self, of: MemberId, again: RepeatSafety) -> Option<Key> {
        let by = self.sites.net.node(of)?.pending.source();
        let key = Key(self.events.len() as u128 + 1);
        let known = Event {
            again,
            first: of,
            by,
            at: Progress::Written,
            sent: Vec::new(),
            told: None,
            does: None,
            answers: None,
        };
        self.events.insert(key, known);
        let deadline = self.sites.wall(of) + 60_000;
        let function = "f".into();
        let accepted = Accepted {
            key,
            class: 0,
            tenant: 0,
            function,
            repeat_safety: again,
            finish_without_client: true,
            deadline,
            event: vec![1; 40],
        };
        self.sites.step(of, Step::Accepted(accepted));
        self.comes(key, Progress::Written);
        Some(key)
    }

    fn runs(&self, by: Source) -> bool {
        self.sites.net.is_up(by.gateway)
            && self.sites.net.node(by.gateway).is_some_and(|one| one.pending.source() == by)
    }

    /// An event has come so far: what was to befall its gateway then does.
    fn comes(&mut self, key: Key, at: Progress) {
        let event = self.events.get_mut(&key).expect("known");
        event.at = at;
        let of = event.by.gateway;
        let inherited = of != event.first;
        let strikes = |blow: &Disruption| blow.at == at && blow.inherited == inherited;
        let Some(index) = self.blows.iter().position(strikes) else { return };
        let (blow, site) = (self.blows.remove(index), self.places[usize::from(of)]);
        match blow.what {
            DisruptionKind::KillSite => self.sites.kill_site(site),
            DisruptionKind::StandStill(span) => {
                self.sites.net.pause(of, span);
                self.sites.set_falsely_dead(of, true);
                self.cut.push((self.sites.net.now + span, 100 + of as u8));
            }
            DisruptionKind::CutSite => {
                self.sites.set_isolated(site, true);
                self.cut.push((self.sites.net.now + 12 * S, site));
            }
        }
    }

    fn ends(&mut self, key: Key, how: &'static str) {
        let event = self.events.get_mut(&key).expect("known");
        event.told.get_or_insert(how);
        self.comes(key, Progress::Ended);
    }

    fn loops(&mut self) {
        for (_, of, said) in std::mem::take(&mut self.sites.net.outputs) {
            let SimulatedOutput::Local(output) = said else { continue };
            let source = self.sites.net.node(of).map(|one| one.pending.source());
            let ours = |run: &Self, key: &Key| source == Some(run.events[key].by);
            match output {
                Output::Replicated { key }
                    if ours(self, &key) && self.events[&key].at == Progress::Written =>
                {
                    self.events.get_mut(&key).expect("known").does = Some(NextAction::Announce);
                    self.comes(key, Progress::Held);
                }
                Output::SendAllowed { key, until, .. } if ours(self, &key) => {
                    self.events.get_mut(&key).expect("known").does = Some(NextAction::Write(until));
                    self.comes(key, Progress::Announced);
                }
                Output::SendDenied { key, .. } | Output::NotReplicated { key, .. } if ours(self, &key) => {
                    self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
                    self.ends(key, GIVEN_UP);
                }
                Output::Run { accepted: pending, resolution: end, .. } => {
                    let event = self.events.get_mut(&pending.key).expect("known");
                    if end == Resolution::Run && event.again == RepeatSafety::Unsafe && !event.sent.is_empty()
                    {
                        self.broken.push(format!("{:?} was sent and runs at {of}", pending.key));
                    }
                    let Some(by) = source else { continue };
                    (event.by, event.answers, event.does) = (by, None, None);
                    let key = pending.key;
                    self.sites.step(of, Step::Accepted(pending));
                    self.comes(key, Progress::Written);
                }
                Output::Resolved { key, resolution: end, .. } => {
                    let event = self.events.get_mut(&key).expect("known");
                    if event.at == Progress::Ended {
                        continue;
                    }
                    (event.answers, event.does) = (None, None);
                    self.ends(key, if end == Resolution::MayHaveRun { "unknown" } else { "closed" });
                }
                Output::JournalLoss(_) => self.gone += 1,
                _ => {}
            }
        }
        let does = self.events.iter().filter_map(|(key, event)| Some((*key, event.by, event.does?)));
        for (key, by, does) in does.collect::<Vec<_>>() {
            // One that stands still goes on later, and looks at the time then.
            if self.runs(by) {
                self.events.get_mut(&key).expect("known").does = None;
                self.goes_on(key, by, does);
            }
        }
        let now = self.sites.net.now;
        let over = self.events.iter().filter(|(_, event)| event.answers.is_some_and(|at| at <= now));
        let over: Vec<(Key, Source)> = over.map(|(key, event)| (*key, event.by)).collect();
        for (key, by) in over {
            let gone = self.sites.net.node(by.gateway).is_none_or(|one| one.pending.source() != by);
            if gone || self.runs(by) {
                self.events.get_mut(&key).expect("known").answers = None;
            }
            if self.runs(by) {
                self.sites.step(by.gateway, Step::Ended { key, outcome: Outcome::Served, answer: vec![1] });
                self.ends(key, "served");
            }
        }
    }

    fn goes_on(&mut self, key: Key, by: Source, does: NextAction) {
        let (of, now) = (by.gateway, self.sites.net.now);
        match does {
            NextAction::Announce => {
                let (worker, at) = ("w".into(), self.sites.wall(of));
                self.sites.step(of, Step::Sending { key, attempt: 0, worker, at });
            }
            NextAction::Write(until) if self.sites.net.clock(of) < until => {
                let event = self.events.get_mut(&key).expect("known");
                event.sent.push(by);
                event.answers = Some(now + 300 * MS);
                self.late += usize::from(
                    event.told.is_some_and(|told| told != GIVEN_UP) && event.again == RepeatSafety::Unsafe,
                );
                self.comes(key, Progress::Sent);
            }
            NextAction::Write(_) => {
                self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
                self.ends(key, GIVEN_UP);
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let until = self.sites.net.now + span;
        while self.sites.net.now < until {
            self.sites.run(self.sites.net.now + 10 * MS);
            self.loops();
            let now = self.sites.net.now;
            for (_, of) in self.cut.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                match of {
                    100.. => self.sites.set_falsely_dead(u16::from(of - 100), false),
                    site => self.sites.set_isolated(site, false),
                }
            }
        }
    }

    /// Runs until all is over; what is broken, and what is left.
    fn judge(&mut self, seed: u64, name: &str) {
        self.look();
        assert_eq!(self.late, 0, "{name}, seed {seed}: first bytes after an end was told");
        assert!(self.broken.is_empty(), "{name}, seed {seed}: {:?}", self.broken);
    }

    fn look(&mut self) {
        self.pass(45 * S);
        for (key, event) in &self.events {
            let by: BTreeSet<&Source> = event.sent.iter().collect();
            if event.again == RepeatSafety::Unsafe && by.len() > 1 {
                self.broken.push(format!("{key:?} left from {by:?}"));
            }
            if event.told.is_none() && event.at > Progress::Written {
                let fates: Vec<Option<EventStatus>> = self
                    .sites
                    .net
                    .node_ids()
                    .map(|of| self.sites.net.node(of)?.pending.event_status(*key))
                    .collect();
                self.broken.push(format!("{key:?} {:?} {:?} has no end: {fates:?}", event.again, event.at));
            }
        }
    }
}

const STEPS: [Progress; 5] =
    [Progress::Written, Progress::Held, Progress::Announced, Progress::Sent, Progress::Ended];
const KINDS: [RepeatSafety; 3] =
    [RepeatSafety::Safe, RepeatSafety::Unsafe, RepeatSafety::Keyed { window: 60 * S }];

/// Each kind of event in flight at an owner that is struck when the last one has come so far.
fn history(places: &[u8], seed: u64, blows: Vec<Disruption>) -> Run {
    let mut run = Run::new(places, seed, blows);
    let owner = (seed % places.len() as u64) as MemberId;
    for round in 0..6 {
        let again = KINDS[(round + seed as usize) % 3];
        if run.accept(owner, again).is_none() {
            break;
        }
        run.pass((seed % 5) * 7 * MS + 10 * MS);
    }
    run
}

const PLACES: [&[u8]; 3] = [&[0, 1, 2], &[0, 0, 1, 1, 2, 2], &[0, 1, 2, 3]];

#[test]
fn a_site_killed_at_each_step_leaves_one_end_to_each_event() {
    for seed in seeds(3) {
        for at in STEPS {
            let blows = vec![Disruption { at, inherited: false, what: DisruptionKind::KillSite }];
            let mut run = history(PLACES[seed as usize % 3], seed, blows);
            run.judge(seed, &format!("killed when {at:?}"));
        }
    }
}

#[test]
fn an_heir_killed_at_each_step_is_followed_by_another() {
    for seed in seeds(3) {
        for at in STEPS {
            let first = Disruption { at: Progress::Held, inherited: false, what: DisruptionKind::KillSite };
            let then = Disruption { at, inherited: true, what: DisruptionKind::KillSite };
            let mut run = history(PLACES[2], seed, vec![first, then]);
            run.judge(seed, &format!("heir killed when {at:?}"));
        }
    }
}

#[test]
fn an_heir_cut_off_or_standing_still_at_each_step_does_nothing_twice() {
    for seed in seeds(3) {
        for at in STEPS {
            for what in [DisruptionKind::CutSite, DisruptionKind::StandStill(12 * S)] {
                let first =
                    Disruption { at: Progress::Held, inherited: false, what: DisruptionKind::KillSite };
                let then = Disruption { at, inherited: true, what };
                let mut run = history(PLACES[2], seed, vec![first, then]);
                run.judge(seed, &format!("heir struck by {what:?} when {at:?}"));
            }
        }
    }
}

#[test]
fn an_owner_that_stands_still_at_each_step_sends_nothing_late() {
    for seed in seeds(3) {
        for at in STEPS {
            let span = [1, 4, 30][seed as usize % 3] * S;
            let blows = vec![Disruption { at, inherited: false, what: DisruptionKind::StandStill(span) }];
            let mut run = history(PLACES[seed as usize % 2], seed, blows);
            run.judge(seed, &format!("stood still for {span} us when {at:?}"));
        }
    }
}

#[test]
fn a_site_cut_off_at_each_step_is_done_elsewhere_and_comes_home() {
    for seed in seeds(3) {
        for at in STEPS {
            let blows = vec![Disruption { at, inherited: false, what: DisruptionKind::CutSite }];
            let mut run = history(PLACES[seed as usize % 3], seed, blows);
            run.judge(seed, &format!("cut off when {at:?}"));
        }
    }
}

/// Whether anything breaks with a fault planted, over a few seeds of an owner that is struck once an event has come so
/// far.
fn breaks(at: Progress, what: DisruptionKind, plant: impl Fn(&mut PendingEvents)) -> bool {
    (0..6).any(|seed| {
        let mut run = Run::new(PLACES[1], seed, vec![Disruption { at, inherited: false, what }]);
        for of in run.sites.net.node_ids() {
            run.sites.net.node_mut(of).into_iter().for_each(|one| plant(&mut one.pending));
        }
        (0..4).for_each(|_| _ = run.accept(0, RepeatSafety::Unsafe));
        run.look();
        run.late > 0 || !run.broken.is_empty()
    })
}

#[test]
fn an_heir_that_runs_what_was_sent_is_found() {
    assert!(breaks(Progress::Sent, DisruptionKind::KillSite, |one| one
        .inject_recovery_fault(RecoveryFault::RunsWhatWasSent)));
    assert!(!breaks(Progress::Sent, DisruptionKind::KillSite, |_| {}));
}

#[test]
fn an_heir_that_asks_nobody_is_found() {
    assert!(breaks(Progress::Held, DisruptionKind::KillSite, |one| one
        .inject_recovery_fault(RecoveryFault::SkipsClaims)));
    assert!(!breaks(Progress::Held, DisruptionKind::KillSite, |_| {}));
}

/// `HEIRS_SEEDS=0..200 cargo test --release -p basaltward-pending --test heirs losses -- --nocapture`
#[test]
fn losses_under_load_lose_and_double_nothing() {
    let (mut times, mut counts, mut pending, mut gone) = (Vec::new(), BTreeMap::new(), 0, 0);
    for seed in seeds(2) {
        let places = PLACES[seed as usize % 3];
        let mut run = Run::new(places, seed, Vec::new());
        for round in 0..100 {
            for of in run.sites.net.node_ids() {
                run.accept(of, KINDS[(round + usize::from(of)) % 3]);
            }
            run.pass(20 * MS);
        }
        let of = (seed % places.len() as u64) as MemberId;
        let site = places[usize::from(of)];
        let theirs = |(_, event): &(&Key, &Event)| {
            places[usize::from(event.by.gateway)] == site
                && event.told.is_none()
                && event.at > Progress::Written
        };
        let owed: BTreeSet<Key> = run.events.iter().filter(theirs).map(|(key, _)| *key).collect();
        let unsent: BTreeSet<Key> =
            owed.iter().copied().filter(|key| run.events[key].sent.is_empty()).collect();
        run.sites.kill_site(site);
        let killed = run.sites.net.now;
        while owed.iter().any(|key| run.events[key].told.is_none()) && run.sites.net.now < killed + 60 * S {
            run.pass(10 * MS);
        }
        times.push((run.sites.net.now - killed) / MS);
        run.look();
        assert!(run.broken.is_empty() && run.late == 0, "seed {seed}: {:?}", run.broken);
        pending += owed.len();
        gone += run.gone;
        for key in &owed {
            let how = match run.events[key].told {
                Some("unknown") if unsent.contains(key) => "unknown, announced and never sent",
                how => how.unwrap_or("lost"),
            };
            *counts.entry(how).or_insert(0) += 1;
        }
    }
    times.sort_unstable();
    let of = |share: usize| times[(times.len() - 1) * share / 100];
    println!("{} losses, {pending} events pending: {counts:?}, parts of journals gone {gone}", times.len());
    println!(
        "from loss until all is done or told: {} ms p50, {} ms p99, {} ms at most",
        of(50),
        of(99),
        of(100)
    );
    assert!(!counts.contains_key("lost"), "{counts:?}");
}

/// One that was taken over while what it had claimed waited for the ration asks all anew before it does any of it.
#[test]
fn what_was_claimed_before_a_take_over_is_claimed_anew() {
    let places = SiteMap::new(vec![0, 1, 2], 1).expect("one");
    let (life, holders, slack, remember) = (10, vec![1], 0, 0);
    let settings = RecoverySettings {
        site_map: places,
        life,
        holders,
        clock_skew_ms: slack,
        concurrency: 0,
        rate: 1_000,
        retention_ms: remember,
    };
    let mut heirs = Recovery::new(&settings, 0);
    let (key, source, function, event) = (Key(1), Source { gateway: 0, life: 1 }, "f".into(), Vec::new());
    let again = RepeatSafety::Unsafe;
    let accepted = Accepted {
        key,
        class: 0,
        tenant: 0,
        function,
        repeat_safety: again,
        finish_without_client: true,
        deadline: 1_000_000,
        event,
    };
    let entries = vec![Entry { source, number: 1, chain: 1, step: Step::Accepted(accepted) }];
    let copy = JournalSnapshot { source, through: 1, head: 1, silent_for: 0, entries };
    heirs.take_over(S, 0, 1, true, vec![copy]);
    let mut out = Vec::new();
    heirs.wake(S, 1, &mut out);
    assert_eq!(out, [RecoveryOutput::Send(2, TakeoverMessage::Claim(vec![(key, source, 1)]))]);
    let say = ClaimReply {
        key,
        decision: ClaimDecision::Granted,
        first_send: FirstSend::Never,
        accepted_entry: None,
        log_extent: None,
        other_journal_incomplete: false,
    };
    let word = TakeoverMessage::ClaimReplies { age: 100 * S, replies: vec![say] };
    heirs.handle_message(S, 2, word.clone(), |_, _| Vec::new(), &mut out);
    heirs.wake(S, 1, &mut out);
    assert_eq!(heirs.event_status(key), Some(EventStatus::OwnedBy(1)), "it waits for the ration");
    // Taken over meanwhile, and back.
    heirs.take_over(2 * S, 1, 10, false, Vec::new());
    heirs.set_limits(1_000, 8);
    out.clear();
    heirs.wake(2 * S, 2, &mut out);
    assert_eq!(out, [RecoveryOutput::Send(2, TakeoverMessage::Claim(vec![(key, source, 1)]))]);
    heirs.handle_message(2 * S, 2, word, |_, _| Vec::new(), &mut out);
    out.clear();
    heirs.wake(2 * S, 2, &mut out);
    assert!(matches!(out[..], [RecoveryOutput::Adopt { resolution: Resolution::Run, .. }]), "{out:?}");
}
