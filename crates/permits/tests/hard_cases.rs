//! What a fleet under a bound goes through, in virtual time, over many seeds: never more are out by permit than the
//! bound allows, and none goes while accidents use it up. Other seeds: `AGREED_SEEDS=0..500 cargo test --release`.
use basaltward_membership::{LinkFaults, MemberId, Micros};
use basaltward_permits::{
    Bounds, Denied, Fault, Limit, Observations, PermitRequest, PermitSettings, Subject, VirtualFleet,
};
use std::collections::{BTreeMap, BTreeSet};

const S: Micros = 1_000_000;
const BOUND: usize = 2;

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let told = std::env::var("AGREED_SEEDS").unwrap_or_default();
    let told = told.split_once("..").and_then(|(from, to)| Some(from.parse().ok()?..to.parse().ok()?));
    told.unwrap_or(0..usual)
}

/// A permit in an operator's hands.
struct Held {
    of: MemberId,
    number: u16,
    /// Through whom it was asked for, and until when it may be acted on, on that one's clock.
    by: MemberId,
    until: Micros,
    /// When the operator acts.
    at: Micros,
}

/// A fleet with operators that want schedulers out all the time, and its true state.
struct Run {
    fleet: VirtualFleet,
    settings: PermitSettings,
    /// Who is out by a permit, and when each comes back.
    out: BTreeMap<MemberId, (Micros, u16)>,
    /// Who is down by accident, since when.
    accidents: BTreeMap<MemberId, Micros>,
    /// Permits in operators' hands.
    held: Vec<Held>,
    /// Who is back, so that nothing more is done by its permit of this number.
    done: BTreeMap<MemberId, u16>,
    read: usize,
    next_ask: Micros,
    /// How often somebody went by a permit.
    gone: usize,
    /// What is broken, by time.
    broken: Vec<(Micros, String)>,
    /// One that goes is out for a second and up to this.
    away: Micros,
    /// Operators that don't look at the time.
    late: bool,
}

impl Run {
    fn new(size: MemberId, seed: u64, lost: f64) -> Self {
        let most = Limit::Number(BOUND as u16);
        let bounds = Bounds { schedulers: most, schedulers_of_zone: most, ..Bounds::default() };
        let settings = PermitSettings { bounds, ..PermitSettings::new(size, 0, 0, seed) };
        let link = LinkFaults { lost, doubled: 0.05, ..LinkFaults::default() };
        let fleet = VirtualFleet::new(size, settings.clone(), Observations::new(), link);
        Self {
            fleet,
            settings,
            out: BTreeMap::new(),
            accidents: BTreeMap::new(),
            held: Vec::new(),
            done: BTreeMap::new(),
            read: 0,
            next_ask: 0,
            gone: 0,
            broken: Vec::new(),
            away: 3 * S,
            late: false,
        }
    }

    fn now(&self) -> Micros {
        self.fleet.net.now
    }

    fn size(&self) -> MemberId {
        self.fleet.net.numbers().end
    }

    fn up(&self) -> Vec<MemberId> {
        self.fleet.net.numbers().filter(|of| self.fleet.net.is_up(*of)).collect()
    }

    fn any_up(&mut self) -> Option<MemberId> {
        let up = self.up();
        let at = self.fleet.net.draw(up.len() as u64) as usize;
        up.get(at).copied()
    }

    fn start(&mut self, of: MemberId) {
        self.accidents.remove(&of);
        self.fleet.start(of);
    }

    fn kill(&mut self, of: MemberId) {
        if self.fleet.net.node(of).is_some() {
            self.fleet.net.kill(of);
            self.accidents.insert(of, self.now());
        }
    }

    /// Lets time pass, with operators at work.
    fn pass(&mut self, span: Micros) {
        let until = self.now() + span;
        while self.now() < until {
            let next = (self.now() + 50_000).min(until);
            self.fleet.run(next);
            self.operate();
        }
    }

    fn operate(&mut self) {
        let now = self.now();
        for at in self.read..self.fleet.answers.len() {
            let told = self.fleet.answers[at];
            match (told.request, told.answer) {
                (PermitRequest::Acquire(Subject::Scheduler(of)), Ok(number)) => {
                    let at = now + self.fleet.net.draw(if self.late { 30 * S } else { 3 * S });
                    self.held.push(Held { of, number, by: told.through, until: told.until, at });
                }
                (PermitRequest::Return(Subject::Scheduler(of), number), Ok(_) | Err(Denied::Stale)) => {
                    self.done.retain(|who, done| (*who, *done) != (of, number));
                }
                _ => {}
            }
        }
        self.read = self.fleet.answers.len();
        // Whoever holds a permit that may be acted on yet may go at any moment.
        let may = self.held.iter().filter(|held| self.fleet.net.clock(held.by) < held.until);
        let all: BTreeSet<_> = may.map(|held| held.of).chain(self.out.keys().copied()).collect();
        if all.len() > BOUND {
            self.broken.push((now, format!("{all:?} are out or may go")));
        }
        let (due, held): (Vec<_>, Vec<_>) = self.held.drain(..).partition(|held| held.at <= now);
        self.held = held;
        for Held { of, number, by, until, .. } in due {
            let in_time = self.late || self.fleet.net.clock(by) < until;
            if in_time && self.fleet.net.node(of).is_some() {
                self.go(of, number);
            }
        }
        let back = self.out.iter().filter(|(_, (at, _))| *at <= now).map(|(of, (_, number))| (*of, *number));
        for (of, number) in back.collect::<Vec<_>>() {
            self.out.remove(&of);
            self.fleet.start(of);
            self.done.insert(of, number);
        }
        if now >= self.next_ask {
            self.next_ask = now + 200_000 + self.fleet.net.draw(400_000);
            let (of, by) = (self.fleet.net.draw(self.size().into()) as MemberId, self.any_up());
            let done = self.done.first_key_value().map(|(of, number)| (*of, *number));
            if let Some(by) = by {
                self.fleet.submit(by, PermitRequest::Acquire(Subject::Scheduler(of)));
                if let Some((of, number)) = done {
                    self.fleet.submit(by, PermitRequest::Return(Subject::Scheduler(of), number));
                }
            }
        }
    }

    /// One goes by its permit: the bound holds, with all accidents that could be known of.
    fn go(&mut self, of: MemberId, number: u16) {
        let now = self.now();
        self.fleet.net.kill(of);
        let back = now + S + self.fleet.net.draw(self.away);
        self.out.insert(of, (back, number));
        self.gone += 1;
        let known = now.saturating_sub(self.settings.settle + self.settings.times.lease);
        let accidents = self.accidents.values().filter(|since| **since <= known).count();
        if self.out.len() > BOUND || self.out.len() + accidents > BOUND.max(accidents) {
            let told = format!("{:?} out by permit, {accidents} by accident", self.out.keys());
            self.broken.push((now, told));
        }
    }

    fn leader(&self) -> Option<MemberId> {
        self.fleet.leaders().first().copied()
    }

    /// Until there is a leader, and permits are given.
    fn ready(&mut self) {
        let (until, gone) = (self.now() + 180 * S, self.gone);
        while self.gone == gone {
            assert!(self.now() < until, "no permit in 180 s; leaders {:?}", self.fleet.leaders());
            self.pass(S / 2);
        }
    }
}

type Case = (&'static str, fn(&mut Run));

const CASES: [Case; 12] = [
    ("nothing fails", |run| run.pass(40 * S)),
    ("the leader is killed again and again, at any moment", |run| {
        for _ in 0..12 {
            let moment = run.fleet.net.draw(4 * S);
            run.pass(moment);
            if let Some(of) = run.leader() {
                run.kill(of);
                run.pass(S);
                run.start(of);
            }
        }
    }),
    ("the leader stands still for twenty seconds", |run| {
        for _ in 0..2 {
            if let Some(of) = run.leader() {
                run.fleet.net.pause(of, 20 * S);
            }
            run.pass(25 * S);
        }
    }),
    ("the leader stands still for the length of a lease", |run| {
        for _ in 0..10 {
            if let Some(of) = run.leader() {
                let span = S + run.fleet.net.draw(3 * S);
                run.fleet.net.pause(of, span);
            }
            run.pass(5 * S);
        }
    }),
    ("two halves", |run| {
        let half: Vec<_> = (0..run.size() / 2).collect();
        for span in [6 * S, 20 * S] {
            run.fleet.net.cut(&half, true);
            run.pass(span);
            run.fleet.net.cut(&half, false);
            run.pass(10 * S);
        }
    }),
    ("the leader is heard by nobody, then hears nobody", |run| {
        for speaks in [false, true] {
            let Some(of) = run.leader() else { continue };
            for blocked in [true, false] {
                for other in run.fleet.net.numbers().filter(|other| *other != of) {
                    let way = if speaks { (other, of) } else { (of, other) };
                    run.fleet.net.block(way, blocked);
                }
                run.pass(8 * S);
            }
        }
    }),
    ("seven in ten are killed at once, with permits out", |run| {
        let most: Vec<_> = (0..run.size() * 7 / 10).collect();
        most.iter().for_each(|of| run.kill(*of));
        run.pass(3 * S);
        most.iter().for_each(|of| run.start(*of));
    }),
    ("every voter is restarted within a second", |run| {
        for _ in 0..3 {
            for of in run.settings.voters.clone() {
                let moment = run.fleet.net.draw(S / 5);
                run.pass(moment);
                if run.fleet.net.node(of).is_some() {
                    run.kill(of);
                    run.start(of);
                }
            }
            run.pass(20 * S);
        }
    }),
    ("one voter after another is restarted", |run| {
        for round in 0..15 {
            let of = run.settings.voters[round % run.settings.voters.len()];
            if run.fleet.net.node(of).is_some() {
                run.kill(of);
                run.start(of);
            }
            let moment = S / 2 + run.fleet.net.draw(2 * S);
            run.pass(moment);
        }
    }),
    ("half of the clocks run a tenth fast, a quarter a tenth slow", |run| {
        for of in run.fleet.net.numbers() {
            run.fleet.net.set_rate(of, [1.1, 0.9, 1.1, 1.0][usize::from(of % 4)]);
            run.kill(of);
            run.start(of);
        }
        run.pass(40 * S);
        if let Some(of) = run.leader() {
            run.kill(of);
            run.pass(S);
            run.start(of);
        }
        run.pass(20 * S);
    }),
    ("a voter that was cut off is back as all others restart", |run| {
        for _ in 0..4 {
            let voters = run.settings.voters.clone();
            let at = run.fleet.net.draw(voters.len() as u64) as usize;
            run.fleet.net.cut(&voters[at..=at], true);
            let span = 3 * S + run.fleet.net.draw(25 * S);
            run.pass(span);
            run.fleet.net.cut(&voters[at..=at], false);
            for of in voters.iter().copied().filter(|of| *of != voters[at]) {
                if run.fleet.net.node(of).is_some() {
                    run.kill(of);
                    run.start(of);
                }
            }
            run.pass(15 * S);
        }
    }),
    ("one never comes back", |run| {
        run.kill(1);
        run.kill(2);
        run.pass(30 * S);
    }),
];

fn play(size: MemberId, seed: u64, case: Case, plant: impl FnOnce(&mut Run)) -> Run {
    let lost = [0.05, 0.0, 0.15, 0.3][(seed % 4) as usize];
    let mut run = Run::new(size, seed, lost);
    plant(&mut run);
    run.fleet.net.numbers().for_each(|of| run.fleet.start(of));
    run.ready();
    (case.1)(&mut run);
    run.pass(15 * S);
    run
}

fn all_cases(size: MemberId, count: u64) {
    for seed in seeds(count) {
        for case in CASES {
            let mut run = play(size, seed, case, |_| {});
            // Once nothing fails any more permits are given again, but where some never come back.
            if case.0 != CASES[11].0 {
                run.ready();
            }
            assert!(run.broken.is_empty(), "{}, {size}, seed {seed}: {:?}", case.0, run.broken);
            assert!(run.fleet.net.longest <= basaltward_membership::MAX_DATAGRAM_BYTES);
        }
    }
}

#[test]
fn three_keep_the_bound_in_each_case() {
    all_cases(3, 12);
}

#[test]
fn ten_keep_the_bound_in_each_case() {
    all_cases(10, 4);
}

#[test]
fn thirty_keep_the_bound_in_each_case() {
    all_cases(30, 1);
}

/// Plays cases until the checker finds something, over so many seeds.
fn found(cases: &[usize], seeds: u64, plant: impl Fn(&mut Run)) -> bool {
    (0..seeds).any(|seed| cases.iter().any(|case| !play(5, seed, CASES[*case], &plant).broken.is_empty()))
}

/// One voter misses what is permitted, and all others that know of it restart before anybody sees who goes by it.
fn forgotten(seed: u64, plant: impl FnOnce(&mut Run)) -> Run {
    let mut run = Run::new(10, seed, 0.0);
    plant(&mut run);
    run.next_ask = Micros::MAX;
    run.away = 60 * S;
    run.fleet.net.numbers().for_each(|of| run.fleet.start(of));
    run.pass(40 * S);
    let missing = run.settings.voters.iter().copied().find(|of| Some(*of) != run.leader()).expect("a voter");
    let request = |of| PermitRequest::Acquire(Subject::Scheduler(of));
    run.fleet.net.cut(&[missing], true);
    for of in [1, 3] {
        let by = run.leader().expect("a leader");
        run.fleet.submit(by, request(of));
    }
    // They go at the last moment.
    run.pass(S);
    run.held.iter_mut().for_each(|held| held.at = held.until - S / 10);
    run.fleet.net.cut(&[missing], false);
    for of in run.settings.voters.clone().into_iter().filter(|of| *of != missing) {
        run.kill(of);
        run.start(of);
    }
    for _ in 0..20 {
        [5, 7].into_iter().for_each(|of| run.fleet.submit(missing, request(of)));
        run.pass(S / 4);
    }
    run
}

/// Faults planted, each found by the same checker.
#[test]
fn a_seat_that_votes_after_forgetting_is_found() {
    let broken = |seed, plant: fn(&mut Run)| !forgotten(seed, plant).broken.is_empty();
    assert!((0..40).any(|seed| broken(seed, |run| run.fleet.inject(Fault::VotesAfterRestart))));
    assert!((0..40).all(|seed| !broken(seed, |_| {})));
}

#[test]
fn a_seat_that_does_not_check_epochs_is_found() {
    assert!(found(&[2, 3, 5], 40, |run| run.fleet.inject(Fault::IgnoresEpochs)));
}

#[test]
fn a_leader_that_counts_its_view_alone_is_found() {
    assert!(found(&[0], 4, |run| run.fleet.inject(Fault::IgnoresPermits)));
}

#[test]
fn an_operator_that_acts_on_an_old_permit_is_found() {
    assert!(found(&[0], 40, |run| run.late = true));
}

/// A candidate that was refused tries again: four of five that had lost the first election never did, and nobody took
/// the place of a leader that died.
#[test]
fn another_takes_the_place_of_a_leader_that_dies() {
    for seed in 0..20 {
        let mut run = Run::new(8, seed, 0.05);
        run.next_ask = Micros::MAX;
        run.fleet.net.numbers().for_each(|of| run.fleet.start(of));
        run.pass(40 * S);
        for _ in 0..2 {
            let of = run.leader().expect("a leader");
            run.kill(of);
            run.pass(12 * S);
            assert!(run.leader().is_some_and(|other| other != of), "seed {seed}");
        }
    }
}

/// The bound is kept by giving permits, not by giving none.
#[test]
fn permits_go_on_being_given() {
    let run = play(10, 1, CASES[0], |_| {});
    assert!(run.gone >= 8, "{} went", run.gone);
    // Two that never come back use the bound up.
    let mut run = play(10, 1, CASES[11], |_| {});
    let gone = run.gone;
    run.pass(30 * S);
    assert_eq!(run.gone, gone);
    let told = run.fleet.answers.iter().rev().find(|told| matches!(told.request, PermitRequest::Acquire(_)));
    assert!(matches!(told.map(|told| told.answer), Some(Err(Denied::Bound { .. }))), "{told:?}");
}
