//! Replication of journals under faults, in virtual time over many seeds: an event that was reported as replicated is
//! stored by as many holders as its class requires until it has ended, and nothing is stored that was not written.
//! For other seeds:
//! `PENDING_SEEDS=0..2000 cargo test --release -p basaltward-pending`.
use basaltward_membership::{LinkFaults, MemberId, Micros, SiteMap};
use basaltward_pending::{
    Accepted, FrameDamage, HolderFault, Key, Outcome, Output, PendingSettings, RepeatSafety,
    ReplicationError, SimulatedOutput, SimulatedSites, Source, Step,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

const S: Micros = 1_000_000;
const STEP: Micros = 20_000;
/// If no other fault occurs, a crash is noticed and another holder has all pending events within this time.
const REPAIR: Micros = 12 * S;

fn seeds(default: u64) -> std::ops::Range<u64> {
    let range = std::env::var("PENDING_SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..default)
}

/// An event as recorded by the test.
struct Event {
    owner: MemberId,
    source: Source,
    required: usize,
    at: Micros,
    /// It has expired then.
    until: Micros,
    replicated: Option<Micros>,
    /// The loop ends it then.
    ends: Option<Micros>,
    answered: bool,
}

struct Run {
    sites: SimulatedSites,
    rng: StdRng,
    events: BTreeMap<Key, Event>,
    /// All steps that loops have reported, by their Debug text.
    reported_steps: BTreeSet<Vec<u8>>,
    killed: Vec<(Micros, MemberId)>,
    restart: Vec<(Micros, MemberId)>,
    unblock: Vec<(Micros, (MemberId, MemberId))>,
    falsely_dead: Vec<(Micros, MemberId)>,
    /// The time since which the only faults are crashes.
    calm_since: Micros,
    next_key: u128,
    gap: Micros,
    counts: (u64, u64, u64),
    violations: Vec<(Micros, String)>,
}

const CLASSES: [u8; 3] = [1, 2, 0];

impl Run {
    fn new(layout: Vec<u8>, seed: u64, link: LinkFaults, damage: FrameDamage) -> Self {
        let settings =
            PendingSettings::new(SiteMap::new(layout.clone(), 0).expect("one"), 0, CLASSES.into(), seed);
        Self::with(layout, PendingSettings { retention_ms: 10_000, ..settings }, link, damage)
    }

    fn with(layout: Vec<u8>, settings: PendingSettings, link: LinkFaults, damage: FrameDamage) -> Self {
        let seed = settings.seed;
        let mut sites = SimulatedSites::new(layout, settings, link);
        sites.damage = damage;
        Self {
            sites,
            rng: StdRng::seed_from_u64(seed ^ 0x5eed),
            events: BTreeMap::new(),
            reported_steps: BTreeSet::new(),
            killed: Vec::new(),
            restart: Vec::new(),
            unblock: Vec::new(),
            falsely_dead: Vec::new(),
            calm_since: 0,
            next_key: 1,
            gap: 100_000,
            counts: (0, 0, 0),
            violations: Vec::new(),
        }
    }

    fn now(&self) -> Micros {
        self.sites.net.now
    }

    fn size(&self) -> MemberId {
        self.sites.net.node_ids().end
    }

    fn step(&mut self, of: MemberId, step: Step) {
        self.reported_steps.insert(format!("{step:?}").into_bytes());
        self.sites.step(of, step);
    }

    fn accept(&mut self, of: MemberId) {
        let Some(gateway) = self.sites.net.node(of) else { return };
        let (source, now) = (gateway.pending.source(), self.now());
        let key = Key(self.next_key);
        self.next_key += 1;
        let class = self.rng.random_range(0..2);
        let again = [RepeatSafety::Safe, RepeatSafety::Unsafe, RepeatSafety::Keyed { window: 3 * S }]
            [self.rng.random_range(0..3)];
        let event = vec![self.rng.random(); self.rng.random_range(0..400)];
        let patience = self.rng.random_range(4_000..20_000);
        let deadline = self.sites.wall(of) + patience;
        let required = CLASSES[usize::from(class)].into();
        let known = Event {
            owner: of,
            source,
            required,
            at: now,
            until: now + patience * 1_000,
            replicated: None,
            ends: None,
            answered: false,
        };
        self.events.insert(key, known);
        let (function, tenant, finish_without_client) = ("f".into(), 0, false);
        let accepted = Accepted {
            key,
            class,
            tenant,
            function,
            repeat_safety: again,
            finish_without_client,
            deadline,
            event,
        };
        self.step(of, Step::Accepted(accepted));
    }

    /// Reacts to outputs as the loops of a gateway do.
    fn loops(&mut self) {
        for (at, of, output) in std::mem::take(&mut self.sites.net.outputs) {
            let SimulatedOutput::Local(output) = output else { continue };
            let wall = self.sites.wall(of);
            match output {
                Output::Replicated { key } => {
                    let Some(event) = self.events.get_mut(&key) else { continue };
                    (event.replicated, event.answered) = (Some(at), true);
                    self.counts.0 += 1;
                    self.step(of, Step::Sending { key, attempt: 0, worker: "w".into(), at: wall });
                }
                Output::NotReplicated { key, why } => {
                    self.counts.1 += 1;
                    // The journal itself writes this end.
                    let end = Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() };
                    self.reported_steps.insert(format!("{end:?}").into_bytes());
                    self.events.remove(&key);
                    if matches!(
                        why,
                        ReplicationError::NotPending(_)
                            | ReplicationError::AlreadyPending(_)
                            | ReplicationError::ClassNotReplicated(_)
                            | ReplicationError::NoLease
                    ) {
                        self.violations.push((at, format!("{key:?} not replicated: {why}")));
                    }
                }
                Output::SendAllowed { key, .. } => {
                    let ends = at + self.rng.random_range(1_000..6 * S);
                    self.events.get_mut(&key).into_iter().for_each(|event| event.ends = Some(ends));
                }
                Output::SendDenied { key, .. } => {
                    self.counts.2 += 1;
                    self.events.get_mut(&key).into_iter().for_each(|event| event.ends = Some(at));
                }
                Output::OwnershipLost { key } => _ = self.events.remove(&key),
                // Events of lost gateways are dropped here; tests/takeover.rs covers them.
                Output::Run { accepted: Accepted { key, .. }, .. } => {
                    self.step(of, Step::Ended { key, outcome: Outcome::Refused, answer: Vec::new() });
                }
                _ => {}
            }
        }
        let now = self.now();
        let ended = self.events.iter().filter(|(_, event)| {
            event.ends.is_some_and(|ends| ends <= now) && self.sites.net.is_up(event.owner)
        });
        let ended: Vec<(Key, MemberId)> = ended.map(|(key, event)| (*key, event.owner)).collect();
        for (key, of) in ended {
            let current = self.events.remove(&key).is_some_and(|event| {
                self.sites.net.node(of).is_some_and(|gateway| gateway.pending.source() == event.source)
            });
            if current {
                let answer = vec![7; self.rng.random_range(0..200)];
                self.step(of, Step::Ended { key, outcome: Outcome::Served, answer });
            }
        }
    }

    /// Every event reported as replicated is stored by the required number of holders, except for holders that
    /// crashed too recently to have been replaced. After the owner's crash no holder is replaced.
    fn check(&mut self) {
        let now = self.now();
        for (key, event) in &self.events {
            let lost =
                self.killed.iter().find(|(at, of)| *of == event.owner && *at >= event.at).map(|(at, _)| *at);
            if event.replicated.is_none() || now > event.until {
                continue;
            }
            let repaired = |at: Micros| {
                let until = lost.unwrap_or(now);
                at.max(self.calm_since.min(until)) + REPAIR < until
            };
            let excused: BTreeSet<MemberId> = self
                .killed
                .iter()
                .filter(|(at, _)| *at + S >= event.at && !repaired(*at))
                .map(|(_, of)| *of)
                .collect();
            let holders = self.sites.holders(event.source, *key);
            if holders + excused.len() < event.required {
                let text = format!("{key:?} of {} has {holders} of {}", event.owner, event.required);
                self.violations.push((now, text));
            }
        }
        if now.is_multiple_of(S) {
            self.check_contents();
        }
    }

    /// Only reported steps are stored, and two gateways that store an entry store the same.
    fn check_contents(&mut self) {
        let now = self.now();
        let mut chains = BTreeMap::new();
        for of in self.sites.net.node_ids() {
            let Some(gateway) = self.sites.net.node(of) else { continue };
            for source in gateway.pending.sources() {
                let snapshots = gateway.pending.snapshots(source.gateway, source.life);
                let entries = snapshots
                    .into_iter()
                    .filter(|snapshot| snapshot.source == source)
                    .flat_map(|snapshot| snapshot.entries);
                for entry in entries {
                    let known = *chains.entry((source, entry.number)).or_insert(entry.chain);
                    if !self.reported_steps.contains(format!("{:?}", entry.step).as_bytes())
                        || known != entry.chain
                    {
                        self.violations.push((now, format!("{of} holds {entry:?}, which was not written")));
                    }
                }
            }
        }
    }

    fn kill(&mut self, of: MemberId, downtime: Micros) {
        let now = self.now();
        if self.sites.net.node(of).is_some() {
            self.sites.kill(of);
            self.killed.push((now, of));
            self.restart.push((now + downtime, of));
        }
    }

    fn block(&mut self, link: (MemberId, MemberId), span: Micros) {
        self.sites.net.set_blocked(link, true);
        self.unblock.push((self.now() + span, link));
        self.calm_since = self.calm_since.max(self.now() + span);
    }

    fn inject_random_fault(&mut self, layout: &[u8]) {
        let size = u64::from(self.size());
        let (one, other) =
            (self.rng.random_range(0..size) as MemberId, self.rng.random_range(0..size) as MemberId);
        let span = self.rng.random_range(S..6 * S);
        match self.rng.random_range(0..9) {
            8 => {
                self.sites.set_falsely_dead(one, true);
                self.falsely_dead.push((self.now() + span, one));
            }
            0 | 1 => self.kill(one, span),
            2 => {
                let site = layout[usize::from(one)];
                (0..self.size())
                    .filter(|of| layout[usize::from(*of)] == site)
                    .for_each(|of| self.kill(of, span));
            }
            3 if self.sites.net.is_up(one) => {
                self.sites.net.pause(one, span);
                self.calm_since = self.calm_since.max(self.now() + span);
            }
            4 | 5 if one != other => self.block((one, other), span),
            6 if one != other => {
                self.block((one, other), span);
                self.block((other, one), span);
            }
            _ => (0..self.size()).for_each(|of| self.sites.reconnect(one, of)),
        }
    }

    fn due(&mut self) {
        let now = self.now();
        for (_, of) in self.restart.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.sites.start(of);
        }
        for (_, of) in self.falsely_dead.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            self.sites.set_falsely_dead(of, false);
        }
        for (_, link) in self.unblock.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
            let still = self.unblock.iter().any(|(_, other)| *other == link);
            self.sites.net.set_blocked(link, still);
        }
    }

    fn pass(&mut self, span: Micros, load: bool) {
        let until = self.now() + span;
        while self.now() < until {
            let next = self.now() + STEP;
            self.sites.run(next);
            self.due();
            self.loops();
            self.check();
            if load && self.rng.random_range(0..self.gap) < STEP {
                let of = self.rng.random_range(0..self.size());
                if self.sites.net.is_up(of) {
                    self.accept(of);
                }
            }
        }
    }

    fn run_with_faults(&mut self, layout: &[u8], bursts: usize) {
        self.sites.start_all();
        self.pass(6 * S, true);
        for _ in 0..bursts {
            for _ in 0..self.rng.random_range(1..4) {
                self.inject_random_fault(layout);
                let span = self.rng.random_range(0..3 * S) / STEP * STEP;
                self.pass(span, true);
            }
            self.pass(26 * S, true);
        }
    }
}

fn scenario(seed: u64) -> (Vec<u8>, LinkFaults, FrameDamage) {
    let layout = [vec![0, 0, 1, 1, 2, 2], vec![0, 1], vec![0, 0, 1, 1], vec![0, 1, 2, 3], vec![0, 1, 2, 2]];
    let link = match seed % 3 {
        0 => LinkFaults { loss_rate: 0.0, duplicate_rate: 0.0, delay_range: (5_000, 5_000) },
        1 => LinkFaults { loss_rate: 0.05, duplicate_rate: 0.1, delay_range: (1_000, 60_000) },
        _ => LinkFaults { loss_rate: 0.02, duplicate_rate: 0.2, delay_range: (100_000, 300_000) },
    };
    let damage = match seed % 4 {
        0 => FrameDamage::default(),
        _ => FrameDamage { cut: 0.01, changed: 0.01, payload_changed: 0.01 },
    };
    (layout[seed as usize % layout.len()].clone(), link, damage)
}

fn run(seed: u64, bursts: usize, fault: Option<HolderFault>) -> Run {
    let (layout, link, damage) = scenario(seed);
    let mut run = Run::new(layout.clone(), seed, link, damage);
    run.sites.injected_fault = fault;
    if seed % 5 == 4 {
        (0..run.size()).for_each(|of| run.sites.net.set_clock_rate(of, [0.95, 1.05][usize::from(of) % 2]));
    }
    run.run_with_faults(&layout, bursts);
    run
}

type Seen = (u64, (u64, u64, u64), Vec<(Micros, String)>);

/// Runs these seeds on a few threads.
fn run_parallel(seeds: std::ops::Range<u64>, run: impl Fn(u64) -> Run + Sync) -> Vec<Seen> {
    let (next, seen) = (AtomicU64::new(seeds.start), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..3 {
            scope.spawn(|| {
                while let seed = next.fetch_add(1, Relaxed)
                    && seed < seeds.end
                {
                    let run = run(seed);
                    seen.lock().expect("no run panics").push((seed, run.counts, run.violations));
                }
            });
        }
    });
    let mut seen = seen.into_inner().expect("no run panics");
    seen.sort_unstable();
    seen
}

#[test]
fn replicated_events_stay_replicated_under_successive_faults() {
    let (mut replicated, mut not_replicated, mut denied) = (0, 0, 0);
    for (seed, counts, violations) in run_parallel(seeds(4), |seed| run(seed, 3, None)) {
        assert!(violations.is_empty(), "seed {seed}: {:?}", &violations[..violations.len().min(5)]);
        (replicated, not_replicated, denied) =
            (replicated + counts.0, not_replicated + counts.1, denied + counts.2);
    }
    println!("replicated {replicated}, not replicated {not_replicated}, send denied {denied}");
    assert!(replicated > 10 * not_replicated.max(denied) / 4, "{replicated} {not_replicated} {denied}");
}

#[test]
fn injected_faults_are_detected() {
    for fault in [HolderFault::AcksBeforeStoring, HolderFault::SkipsChainCheck] {
        let seen = run_parallel(0..6, |seed| run(seed * 4 + 1, 1, Some(fault)));
        let found = seen.iter().filter(|(.., violations)| !violations.is_empty()).count();
        assert!(found >= 3, "{fault:?} was detected by {found} of 6 seeds");
    }
}
