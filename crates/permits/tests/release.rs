//! A release and its way back in virtual time: the plan is kept by the fleet, whoever carries out its steps may die at any
//! of them, and so may the leader.
use basaltward_membership::{LinkFaults, MemberId, Micros};
use basaltward_permits::{
    Bounds, Denied, Limit, Observations, PermitRequest, PermitSettings, Subject, VirtualFleet,
};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const BOUND: usize = 3;

struct Run {
    fleet: VirtualFleet,
    /// What each runs, or is to run once it is back.
    runs: BTreeMap<MemberId, u32>,
    /// Who is out, until when, by which permit.
    out: BTreeMap<MemberId, (Micros, u16)>,
    restarts: usize,
    most: usize,
}

impl Run {
    fn new(seed: u64, lost: f64) -> Self {
        let most = Limit::Number(BOUND as u16);
        let bounds = Bounds { schedulers: most, schedulers_of_zone: most, ..Bounds::default() };
        let settings = PermitSettings { bounds, ..PermitSettings::new(12, 0, 0, seed) };
        let mut fleet = VirtualFleet::new(
            12,
            settings,
            Observations::new(),
            LinkFaults { lost, doubled: 0.05, ..LinkFaults::default() },
        );
        let runs: BTreeMap<_, _> = fleet.net.numbers().map(|of| (of, 1)).collect();
        runs.iter().for_each(|(of, runs)| fleet.start_with_version(*of, *runs));
        fleet.run(40 * S);
        Self { fleet, runs, out: BTreeMap::new(), restarts: 0, most: 0 }
    }

    fn any(&mut self) -> MemberId {
        loop {
            let of = self.fleet.net.draw(12) as MemberId;
            if self.fleet.net.is_up(of) {
                return of;
            }
        }
    }

    /// Asks until it has the answer, or for so long.
    fn ask(
        &mut self,
        request: PermitRequest,
        patience: Micros,
    ) -> Option<(MemberId, Result<u16, Denied>, Micros)> {
        let (by, read) = (self.any(), self.fleet.answers.len());
        self.fleet.submit(by, request);
        let until = self.fleet.net.now + patience;
        while self.fleet.net.now < until {
            self.pass(20_000);
            if let Some(told) =
                self.fleet.answers[read..].iter().find(|told| told.through == by && told.request == request)
            {
                return Some((by, told.answer, told.until));
            }
        }
        None
    }

    /// Lets time pass; who is out comes back.
    fn pass(&mut self, span: Micros) {
        let next = self.fleet.net.now + span;
        self.fleet.run(next);
        let back: Vec<_> = self.out.iter().filter(|(_, (at, _))| *at <= next).map(|(of, _)| *of).collect();
        for of in back {
            let (_, number) = self.out.remove(&of).expect("it is out");
            self.fleet.start_with_version(of, self.runs[&of]);
            let by = self.any();
            self.fleet.submit(by, PermitRequest::Return(Subject::Scheduler(of), number));
        }
    }

    /// Whose permit this is, once the scheduler that was asked knows of it.
    fn subject(&mut self, by: MemberId, permit: u16) -> Option<MemberId> {
        for _ in 0..50 {
            let known = self.fleet.net.node(by).and_then(|one| one.node.known());
            let one = known.and_then(|known| known.value.permits.iter().find(|p| p.number == permit));
            if let Some(Subject::Scheduler(of)) = one.map(|one| one.subject) {
                return Some(of);
            }
            self.pass(20_000);
        }
        None
    }

    /// Sets a plan and carries out its steps as one operator after another, each dying at its seventh step.
    fn release(&mut self, to: u32, from: u32, back: bool, disturb: fn(&mut Self, usize)) -> Vec<MemberId> {
        let until = self.fleet.net.now + 1_200 * S;
        let number = loop {
            assert!(self.fleet.net.now < until, "no plan");
            if let Some((_, Ok(number), _)) =
                self.ask(PermitRequest::Plan { to, from, rollback: back }, 3 * S)
            {
                break number;
            }
        };
        let mut went = Vec::new();
        for step in 0.. {
            assert!(self.fleet.net.now < until, "{} of 12 went: {:?}", went.len(), self.fleet.leaders());
            disturb(self, step);
            match self.ask(PermitRequest::Next(number), 3 * S) {
                Some((_, Err(Denied::Over), _)) => return went,
                Some((by, Ok(permit), until)) => {
                    let Some(of) = self.subject(by, permit) else { continue };
                    // An operator that dies with a permit in its hands.
                    if step % 7 == 6 || self.fleet.net.clock(by) >= until {
                        continue;
                    }
                    if self.fleet.net.kill(of).is_some() {
                        let at = self.fleet.net.now + S + self.fleet.net.draw(2 * S);
                        self.out.insert(of, (at, permit));
                        self.runs.insert(of, to);
                        self.restarts += 1;
                        self.most = self.most.max(self.out.len());
                        assert!(self.out.len() <= BOUND, "{:?} are out", self.out.keys());
                        went.push(of);
                    }
                }
                Some((_, Err(Denied::Stale), _)) => panic!("the plan is lost"),
                _ => self.pass(S / 2),
            }
        }
        went
    }
}

fn quiet(_: &mut Run, _: usize) {}

/// The leader is killed, stands still, or a half is cut off, every few steps.
fn rough(run: &mut Run, step: usize) {
    let leader = run.fleet.leaders().first().copied();
    let half = [0, 1, 2, 3, 4, 5];
    match (step % 40, leader) {
        (9, Some(of)) if !run.out.contains_key(&of) => {
            run.fleet.net.kill(of);
            run.pass(S);
            run.fleet.start_with_version(of, run.runs[&of]);
        }
        (19, Some(of)) => {
            run.fleet.net.pause(of, 4 * S);
            run.pass(5 * S);
        }
        (29, _) => {
            run.fleet.net.cut(&half, true);
            run.pass(6 * S);
            run.fleet.net.cut(&half, false);
        }
        _ => {}
    }
}

#[test]
fn a_release_goes_through_all_in_growing_steps_and_comes_back_newest_first() {
    let mut run = Run::new(1, 0.05);
    let went = run.release(2, 1, false, quiet);
    assert!(run.runs.values().all(|runs| *runs == 2) && run.restarts == 12, "{went:?}");
    assert!(run.most > 1, "never more than one at once");
    let leader_last = went.last().copied();
    let back = run.release(1, 2, true, quiet);
    assert!(run.runs.values().all(|runs| *runs == 1) && run.restarts == 24, "{back:?}");
    // The first to come back is one that went late.
    let early: Vec<_> = went[..6].to_vec();
    assert!(!early.contains(&back[0]), "{went:?}, {back:?}, {leader_last:?}");
}

#[test]
fn a_release_survives_its_operators_and_the_leader_and_restarts_nobody_twice() {
    for (seed, lost) in [(2, 0.0), (3, 0.05), (4, 0.15), (5, 0.05), (6, 0.1)] {
        let mut run = Run::new(seed, lost);
        let went = run.release(2, 1, false, rough);
        assert!(run.runs.values().all(|runs| *runs == 2), "seed {seed}: {went:?}");
        assert_eq!(run.restarts, 12, "seed {seed}: {went:?}");
    }
}

#[test]
fn a_halt_stops_the_next_step_and_a_step_that_does_not_come_back_halts_all() {
    let mut run = Run::new(7, 0.0);
    let Some((_, Ok(number), _)) = run.ask(PermitRequest::Plan { to: 2, from: 1, rollback: false }, 3 * S)
    else {
        panic!("no plan")
    };
    run.fleet.net.act(3, |one, now, out| {
        one.with_node(now, out, |node, _, out| node.halt_all(out));
    });
    run.pass(2 * S);
    let told = run.ask(PermitRequest::Next(number), 3 * S).map(|told| told.1);
    assert_eq!(told, Some(Err(Denied::Halted)));
    assert!(matches!(run.ask(PermitRequest::Resume(1), 3 * S), Some((_, Ok(_), _))));
    let Some((by, Ok(permit), _)) = run.ask(PermitRequest::Next(number), 3 * S) else { panic!("no step") };
    let of = run.subject(by, permit).expect("it stands");
    run.fleet.net.kill(of);
    run.pass(200 * S);
    let halted = |run: &Run, of| run.fleet.net.node(of).is_some_and(|one| one.node.halt().on);
    assert!(run.fleet.net.numbers().filter(|other| *other != of).all(|other| halted(&run, other)));
}
