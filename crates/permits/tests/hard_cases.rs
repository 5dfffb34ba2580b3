//! Failures of a fleet in virtual time, over many seeds: never more schedulers are out by permit than the bound allows,
//! and none is taken out while failures use up the bound. Other seeds: `AGREED_SEEDS=0..500 cargo test --release`.
use basaltward_membership::{LinkFaults, MemberId, Micros};
use basaltward_permits::{
    Bounds, Denied, Fault, Limit, Observations, PermitRequest, PermitSettings, Subject, VirtualFleet,
};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;
const BOUND: usize = 2;

fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let range = std::env::var("AGREED_SEEDS").unwrap_or_default();
    let range = range.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    range.unwrap_or(0..default_count)
}

/// A permit that an operator has received and not yet acted on.
struct HeldPermit {
    member: MemberId,
    number: u16,
    /// The scheduler through which it was requested.
    through: MemberId,
    /// Until when it may be acted on, by that scheduler's clock.
    until: Micros,
    /// When the operator acts on it.
    act_at: Micros,
}

/// A fleet whose operators request permits for schedulers all the time, and its actual state.
struct Run {
    fleet: VirtualFleet,
    settings: PermitSettings,
    /// Schedulers that are out by a permit, with the time at which each comes back and the number of the permit.
    out: BTreeMap<MemberId, (Micros, u16)>,
    /// Schedulers that have failed, and since when.
    failed: BTreeMap<MemberId, Micros>,
    /// Permits that operators have received and not yet acted on.
    held: Vec<HeldPermit>,
    /// Permits still to be returned, by scheduler: the scheduler is in use again.
    to_return: BTreeMap<MemberId, u16>,
    /// How many of the replies have been read.
    answers_read: usize,
    next_request: Micros,
    /// How many schedulers have been taken out by a permit so far.
    taken_out: usize,
    /// Violations of the bound, with their time.
    violations: Vec<(Micros, String)>,
    /// A scheduler that is taken out is down for one second and up to this time.
    max_down: Micros,
    /// Operators act on permits without checking the time.
    ignores_lease: bool,
}

impl Run {
    fn new(size: MemberId, seed: u64, loss_rate: f64) -> Self {
        let most = Limit::Number(BOUND as u16);
        let bounds = Bounds { schedulers: most, schedulers_of_zone: most, ..Bounds::default() };
        let settings = PermitSettings { bounds, ..PermitSettings::new(size, 0, 0, seed) };
        let link = LinkFaults { loss_rate, duplicate_rate: 0.05, ..LinkFaults::default() };
        let fleet = VirtualFleet::new(size, settings.clone(), Observations::new(), link);
        Self {
            fleet,
            settings,
            out: BTreeMap::new(),
            failed: BTreeMap::new(),
            held: Vec::new(),
            to_return: BTreeMap::new(),
            answers_read: 0,
            next_request: 0,
            taken_out: 0,
            violations: Vec::new(),
            max_down: 3 * S,
            ignores_lease: false,
        }
    }

    fn now(&self) -> Micros {
        self.fleet.net.now
    }

    fn size(&self) -> MemberId {
        self.fleet.net.node_ids().end
    }

    fn up(&self) -> Vec<MemberId> {
        self.fleet.net.node_ids().filter(|member| self.fleet.net.is_up(*member)).collect()
    }

    fn any_up(&mut self) -> Option<MemberId> {
        let up = self.up();
        let index = self.fleet.net.random_below(up.len() as u64) as usize;
        up.get(index).copied()
    }

    fn start(&mut self, member: MemberId) {
        self.failed.remove(&member);
        self.fleet.start(member);
    }

    fn kill(&mut self, member: MemberId) {
        if self.fleet.net.node(member).is_some() {
            self.fleet.net.kill(member);
            self.failed.insert(member, self.now());
        }
    }

    /// Runs the fleet and its operators for this long.
    fn advance(&mut self, span: Micros) {
        let until = self.now() + span;
        while self.now() < until {
            let next = (self.now() + 50_000).min(until);
            self.fleet.run(next);
            self.operate();
        }
    }

    fn operate(&mut self) {
        let now = self.now();
        for index in self.answers_read..self.fleet.answers.len() {
            let answer = self.fleet.answers[index];
            match (answer.request, answer.answer) {
                (PermitRequest::Acquire(Subject::Scheduler(member)), Ok(number)) => {
                    let act_at =
                        now + self.fleet.net.random_below(if self.ignores_lease { 30 * S } else { 3 * S });
                    let (through, until) = (answer.through, answer.until);
                    self.held.push(HeldPermit { member, number, through, until, act_at });
                }
                (PermitRequest::Return(Subject::Scheduler(member), number), Ok(_) | Err(Denied::Stale)) => {
                    self.to_return.retain(|back, returned| (*back, *returned) != (member, number));
                }
                _ => {}
            }
        }
        self.answers_read = self.fleet.answers.len();
        // A permit that may still be acted on can take its scheduler out at any moment.
        let usable = self.held.iter().filter(|held| self.fleet.net.clock(held.through) < held.until);
        let all: BTreeSet<_> = usable.map(|held| held.member).chain(self.out.keys().copied()).collect();
        if all.len() > BOUND {
            self.violations.push((now, format!("{all:?} are out or may be taken out")));
        }
        let (due, held): (Vec<_>, Vec<_>) = self.held.drain(..).partition(|held| held.act_at <= now);
        self.held = held;
        for HeldPermit { member, number, through, until, .. } in due {
            let in_time = self.ignores_lease || self.fleet.net.clock(through) < until;
            if in_time && self.fleet.net.node(member).is_some() {
                self.take_out(member, number);
            }
        }
        let returning =
            self.out.iter().filter(|(_, (at, _))| *at <= now).map(|(member, (_, number))| (*member, *number));
        for (member, number) in returning.collect::<Vec<_>>() {
            self.out.remove(&member);
            self.fleet.start(member);
            self.to_return.insert(member, number);
        }
        if now >= self.next_request {
            self.next_request = now + 200_000 + self.fleet.net.random_below(400_000);
            let (member, through) =
                (self.fleet.net.random_below(self.size().into()) as MemberId, self.any_up());
            let next_return = self.to_return.first_key_value().map(|(member, number)| (*member, *number));
            if let Some(through) = through {
                self.fleet.submit(through, PermitRequest::Acquire(Subject::Scheduler(member)));
                if let Some((member, number)) = next_return {
                    self.fleet.submit(through, PermitRequest::Return(Subject::Scheduler(member), number));
                }
            }
        }
    }

    /// Takes a scheduler out by its permit, and checks the bound. Failures count once the leader could have observed
    /// them.
    fn take_out(&mut self, member: MemberId, number: u16) {
        let now = self.now();
        self.fleet.net.kill(member);
        let back_at = now + S + self.fleet.net.random_below(self.max_down);
        self.out.insert(member, (back_at, number));
        self.taken_out += 1;
        let observable = now.saturating_sub(self.settings.settle + self.settings.times.lease);
        let failed = self.failed.values().filter(|since| **since <= observable).count();
        if self.out.len() > BOUND || self.out.len() + failed > BOUND.max(failed) {
            let violation = format!("{:?} out by permit, {failed} failed", self.out.keys());
            self.violations.push((now, violation));
        }
    }

    fn leader(&self) -> Option<MemberId> {
        self.fleet.leaders().first().copied()
    }

    /// Runs until a leader grants permits again and a scheduler is taken out by one.
    fn run_until_permit_used(&mut self) {
        let (until, taken_out) = (self.now() + 180 * S, self.taken_out);
        while self.taken_out == taken_out {
            assert!(self.now() < until, "no permit in 180 s; leaders {:?}", self.fleet.leaders());
            self.advance(S / 2);
        }
    }
}

type Case = (&'static str, fn(&mut Run));

const CASES: [Case; 12] = [
    ("nothing fails", |run| run.advance(40 * S)),
    ("the leader is killed repeatedly, at random moments", |run| {
        for _ in 0..12 {
            let moment = run.fleet.net.random_below(4 * S);
            run.advance(moment);
            if let Some(member) = run.leader() {
                run.kill(member);
                run.advance(S);
                run.start(member);
            }
        }
    }),
    ("the leader is paused for twenty seconds", |run| {
        for _ in 0..2 {
            if let Some(member) = run.leader() {
                run.fleet.net.pause(member, 20 * S);
            }
            run.advance(25 * S);
        }
    }),
    ("the leader is paused for about the length of a lease", |run| {
        for _ in 0..10 {
            if let Some(member) = run.leader() {
                let span = S + run.fleet.net.random_below(3 * S);
                run.fleet.net.pause(member, span);
            }
            run.advance(5 * S);
        }
    }),
    ("the fleet is partitioned into two halves", |run| {
        let half: Vec<_> = (0..run.size() / 2).collect();
        for span in [6 * S, 20 * S] {
            run.fleet.net.set_isolated(&half, true);
            run.advance(span);
            run.fleet.net.set_isolated(&half, false);
            run.advance(10 * S);
        }
    }),
    ("the leader cannot send, then cannot receive", |run| {
        for can_send in [false, true] {
            let Some(member) = run.leader() else { continue };
            for blocked in [true, false] {
                for other in run.fleet.net.node_ids().filter(|other| *other != member) {
                    let link = if can_send { (other, member) } else { (member, other) };
                    run.fleet.net.set_blocked(link, blocked);
                }
                run.advance(8 * S);
            }
        }
    }),
    ("70 % of the schedulers are killed at once while permits are in force", |run| {
        let most: Vec<_> = (0..run.size() * 7 / 10).collect();
        most.iter().for_each(|member| run.kill(*member));
        run.advance(3 * S);
        most.iter().for_each(|member| run.start(*member));
    }),
    ("all voters are restarted within a second", |run| {
        for _ in 0..3 {
            for member in run.settings.voters.clone() {
                let moment = run.fleet.net.random_below(S / 5);
                run.advance(moment);
                if run.fleet.net.node(member).is_some() {
                    run.kill(member);
                    run.start(member);
                }
            }
            run.advance(20 * S);
        }
    }),
    ("one voter after another is restarted", |run| {
        for round in 0..15 {
            let member = run.settings.voters[round % run.settings.voters.len()];
            if run.fleet.net.node(member).is_some() {
                run.kill(member);
                run.start(member);
            }
            let moment = S / 2 + run.fleet.net.random_below(2 * S);
            run.advance(moment);
        }
    }),
    ("half of the clocks run 10 % fast, a quarter 10 % slow", |run| {
        for member in run.fleet.net.node_ids() {
            run.fleet.net.set_clock_rate(member, [1.1, 0.9, 1.1, 1.0][usize::from(member % 4)]);
            run.kill(member);
            run.start(member);
        }
        run.advance(40 * S);
        if let Some(member) = run.leader() {
            run.kill(member);
            run.advance(S);
            run.start(member);
        }
        run.advance(20 * S);
    }),
    ("a partitioned voter reconnects as all others restart", |run| {
        for _ in 0..4 {
            let voters = run.settings.voters.clone();
            let isolated = run.fleet.net.random_below(voters.len() as u64) as usize;
            run.fleet.net.set_isolated(&voters[isolated..=isolated], true);
            let span = 3 * S + run.fleet.net.random_below(25 * S);
            run.advance(span);
            run.fleet.net.set_isolated(&voters[isolated..=isolated], false);
            for member in voters.iter().copied().filter(|member| *member != voters[isolated]) {
                if run.fleet.net.node(member).is_some() {
                    run.kill(member);
                    run.start(member);
                }
            }
            run.advance(15 * S);
        }
    }),
    ("two schedulers never come back", |run| {
        run.kill(1);
        run.kill(2);
        run.advance(30 * S);
    }),
];

fn run_case(size: MemberId, seed: u64, case: Case, inject: impl FnOnce(&mut Run)) -> Run {
    let loss_rate = [0.05, 0.0, 0.15, 0.3][(seed % 4) as usize];
    let mut run = Run::new(size, seed, loss_rate);
    inject(&mut run);
    run.fleet.net.node_ids().for_each(|member| run.fleet.start(member));
    run.run_until_permit_used();
    (case.1)(&mut run);
    run.advance(15 * S);
    run
}

fn all_cases(size: MemberId, count: u64) {
    for seed in seeds(count) {
        for case in CASES {
            let mut run = run_case(size, seed, case, |_| {});
            // Once nothing fails any more, permits are granted again, except in the case in which schedulers never come
            // back.
            if case.0 != CASES[11].0 {
                run.run_until_permit_used();
            }
            assert!(run.violations.is_empty(), "{}, {size}, seed {seed}: {:?}", case.0, run.violations);
            assert!(run.fleet.net.longest_datagram <= basaltward_membership::MAX_DATAGRAM_BYTES);
        }
    }
}

#[test]
fn three_schedulers_keep_the_bound_in_each_case() {
    all_cases(3, 12);
}

#[test]
fn ten_schedulers_keep_the_bound_in_each_case() {
    all_cases(10, 4);
}

#[test]
fn thirty_schedulers_keep_the_bound_in_each_case() {
    all_cases(30, 1);
}

/// Whether the checker finds a violation in any of the cases with any of the seeds.
fn finds_violation(cases: &[usize], seeds: u64, inject: impl Fn(&mut Run)) -> bool {
    (0..seeds)
        .any(|seed| cases.iter().any(|case| !run_case(5, seed, CASES[*case], &inject).violations.is_empty()))
}

/// One voter misses the commit of two permits, and all voters that stored them restart before the schedulers that go
/// out by them are observed as down.
fn lose_committed_permits(seed: u64, inject: impl FnOnce(&mut Run)) -> Run {
    let mut run = Run::new(10, seed, 0.0);
    inject(&mut run);
    run.next_request = Micros::MAX;
    run.max_down = 60 * S;
    run.fleet.net.node_ids().for_each(|member| run.fleet.start(member));
    run.advance(40 * S);
    let missing =
        run.settings.voters.iter().copied().find(|member| Some(*member) != run.leader()).expect("a voter");
    let request = |member| PermitRequest::Acquire(Subject::Scheduler(member));
    run.fleet.net.set_isolated(&[missing], true);
    for member in [1, 3] {
        let through = run.leader().expect("a leader");
        run.fleet.submit(through, request(member));
    }
    // Operators act on the permits at the last moment.
    run.advance(S);
    run.held.iter_mut().for_each(|held| held.act_at = held.until - S / 10);
    run.fleet.net.set_isolated(&[missing], false);
    for member in run.settings.voters.clone().into_iter().filter(|member| *member != missing) {
        run.kill(member);
        run.start(member);
    }
    for _ in 0..20 {
        [5, 7].into_iter().for_each(|member| run.fleet.submit(missing, request(member)));
        run.advance(S / 4);
    }
    run
}

/// The checker finds each injected fault; this one is a voter that responds at once after a restart.
#[test]
fn a_voter_without_silence_after_restart_is_found() {
    let violated = |seed, inject: fn(&mut Run)| !lose_committed_permits(seed, inject).violations.is_empty();
    assert!((0..40).any(|seed| violated(seed, |run| run.fleet.inject(Fault::VotesAfterRestart))));
    assert!((0..40).all(|seed| !violated(seed, |_| {})));
}

#[test]
fn a_voter_that_does_not_check_epochs_is_found() {
    assert!(finds_violation(&[2, 3, 5], 40, |run| run.fleet.inject(Fault::IgnoresEpochs)));
}

#[test]
fn a_leader_that_ignores_permits_in_force_is_found() {
    assert!(finds_violation(&[0], 4, |run| run.fleet.inject(Fault::IgnoresPermits)));
}

#[test]
fn an_operator_that_acts_on_an_expired_permit_is_found() {
    assert!(finds_violation(&[0], 40, |run| run.ignores_lease = true));
}

/// A candidate that lost an election has to start another one later. Otherwise, if
/// four of five voters lose the first election and never start another one, a leader that dies is not replaced.
#[test]
fn a_dead_leader_is_replaced() {
    for seed in 0..20 {
        let mut run = Run::new(8, seed, 0.05);
        run.next_request = Micros::MAX;
        run.fleet.net.node_ids().for_each(|member| run.fleet.start(member));
        run.advance(40 * S);
        for _ in 0..2 {
            let member = run.leader().expect("a leader");
            run.kill(member);
            run.advance(12 * S);
            assert!(run.leader().is_some_and(|other| other != member), "seed {seed}");
        }
    }
}

/// Permits are granted while the bound allows it: the checks above would also hold if none ever were.
#[test]
fn permits_are_granted_within_the_bound() {
    let run = run_case(10, 1, CASES[0], |_| {});
    assert!(run.taken_out >= 8, "{} were taken out", run.taken_out);
    // Two schedulers that never come back use up the bound.
    let mut run = run_case(10, 1, CASES[11], |_| {});
    let taken_out = run.taken_out;
    run.advance(30 * S);
    assert_eq!(run.taken_out, taken_out);
    let last =
        run.fleet.answers.iter().rev().find(|answer| matches!(answer.request, PermitRequest::Acquire(_)));
    assert!(matches!(last.map(|last| last.answer), Some(Err(Denied::Bound { .. }))), "{last:?}");
}
