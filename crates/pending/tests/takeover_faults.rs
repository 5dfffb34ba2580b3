//! Takeover under faults, in virtual time over many seeds: owners, their successors and second sites are killed at
//! each step, gateways stall for up to 30 s, and clocks run up to a tenth apart. For other seeds:
//! `HEIRS_SEEDS=0..1000 cargo test --release`.
use basaltward_membership::{LinkFaults, MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, ClaimDecision, ClaimReply, Entry, EventStatus, FirstSend, JournalSnapshot, Key, Outcome,
    Output, PendingEvents, PendingSettings, Recovery, RecoveryFault, RecoveryOutput, RecoverySettings,
    RepeatSafety, Resolution, SimulatedOutput, SimulatedSites, Source, Step, TakeoverMessage,
};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;
const MS: Micros = 1_000;

fn seeds(default: u64) -> std::ops::Range<u64> {
    let range = std::env::var("HEIRS_SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..default)
}

/// Progress of an event, as its loop sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Progress {
    Written,
    Replicated,
    Announced,
    Sent,
    Ended,
}

/// The loop gave the event up. Until that is replicated another gateway may still run the event, and the answer
/// to the client states that it may have run.
const GIVEN_UP: &str = "given up";

/// The next action of a loop.
#[derive(Clone, Copy, Debug)]
enum NextAction {
    /// Reports that the first byte is about to be sent.
    Announce,
    /// Sends the first byte, before this time of its clock.
    Write(Micros),
}

struct Event {
    again: RepeatSafety,
    first: MemberId,
    owner: Source,
    at: Progress,
    /// The journals under which a first byte was sent, and the end that was reported first.
    sent: Vec<Source>,
    reported_end: Option<&'static str>,
    next_action: Option<NextAction>,
    /// When the worker answers.
    answers: Option<Micros>,
}

/// A disruption of a gateway, once one of its events, its own or one taken over, has reached a step.
#[derive(Clone, Copy, Debug)]
struct Disruption {
    at: Progress,
    taken_over: bool,
    what: DisruptionKind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DisruptionKind {
    KillSite,
    Stall(Micros),
    IsolateSite,
}

struct Run {
    sites: SimulatedSites,
    layout: Vec<u8>,
    events: BTreeMap<Key, Event>,
    disruptions: Vec<Disruption>,
    violations: Vec<String>,
    losses: usize,
    /// First bytes of unsafe events that were sent after an end was reported.
    late: usize,
    repairs: Vec<(Micros, u8)>,
}

impl Run {
    fn new(layout: &[u8], seed: u64, disruptions: Vec<Disruption>) -> Self {
        let own = SiteMap::new(layout.to_vec(), 0).expect("one");
        let settings = PendingSettings { recovery_rate: 400, ..PendingSettings::new(own, 0, vec![2], seed) };
        let link = LinkFaults { loss_rate: 0.01, duplicate_rate: 0.02, delay_range: (MS, 30 * MS) };
        let mut sites = SimulatedSites::new(layout.to_vec(), settings, link);
        sites.start_all();
        let (events, violations, repairs) = (BTreeMap::new(), Vec::new(), Vec::new());
        let layout = layout.to_vec();
        // Clocks run up to a tenth apart.
        let rate = |of: MemberId| [1.0, 0.95, 1.05][usize::from(of) % 3];
        sites.net.node_ids().for_each(|of| sites.net.set_clock_rate(of, rate(of)));
        let mut run = Self { sites, layout, events, disruptions, violations, losses: 0, late: 0, repairs };
        run.pass(6 * S);
        run
    }

    fn accept(&mut self, of: MemberId, again: RepeatSafety) -> Option<Key> {
        let owner = self.sites.net.node(of)?.pending.source();
        let key = Key(self.events.len() as u128 + 1);
        let known = Event {
            again,
            first: of,
            owner,
            at: Progress::Written,
            sent: Vec::new(),
            reported_end: None,
            next_action: None,
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
        self.reached(key, Progress::Written);
        Some(key)
    }

    fn runs(&self, owner: Source) -> bool {
        self.sites.net.is_up(owner.gateway)
            && self.sites.net.node(owner.gateway).is_some_and(|gateway| gateway.pending.source() == owner)
    }

    /// An event has reached a step: applies the matching disruption.
    fn reached(&mut self, key: Key, at: Progress) {
        let event = self.events.get_mut(&key).expect("known");
        event.at = at;
        let of = event.owner.gateway;
        let taken_over = of != event.first;
        let matches = |disruption: &Disruption| disruption.at == at && disruption.taken_over == taken_over;
        let Some(index) = self.disruptions.iter().position(matches) else { return };
        let (disruption, site) = (self.disruptions.remove(index), self.layout[usize::from(of)]);
        match disruption.what {
            DisruptionKind::KillSite => self.sites.kill_site(site),
            DisruptionKind::Stall(span) => {
                self.sites.net.pause(of, span);
                self.sites.set_falsely_dead(of, true);
                self.repairs.push((self.sites.net.now + span, 100 + of as u8));
            }
            DisruptionKind::IsolateSite => {
                self.sites.set_isolated(site, true);
                self.repairs.push((self.sites.net.now + 12 * S, site));
            }
        }
    }

    fn record_end(&mut self, key: Key, how: &'static str) {
        let event = self.events.get_mut(&key).expect("known");
        event.reported_end.get_or_insert(how);
        self.reached(key, Progress::Ended);
    }

    fn loops(&mut self) {
        for (_, of, output) in std::mem::take(&mut self.sites.net.outputs) {
            let SimulatedOutput::Local(output) = output else { continue };
            let source = self.sites.net.node(of).map(|gateway| gateway.pending.source());
            let is_current = |run: &Self, key: &Key| source == Some(run.events[key].owner);
            match output {
                Output::Replicated { key }
                    if is_current(self, &key) && self.events[&key].at == Progress::Written =>
                {
                    self.events.get_mut(&key).expect("known").next_action = Some(NextAction::Announce);
                    self.reached(key, Progress::Replicated);
                }
                Output::SendAllowed { key, until, .. } if is_current(self, &key) => {
                    self.events.get_mut(&key).expect("known").next_action = Some(NextAction::Write(until));
                    self.reached(key, Progress::Announced);
                }
                Output::SendDenied { key, .. } | Output::NotReplicated { key, .. }
                    if is_current(self, &key) =>
                {
                    self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
                    self.record_end(key, GIVEN_UP);
                }
                Output::Run { accepted, resolution, .. } => {
                    let event = self.events.get_mut(&accepted.key).expect("known");
                    if resolution == Resolution::Run
                        && event.again == RepeatSafety::Unsafe
                        && !event.sent.is_empty()
                    {
                        self.violations.push(format!("{:?} was sent and runs at {of}", accepted.key));
                    }
                    let Some(owner) = source else { continue };
                    (event.owner, event.answers, event.next_action) = (owner, None, None);
                    let key = accepted.key;
                    self.sites.step(of, Step::Accepted(accepted));
                    self.reached(key, Progress::Written);
                }
                Output::Resolved { key, resolution, .. } => {
                    let event = self.events.get_mut(&key).expect("known");
                    if event.at == Progress::Ended {
                        continue;
                    }
                    (event.answers, event.next_action) = (None, None);
                    self.record_end(
                        key,
                        if resolution == Resolution::MayHaveRun { "unknown" } else { "closed" },
                    );
                }
                Output::JournalLoss(_) => self.losses += 1,
                _ => {}
            }
        }
        let actions =
            self.events.iter().filter_map(|(key, event)| Some((*key, event.owner, event.next_action?)));
        for (key, owner, action) in actions.collect::<Vec<_>>() {
            // A stalled loop continues later, and reads the clock then.
            if self.runs(owner) {
                self.events.get_mut(&key).expect("known").next_action = None;
                self.perform(key, owner, action);
            }
        }
        let now = self.sites.net.now;
        let answered = self.events.iter().filter(|(_, event)| event.answers.is_some_and(|at| at <= now));
        let answered: Vec<(Key, Source)> = answered.map(|(key, event)| (*key, event.owner)).collect();
        for (key, owner) in answered {
            let crashed =
                self.sites.net.node(owner.gateway).is_none_or(|gateway| gateway.pending.source() != owner);
            if crashed || self.runs(owner) {
                self.events.get_mut(&key).expect("known").answers = None;
            }
            if self.runs(owner) {
                self.sites
                    .step(owner.gateway, Step::Ended { key, outcome: Outcome::Served, answer: vec![1] });
                self.record_end(key, "served");
            }
        }
    }

    fn perform(&mut self, key: Key, owner: Source, action: NextAction) {
        let (of, now) = (owner.gateway, self.sites.net.now);
        match action {
            NextAction::Announce => {
                let (worker, at) = ("w".into(), self.sites.wall(of));
                self.sites.step(of, Step::Sending { key, attempt: 0, worker, at });
            }
            NextAction::Write(until) if self.sites.net.clock(of) < until => {
                let event = self.events.get_mut(&key).expect("known");
                event.sent.push(owner);
                event.answers = Some(now + 300 * MS);
                self.late += usize::from(
                    event.reported_end.is_some_and(|end| end != GIVEN_UP)
                        && event.again == RepeatSafety::Unsafe,
                );
                self.reached(key, Progress::Sent);
            }
            NextAction::Write(_) => {
                self.sites.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
                self.record_end(key, GIVEN_UP);
            }
        }
    }

    fn pass(&mut self, span: Micros) {
        let until = self.sites.net.now + span;
        while self.sites.net.now < until {
            self.sites.run(self.sites.net.now + 10 * MS);
            self.loops();
            let now = self.sites.net.now;
            for (_, of) in self.repairs.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                match of {
                    100.. => self.sites.set_falsely_dead(u16::from(of - 100), false),
                    site => self.sites.set_isolated(site, false),
                }
            }
        }
    }

    /// Runs until all events have ended, and checks that nothing went wrong.
    fn check_all(&mut self, seed: u64, name: &str) {
        self.find_violations();
        assert_eq!(self.late, 0, "{name}, seed {seed}: first bytes after an end was reported");
        assert!(self.violations.is_empty(), "{name}, seed {seed}: {:?}", self.violations);
    }

    fn find_violations(&mut self) {
        self.pass(45 * S);
        for (key, event) in &self.events {
            let senders: BTreeSet<&Source> = event.sent.iter().collect();
            if event.again == RepeatSafety::Unsafe && senders.len() > 1 {
                self.violations.push(format!("{key:?} was sent from {senders:?}"));
            }
            if event.reported_end.is_none() && event.at > Progress::Written {
                let statuses: Vec<Option<EventStatus>> = self
                    .sites
                    .net
                    .node_ids()
                    .map(|of| self.sites.net.node(of)?.pending.event_status(*key))
                    .collect();
                self.violations
                    .push(format!("{key:?} {:?} {:?} has no end: {statuses:?}", event.again, event.at));
            }
        }
    }
}

const STEPS: [Progress; 5] =
    [Progress::Written, Progress::Replicated, Progress::Announced, Progress::Sent, Progress::Ended];
const KINDS: [RepeatSafety; 3] =
    [RepeatSafety::Safe, RepeatSafety::Unsafe, RepeatSafety::Keyed { window: 60 * S }];

/// Several events of each kind are pending at an owner that is disrupted once one of them has reached a step.
fn run_disrupted(layout: &[u8], seed: u64, disruptions: Vec<Disruption>) -> Run {
    let mut run = Run::new(layout, seed, disruptions);
    let owner = (seed % layout.len() as u64) as MemberId;
    for round in 0..6 {
        let again = KINDS[(round + seed as usize) % 3];
        if run.accept(owner, again).is_none() {
            break;
        }
        run.pass((seed % 5) * 7 * MS + 10 * MS);
    }
    run
}

const LAYOUTS: [&[u8]; 3] = [&[0, 1, 2], &[0, 0, 1, 1, 2, 2], &[0, 1, 2, 3]];

#[test]
fn each_event_ends_once_if_its_site_is_killed_at_any_step() {
    for seed in seeds(3) {
        for at in STEPS {
            let disruptions = vec![Disruption { at, taken_over: false, what: DisruptionKind::KillSite }];
            let mut run = run_disrupted(LAYOUTS[seed as usize % 3], seed, disruptions);
            run.check_all(seed, &format!("killed when {at:?}"));
        }
    }
}

#[test]
fn another_gateway_takes_over_if_the_successor_is_killed_at_any_step() {
    for seed in seeds(3) {
        for at in STEPS {
            let first =
                Disruption { at: Progress::Replicated, taken_over: false, what: DisruptionKind::KillSite };
            let then = Disruption { at, taken_over: true, what: DisruptionKind::KillSite };
            let mut run = run_disrupted(LAYOUTS[2], seed, vec![first, then]);
            run.check_all(seed, &format!("successor killed when {at:?}"));
        }
    }
}

#[test]
fn a_successor_isolated_or_stalled_at_any_step_runs_nothing_twice() {
    for seed in seeds(3) {
        for at in STEPS {
            for what in [DisruptionKind::IsolateSite, DisruptionKind::Stall(12 * S)] {
                let first = Disruption {
                    at: Progress::Replicated,
                    taken_over: false,
                    what: DisruptionKind::KillSite,
                };
                let then = Disruption { at, taken_over: true, what };
                let mut run = run_disrupted(LAYOUTS[2], seed, vec![first, then]);
                run.check_all(seed, &format!("successor disrupted by {what:?} when {at:?}"));
            }
        }
    }
}

#[test]
fn an_owner_stalled_at_any_step_sends_nothing_late() {
    for seed in seeds(3) {
        for at in STEPS {
            let span = [1, 4, 30][seed as usize % 3] * S;
            let disruptions = vec![Disruption { at, taken_over: false, what: DisruptionKind::Stall(span) }];
            let mut run = run_disrupted(LAYOUTS[seed as usize % 2], seed, disruptions);
            run.check_all(seed, &format!("stalled for {span} us when {at:?}"));
        }
    }
}

#[test]
fn events_of_a_site_isolated_at_any_step_end_elsewhere_and_the_site_rejoins() {
    for seed in seeds(3) {
        for at in STEPS {
            let disruptions = vec![Disruption { at, taken_over: false, what: DisruptionKind::IsolateSite }];
            let mut run = run_disrupted(LAYOUTS[seed as usize % 3], seed, disruptions);
            run.check_all(seed, &format!("isolated when {at:?}"));
        }
    }
}

/// Whether anything goes wrong with an injected fault, over a few seeds of an owner that is disrupted once an event
/// has reached a step.
fn has_violations(at: Progress, what: DisruptionKind, inject: impl Fn(&mut PendingEvents)) -> bool {
    (0..6).any(|seed| {
        let mut run = Run::new(LAYOUTS[1], seed, vec![Disruption { at, taken_over: false, what }]);
        for of in run.sites.net.node_ids() {
            run.sites.net.node_mut(of).into_iter().for_each(|gateway| inject(&mut gateway.pending));
        }
        (0..4).for_each(|_| _ = run.accept(0, RepeatSafety::Unsafe));
        run.find_violations();
        run.late > 0 || !run.violations.is_empty()
    })
}

#[test]
fn running_events_that_were_sent_is_detected() {
    assert!(has_violations(Progress::Sent, DisruptionKind::KillSite, |gateway| gateway
        .inject_recovery_fault(RecoveryFault::RerunsSentEvents)));
    assert!(!has_violations(Progress::Sent, DisruptionKind::KillSite, |_| {}));
}

#[test]
fn skipping_claims_is_detected() {
    assert!(has_violations(Progress::Replicated, DisruptionKind::KillSite, |gateway| gateway
        .inject_recovery_fault(RecoveryFault::SkipsClaims)));
    assert!(!has_violations(Progress::Replicated, DisruptionKind::KillSite, |_| {}));
}

/// `HEIRS_SEEDS=0..200 cargo test --release -p basaltward-pending --test takeover_faults losses -- --nocapture`
#[test]
fn losses_under_load_lose_and_duplicate_no_event() {
    let (mut times, mut counts, mut pending, mut losses) = (Vec::new(), BTreeMap::new(), 0, 0);
    for seed in seeds(2) {
        let layout = LAYOUTS[seed as usize % 3];
        let mut run = Run::new(layout, seed, Vec::new());
        for round in 0..100 {
            for of in run.sites.net.node_ids() {
                run.accept(of, KINDS[(round + usize::from(of)) % 3]);
            }
            run.pass(20 * MS);
        }
        let of = (seed % layout.len() as u64) as MemberId;
        let site = layout[usize::from(of)];
        let pending_at_site = |(_, event): &(&Key, &Event)| {
            layout[usize::from(event.owner.gateway)] == site
                && event.reported_end.is_none()
                && event.at > Progress::Written
        };
        let expected: BTreeSet<Key> =
            run.events.iter().filter(pending_at_site).map(|(key, _)| *key).collect();
        let unsent: BTreeSet<Key> =
            expected.iter().copied().filter(|key| run.events[key].sent.is_empty()).collect();
        run.sites.kill_site(site);
        let killed = run.sites.net.now;
        while expected.iter().any(|key| run.events[key].reported_end.is_none())
            && run.sites.net.now < killed + 60 * S
        {
            run.pass(10 * MS);
        }
        times.push((run.sites.net.now - killed) / MS);
        run.find_violations();
        assert!(run.violations.is_empty() && run.late == 0, "seed {seed}: {:?}", run.violations);
        pending += expected.len();
        losses += run.losses;
        for key in &expected {
            let how = match run.events[key].reported_end {
                Some("unknown") if unsent.contains(key) => "unknown, announced and never sent",
                how => how.unwrap_or("lost"),
            };
            *counts.entry(how).or_insert(0) += 1;
        }
    }
    times.sort_unstable();
    let of = |share: usize| times[(times.len() - 1) * share / 100];
    println!("{} losses, {pending} events pending: {counts:?}, lost parts of journals {losses}", times.len());
    println!(
        "from loss until all events have ended: {} ms p50, {} ms p99, {} ms at most",
        of(50),
        of(99),
        of(100)
    );
    assert!(!counts.contains_key("lost"), "{counts:?}");
}

/// A gateway that is taken over itself, while an event it has claimed waits for the rate limit, must claim the event
/// again before it runs it.
#[test]
fn events_claimed_before_a_takeover_are_claimed_again() {
    let layout = SiteMap::new(vec![0, 1, 2], 1).expect("one");
    let (life, holders, slack, remember) = (10, vec![1], 0, 0);
    let settings = RecoverySettings {
        site_map: layout,
        life,
        holders,
        clock_skew_ms: slack,
        concurrency: 0,
        rate: 1_000,
        retention_ms: remember,
    };
    let mut recovery = Recovery::new(&settings, 0);
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
    let snapshot = JournalSnapshot { source, through: 1, head: 1, silent_for: 0, entries };
    recovery.take_over(S, 0, 1, true, vec![snapshot]);
    let mut out = Vec::new();
    recovery.wake(S, 1, &mut out);
    assert_eq!(out, [RecoveryOutput::Send(2, TakeoverMessage::Claim(vec![(key, source, 1)]))]);
    let reply = ClaimReply {
        key,
        decision: ClaimDecision::Granted,
        first_send: FirstSend::Never,
        accepted_entry: None,
        journal_extent: None,
        other_journal_incomplete: false,
    };
    let message = TakeoverMessage::ClaimReplies { age: 100 * S, replies: vec![reply] };
    recovery.handle_message(S, 2, message.clone(), |_, _| Vec::new(), &mut out);
    recovery.wake(S, 1, &mut out);
    assert_eq!(recovery.event_status(key), Some(EventStatus::OwnedBy(1)), "it waits for the rate limit");
    // The gateway was taken over meanwhile and has returned.
    recovery.take_over(2 * S, 1, 10, false, Vec::new());
    recovery.set_limits(1_000, 8);
    out.clear();
    recovery.wake(2 * S, 2, &mut out);
    assert_eq!(out, [RecoveryOutput::Send(2, TakeoverMessage::Claim(vec![(key, source, 1)]))]);
    recovery.handle_message(2 * S, 2, message, |_, _| Vec::new(), &mut out);
    out.clear();
    recovery.wake(2 * S, 2, &mut out);
    assert!(matches!(out[..], [RecoveryOutput::Adopt { resolution: Resolution::Run, .. }]), "{out:?}");
}
