//! Drains of workers in virtual time: many asked for at once, workers that die and come back, bounds that change, words
//! that are late or of a later version.
use basaltward_membership::{LinkFaults, MemberId, Micros, VirtualNode};
use basaltward_permits::{
    Bounds, Denied, Limit, Observation, Observations, OperatorAnswer, Output, PermitRequest, PermitSettings,
    SchedulerOutput, Subject, VERSION, VirtualFleet,
};

const S: Micros = 1_000_000;

fn workers(count: u32) -> Observations {
    let seen = |of: u32| Observation {
        zone: (of % 4) as u8,
        incarnation: 1,
        in_use_for: Some(60 * S),
        holds_last_copy: false,
        running_version: None,
    };
    (0..count).map(|of| (Subject::Worker(of), seen(of))).collect()
}

fn bounds(workers: u16) -> Bounds {
    let (most, all) = (Limit::Number(workers), Limit::Percent(100));
    Bounds {
        schedulers: all,
        schedulers_of_zone: all,
        workers: most,
        workers_of_zone: all,
        ..Bounds::default()
    }
}

/// A fleet of ten that gives permits.
fn fleet(seed: u64, lost: f64, most: u16) -> VirtualFleet {
    let settings = PermitSettings { bounds: bounds(most), ..PermitSettings::new(10, 0, 0, seed) };
    let mut fleet = VirtualFleet::new(
        10,
        settings,
        workers(40),
        LinkFaults { lost, doubled: 0.05, ..LinkFaults::default() },
    );
    fleet.net.numbers().for_each(|of| fleet.start(of));
    fleet.run(40 * S);
    assert_eq!(fleet.leaders().len(), 1, "seed {seed}");
    fleet
}

fn state(fleet: &VirtualFleet, of: MemberId) -> Vec<(Subject, bool)> {
    let known = fleet.net.node(of).and_then(|one| one.node.known());
    known
        .map(|known| known.value.permits.iter().map(|p| (p.subject, p.returned)).collect())
        .unwrap_or_default()
}

fn permitted(answers: &[OperatorAnswer]) -> Vec<(Subject, u16)> {
    let one = |answer: &OperatorAnswer| match (answer.request, answer.answer) {
        (PermitRequest::Acquire(subject), Ok(number)) => Some((subject, number)),
        _ => None,
    };
    answers.iter().filter_map(one).collect()
}

#[test]
fn of_thirty_drains_asked_for_at_once_three_are_permitted_and_all_in_the_end() {
    for seed in 0..6 {
        let mut fleet = fleet(seed, 0.05, 3);
        let mut wanted: Vec<_> = (0..30).map(Subject::Worker).collect();
        let (mut done, mut read) = (0, 0);
        let until = fleet.net.now + 600 * S;
        while !wanted.is_empty() {
            assert!(fleet.net.now < until, "seed {seed}: {wanted:?} wait");
            for (at, subject) in wanted.iter().enumerate() {
                fleet.submit((at % 10) as MemberId, PermitRequest::Acquire(*subject));
            }
            let next = fleet.net.now + 4 * S;
            fleet.run(next);
            let given = permitted(&fleet.answers[read..]);
            read = fleet.answers.len();
            assert!(given.len() <= 3, "seed {seed}: {given:?}");
            let most = fleet.net.numbers().map(|of| state(&fleet, of).len()).max();
            assert!(most <= Some(3), "seed {seed}");
            for (subject, number) in given {
                wanted.retain(|of| *of != subject);
                fleet.submit(5, PermitRequest::Return(subject, number));
                done += 1;
            }
        }
        assert_eq!(done, 30);
    }
}

#[test]
fn a_worker_that_dies_while_drained_comes_back_by_itself_once_it_is_a_new_one() {
    let mut fleet = fleet(1, 0.05, 3);
    let subject = Subject::Worker(7);
    fleet.submit(2, PermitRequest::Acquire(subject));
    fleet.run(45 * S);
    assert_eq!(permitted(&fleet.answers).len(), 1);
    let drains = |fleet: &VirtualFleet, of| {
        fleet.net.node(of).and_then(|one| one.node.known()).is_some_and(|known| known.value.is_drained(7))
    };
    assert!(fleet.net.numbers().all(|of| drains(&fleet, of)), "all know of it");
    let mut told = workers(40);
    told.entry(subject).and_modify(|seen| seen.in_use_for = None);
    fleet.set_workers(told.clone());
    fleet.run(80 * S);
    assert!(drains(&fleet, 0), "who is gone is not back");
    told.entry(subject).and_modify(|seen| (seen.in_use_for, seen.incarnation) = (Some(6 * S), 2));
    fleet.set_workers(told);
    fleet.run(85 * S);
    assert!(fleet.net.numbers().all(|of| state(&fleet, of).is_empty()));
}

#[test]
fn a_bound_that_is_lowered_takes_nothing_back_and_permits_nothing_more() {
    let mut fleet = fleet(3, 0.05, 3);
    for of in 0..3 {
        fleet.submit(of as MemberId, PermitRequest::Acquire(Subject::Worker(of)));
    }
    fleet.run(45 * S);
    assert_eq!(permitted(&fleet.answers).len(), 3);
    for of in fleet.net.numbers() {
        fleet.net.node_mut(of).into_iter().for_each(|one| one.node.set_bounds(bounds(1)));
    }
    let read = fleet.answers.len();
    fleet.submit(4, PermitRequest::Acquire(Subject::Worker(9)));
    fleet.run(50 * S);
    assert_eq!(state(&fleet, 0).len(), 3);
    let told = fleet.answers[read..].first().map(|told| told.answer);
    assert!(matches!(told, Some(Err(Denied::Bound { out: 4, most: 1, .. }))), "{told:?}");
}

/// A question that comes an hour late brings a permit that nobody waits for: it is given back.
#[test]
fn a_permit_that_nobody_waits_for_is_given_back() {
    let mut fleet = fleet(4, 0.0, 3);
    let leader = fleet.leaders()[0];
    let by = fleet.net.numbers().find(|of| *of != leader).expect("another one");
    // What the asker sends, to be told again later.
    let mut kept = Vec::new();
    fleet.net.act(by, |one, now, out| {
        one.with_node(now, out, |node, observer, out| {
            node.submit(now, PermitRequest::Acquire(Subject::Worker(3)), observer, out)
        });
        kept.extend(out.iter().filter_map(|said| match said {
            SchedulerOutput::Send(to, bytes) if *to == leader => Some(bytes.clone()),
            _ => None,
        }));
    });
    fleet.run(45 * S);
    let number = |fleet: &VirtualFleet| {
        let known = fleet.net.node(by).and_then(|one| one.node.known());
        known.and_then(|known| known.value.permit(Subject::Worker(3)).copied())
    };
    let first = number(&fleet).expect("permitted");
    fleet.submit(by, PermitRequest::Return(Subject::Worker(3), first.number));
    fleet.run(70 * S);
    assert_eq!(number(&fleet), None);
    // The leader has answered others since, and forgotten this one.
    for of in 0..70 {
        fleet.submit(by, PermitRequest::Check(Subject::Worker(of % 40)));
        let next = fleet.net.now + S / 10;
        fleet.run(next);
    }
    assert_eq!(kept.len(), 1);
    fleet.net.act(leader, |one, now, out| one.handle(now, by, &kept[0], out));
    fleet.run(fleet.net.now + 2 * S);
    let second = number(&fleet).expect("the leader can't know that it is old");
    assert!(second.returned && second.number != first.number, "{second:?}");
    // An answer that comes doubled, though, takes nothing back.
    fleet.submit(by, PermitRequest::Acquire(Subject::Worker(8)));
    fleet.run(fleet.net.now + 5 * S);
    assert!(state(&fleet, by).contains(&(Subject::Worker(8), false)));
}

#[test]
fn words_of_a_later_version_and_of_another_fleet_are_not_heeded() {
    let mut fleet = fleet(5, 0.0, 3);
    let before = state(&fleet, 1);
    for bytes in [vec![VERSION + 1, 0, 1, 2, 3], vec![VERSION], vec![VERSION, 9, 0, 3, 0, 0], vec![0; 400]] {
        let mut told = Vec::new();
        fleet.net.act(1, |one, now, out| {
            let heeded = one.with_node(now, out, |node, observer, out| {
                let heeded = node.handle(now, 0, &bytes, observer, out);
                told.extend(out.iter().filter(|output| !matches!(output, Output::Send { .. })).cloned());
                heeded
            });
            assert!(!heeded);
        });
        assert!(told.is_empty());
    }
    assert_eq!(state(&fleet, 1), before);
}
