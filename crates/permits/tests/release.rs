//! A release and its rollback in virtual time: the fleet stores the plan, and both the operator that carries out its
//! steps and the leader may die at any step.
use basaltward_membership::{LinkFaults, MemberId, Micros};
use basaltward_permits::{
    Bounds, Denied, Limit, Observations, PermitRequest, PermitSettings, Subject, VirtualFleet,
};
use std::collections::BTreeMap;

const S: Micros = 1_000_000;
const BOUND: usize = 3;

struct Run {
    fleet: VirtualFleet,
    /// The version that each scheduler runs, or is to run once it is back.
    versions: BTreeMap<MemberId, u32>,
    /// Schedulers that are out, with the time at which each comes back and the number of its permit.
    out: BTreeMap<MemberId, (Micros, u16)>,
    restarts: usize,
    /// The most schedulers that were out at once.
    most_out: usize,
}

impl Run {
    fn new(seed: u64, loss_rate: f64) -> Self {
        let most = Limit::Number(BOUND as u16);
        let bounds = Bounds { schedulers: most, schedulers_of_zone: most, ..Bounds::default() };
        let settings = PermitSettings { bounds, ..PermitSettings::new(12, 0, 0, seed) };
        let mut fleet = VirtualFleet::new(
            12,
            settings,
            Observations::new(),
            LinkFaults { loss_rate, duplicate_rate: 0.05, ..LinkFaults::default() },
        );
        let versions: BTreeMap<_, _> = fleet.net.node_ids().map(|member| (member, 1)).collect();
        versions.iter().for_each(|(member, version)| fleet.start_with_version(*member, *version));
        fleet.run(40 * S);
        Self { fleet, versions, out: BTreeMap::new(), restarts: 0, most_out: 0 }
    }

    fn any_up(&mut self) -> MemberId {
        loop {
            let member = self.fleet.net.random_below(12) as MemberId;
            if self.fleet.net.is_up(member) {
                return member;
            }
        }
    }

    /// Submits a request and waits for the reply, for at most `timeout`. Returns the scheduler that the request went
    /// through, the reply, and until when it may be acted on by that scheduler's clock.
    fn request(
        &mut self,
        request: PermitRequest,
        timeout: Micros,
    ) -> Option<(MemberId, Result<u16, Denied>, Micros)> {
        let (through, read) = (self.any_up(), self.fleet.answers.len());
        self.fleet.submit(through, request);
        let until = self.fleet.net.now + timeout;
        while self.fleet.net.now < until {
            self.advance(20_000);
            let mut new = self.fleet.answers[read..].iter();
            if let Some(answer) = new.find(|answer| answer.through == through && answer.request == request) {
                return Some((through, answer.answer, answer.until));
            }
        }
        None
    }

    /// Runs the fleet for this long; schedulers that are out come back when their time is up.
    fn advance(&mut self, span: Micros) {
        let next = self.fleet.net.now + span;
        self.fleet.run(next);
        let back: Vec<_> =
            self.out.iter().filter(|(_, (at, _))| *at <= next).map(|(member, _)| *member).collect();
        for member in back {
            let (_, number) = self.out.remove(&member).expect("it is out");
            self.fleet.start_with_version(member, self.versions[&member]);
            let through = self.any_up();
            self.fleet.submit(through, PermitRequest::Return(Subject::Scheduler(member), number));
        }
    }

    /// The scheduler that the permit of this number is for, once the scheduler that it was requested through knows the
    /// state with the permit; none if it does not within a second.
    fn subject(&mut self, through: MemberId, number: u16) -> Option<MemberId> {
        for _ in 0..50 {
            let known = self.fleet.net.node(through).and_then(|scheduler| scheduler.node.known());
            let permit = known.and_then(|known| known.value.permits.iter().find(|p| p.number == number));
            if let Some(Subject::Scheduler(member)) = permit.map(|permit| permit.subject) {
                return Some(member);
            }
            self.advance(20_000);
        }
        None
    }

    /// Sets a plan and carries out its steps, as one operator after another: each dies at its seventh step. Returns the
    /// schedulers in the order in which they were restarted.
    fn release(
        &mut self,
        to: u32,
        from: u32,
        rollback: bool,
        inject_fault: fn(&mut Self, usize),
    ) -> Vec<MemberId> {
        let until = self.fleet.net.now + 1_200 * S;
        let number = loop {
            assert!(self.fleet.net.now < until, "no plan");
            if let Some((_, Ok(number), _)) = self.request(PermitRequest::Plan { to, from, rollback }, 3 * S)
            {
                break number;
            }
        };
        let mut restarted = Vec::new();
        for step in 0.. {
            assert!(
                self.fleet.net.now < until,
                "{} of 12 restarted: {:?}",
                restarted.len(),
                self.fleet.leaders()
            );
            inject_fault(self, step);
            match self.request(PermitRequest::Next(number), 3 * S) {
                Some((_, Err(Denied::Over), _)) => return restarted,
                Some((through, Ok(permit), until)) => {
                    let Some(member) = self.subject(through, permit) else { continue };
                    // The operator dies before it acts on its permit, or the permit is too old.
                    if step % 7 == 6 || self.fleet.net.clock(through) >= until {
                        continue;
                    }
                    if self.fleet.net.kill(member).is_some() {
                        let at = self.fleet.net.now + S + self.fleet.net.random_below(2 * S);
                        self.out.insert(member, (at, permit));
                        self.versions.insert(member, to);
                        self.restarts += 1;
                        self.most_out = self.most_out.max(self.out.len());
                        assert!(self.out.len() <= BOUND, "{:?} are out", self.out.keys());
                        restarted.push(member);
                    }
                }
                Some((_, Err(Denied::Stale), _)) => panic!("the plan is lost"),
                _ => self.advance(S / 2),
            }
        }
        restarted
    }
}

fn no_faults(_: &mut Run, _: usize) {}

/// Every few steps the leader is killed or paused, or half of the fleet is partitioned off.
fn with_faults(run: &mut Run, step: usize) {
    let leader = run.fleet.leaders().first().copied();
    let half = [0, 1, 2, 3, 4, 5];
    match (step % 40, leader) {
        (9, Some(member)) if !run.out.contains_key(&member) => {
            run.fleet.net.kill(member);
            run.advance(S);
            run.fleet.start_with_version(member, run.versions[&member]);
        }
        (19, Some(member)) => {
            run.fleet.net.pause(member, 4 * S);
            run.advance(5 * S);
        }
        (29, _) => {
            run.fleet.net.set_isolated(&half, true);
            run.advance(6 * S);
            run.fleet.net.set_isolated(&half, false);
        }
        _ => {}
    }
}

#[test]
fn a_release_restarts_all_in_growing_waves_and_its_rollback_the_last_restarted_first() {
    let mut run = Run::new(1, 0.05);
    let restarted = run.release(2, 1, false, no_faults);
    assert!(run.versions.values().all(|version| *version == 2) && run.restarts == 12, "{restarted:?}");
    assert!(run.most_out > 1, "never more than one at once");
    let last = restarted.last().copied();
    let rolled_back = run.release(1, 2, true, no_faults);
    assert!(run.versions.values().all(|version| *version == 1) && run.restarts == 24, "{rolled_back:?}");
    // The first scheduler of the rollback is one that was restarted late in the release.
    let early: Vec<_> = restarted[..6].to_vec();
    assert!(!early.contains(&rolled_back[0]), "{restarted:?}, {rolled_back:?}, {last:?}");
}

#[test]
fn a_release_survives_its_operators_and_leaders_and_restarts_no_scheduler_twice() {
    for (seed, loss_rate) in [(2, 0.0), (3, 0.05), (4, 0.15), (5, 0.05), (6, 0.1)] {
        let mut run = Run::new(seed, loss_rate);
        let restarted = run.release(2, 1, false, with_faults);
        assert!(run.versions.values().all(|version| *version == 2), "seed {seed}: {restarted:?}");
        assert_eq!(run.restarts, 12, "seed {seed}: {restarted:?}");
    }
}

#[test]
fn a_halt_blocks_the_next_step_and_an_overdue_step_halts_the_fleet() {
    let mut run = Run::new(7, 0.0);
    let Some((_, Ok(number), _)) =
        run.request(PermitRequest::Plan { to: 2, from: 1, rollback: false }, 3 * S)
    else {
        panic!("no plan")
    };
    run.fleet.net.with_node(3, |scheduler, now, out| {
        scheduler.with_node(now, out, |node, _, out| node.halt_all(out));
    });
    run.advance(2 * S);
    let reply = run.request(PermitRequest::Next(number), 3 * S).map(|reply| reply.1);
    assert_eq!(reply, Some(Err(Denied::Halted)));
    assert!(matches!(run.request(PermitRequest::Resume(1), 3 * S), Some((_, Ok(_), _))));
    let Some((through, Ok(permit), _)) = run.request(PermitRequest::Next(number), 3 * S) else {
        panic!("no step")
    };
    let member = run.subject(through, permit).expect("the permit is in force");
    run.fleet.net.kill(member);
    run.advance(200 * S);
    let halted =
        |run: &Run, member| run.fleet.net.node(member).is_some_and(|scheduler| scheduler.node.halt().on);
    assert!(run.fleet.net.node_ids().filter(|other| *other != member).all(|other| halted(&run, other)));
}
