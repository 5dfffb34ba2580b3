//! Drains of workers in virtual time: many requests at once, workers that die and come back, bounds that change,
//! datagrams that are late or of another version.
use basaltward_membership::{LinkFaults, MemberId, Micros, VirtualNode};
use basaltward_permits::{
    Bounds, Denied, Limit, Observation, Observations, OperatorAnswer, Output, PermitRequest, PermitSettings,
    SchedulerOutput, Subject, VERSION, VirtualFleet,
};

const S: Micros = 1_000_000;

fn workers(count: u32) -> Observations {
    let observation = |number: u32| Observation {
        zone: (number % 4) as u8,
        incarnation: 1,
        in_use_for: Some(60 * S),
        holds_last_copy: false,
        running_version: None,
    };
    (0..count).map(|number| (Subject::Worker(number), observation(number))).collect()
}

fn bounds(max_workers: u16) -> Bounds {
    let (most, all) = (Limit::Number(max_workers), Limit::Percent(100));
    Bounds {
        schedulers: all,
        schedulers_of_zone: all,
        workers: most,
        workers_of_zone: all,
        ..Bounds::default()
    }
}

/// A fleet of ten schedulers that has a leader.
fn fleet(seed: u64, loss_rate: f64, most: u16) -> VirtualFleet {
    let settings = PermitSettings { bounds: bounds(most), ..PermitSettings::new(10, 0, 0, seed) };
    let mut fleet = VirtualFleet::new(
        10,
        settings,
        workers(40),
        LinkFaults { loss_rate, duplicate_rate: 0.05, ..LinkFaults::default() },
    );
    fleet.net.node_ids().for_each(|member| fleet.start(member));
    fleet.run(40 * S);
    assert_eq!(fleet.leaders().len(), 1, "seed {seed}");
    fleet
}

fn state(fleet: &VirtualFleet, member: MemberId) -> Vec<(Subject, bool)> {
    let known = fleet.net.node(member).and_then(|scheduler| scheduler.node.known());
    known
        .map(|known| known.value.permits.iter().map(|p| (p.subject, p.returned)).collect())
        .unwrap_or_default()
}

fn permitted(answers: &[OperatorAnswer]) -> Vec<(Subject, u16)> {
    let permit = |answer: &OperatorAnswer| match (answer.request, answer.answer) {
        (PermitRequest::Acquire(subject), Ok(number)) => Some((subject, number)),
        _ => None,
    };
    answers.iter().filter_map(permit).collect()
}

#[test]
fn thirty_drains_requested_at_once_are_permitted_three_at_a_time() {
    for seed in 0..6 {
        let mut fleet = fleet(seed, 0.05, 3);
        let mut waiting: Vec<_> = (0..30).map(Subject::Worker).collect();
        let (mut drained, mut read) = (0, 0);
        let until = fleet.net.now + 600 * S;
        while !waiting.is_empty() {
            assert!(fleet.net.now < until, "seed {seed}: {waiting:?} wait");
            for (at, subject) in waiting.iter().enumerate() {
                fleet.submit((at % 10) as MemberId, PermitRequest::Acquire(*subject));
            }
            let next = fleet.net.now + 4 * S;
            fleet.run(next);
            let granted = permitted(&fleet.answers[read..]);
            read = fleet.answers.len();
            assert!(granted.len() <= 3, "seed {seed}: {granted:?}");
            let most = fleet.net.node_ids().map(|member| state(&fleet, member).len()).max();
            assert!(most <= Some(3), "seed {seed}");
            for (subject, number) in granted {
                waiting.retain(|other| *other != subject);
                fleet.submit(5, PermitRequest::Return(subject, number));
                drained += 1;
            }
        }
        assert_eq!(drained, 30);
    }
}

#[test]
fn the_permit_of_a_drained_worker_that_died_ends_once_it_runs_as_a_new_incarnation() {
    let mut fleet = fleet(1, 0.05, 3);
    let subject = Subject::Worker(7);
    fleet.submit(2, PermitRequest::Acquire(subject));
    fleet.run(45 * S);
    assert_eq!(permitted(&fleet.answers).len(), 1);
    let is_drained = |fleet: &VirtualFleet, member| {
        fleet
            .net
            .node(member)
            .and_then(|scheduler| scheduler.node.known())
            .is_some_and(|known| known.value.is_drained(7))
    };
    assert!(fleet.net.node_ids().all(|member| is_drained(&fleet, member)), "all members know of the drain");
    let mut observed = workers(40);
    observed.entry(subject).and_modify(|seen| seen.in_use_for = None);
    fleet.set_workers(observed.clone());
    fleet.run(80 * S);
    assert!(is_drained(&fleet, 0), "a worker that is gone is not back");
    observed.entry(subject).and_modify(|seen| (seen.in_use_for, seen.incarnation) = (Some(6 * S), 2));
    fleet.set_workers(observed);
    fleet.run(85 * S);
    assert!(fleet.net.node_ids().all(|member| state(&fleet, member).is_empty()));
}

#[test]
fn a_lowered_bound_ends_no_permit_and_grants_no_more() {
    let mut fleet = fleet(3, 0.05, 3);
    for number in 0..3 {
        fleet.submit(number as MemberId, PermitRequest::Acquire(Subject::Worker(number)));
    }
    fleet.run(45 * S);
    assert_eq!(permitted(&fleet.answers).len(), 3);
    for member in fleet.net.node_ids() {
        fleet.net.node_mut(member).into_iter().for_each(|scheduler| scheduler.node.set_bounds(bounds(1)));
    }
    let read = fleet.answers.len();
    fleet.submit(4, PermitRequest::Acquire(Subject::Worker(9)));
    fleet.run(50 * S);
    assert_eq!(state(&fleet, 0).len(), 3);
    let reply = fleet.answers[read..].first().map(|answer| answer.answer);
    assert!(matches!(reply, Some(Err(Denied::Bound { out: 4, most: 1, .. }))), "{reply:?}");
}

/// A request that reaches the leader an hour late acquires a permit that the requester no longer waits for, and has
/// to return.
#[test]
fn a_permit_acquired_by_a_delayed_request_is_returned() {
    let mut fleet = fleet(4, 0.0, 3);
    let leader = fleet.leaders()[0];
    let requester = fleet.net.node_ids().find(|member| *member != leader).expect("another member");
    // The datagrams that the requester sends to the leader, to be delivered once more later.
    let mut sent = Vec::new();
    fleet.net.with_node(requester, |scheduler, now, out| {
        scheduler.with_node(now, out, |node, observer, out| {
            node.submit(now, PermitRequest::Acquire(Subject::Worker(3)), observer, out)
        });
        sent.extend(out.iter().filter_map(|output| match output {
            SchedulerOutput::Send(to, bytes) if *to == leader => Some(bytes.clone()),
            _ => None,
        }));
    });
    fleet.run(45 * S);
    let permit = |fleet: &VirtualFleet| {
        let known = fleet.net.node(requester).and_then(|scheduler| scheduler.node.known());
        known.and_then(|known| known.value.permit(Subject::Worker(3)).copied())
    };
    let first = permit(&fleet).expect("permitted");
    fleet.submit(requester, PermitRequest::Return(Subject::Worker(3), first.number));
    fleet.run(70 * S);
    assert_eq!(permit(&fleet), None);
    // Replies to later requests displace the remembered reply to this one.
    for number in 0..70 {
        fleet.submit(requester, PermitRequest::Check(Subject::Worker(number % 40)));
        let next = fleet.net.now + S / 10;
        fleet.run(next);
    }
    assert_eq!(sent.len(), 1);
    fleet.net.with_node(leader, |scheduler, now, out| scheduler.handle(now, requester, &sent[0], out));
    fleet.run(fleet.net.now + 2 * S);
    let second = permit(&fleet).expect("the leader can't know that it is old");
    assert!(second.returned && second.number != first.number, "{second:?}");
    // A duplicated reply, though, returns nothing.
    fleet.submit(requester, PermitRequest::Acquire(Subject::Worker(8)));
    fleet.run(fleet.net.now + 5 * S);
    assert!(state(&fleet, requester).contains(&(Subject::Worker(8), false)));
}

#[test]
fn datagrams_of_another_version_or_fleet_are_ignored() {
    let mut fleet = fleet(5, 0.0, 3);
    let before = state(&fleet, 1);
    for bytes in [vec![VERSION + 1, 0, 1, 2, 3], vec![VERSION], vec![VERSION, 9, 0, 3, 0, 0], vec![0; 400]] {
        let mut outputs = Vec::new();
        fleet.net.with_node(1, |scheduler, now, out| {
            let handled = scheduler.with_node(now, out, |node, observer, out| {
                let handled = node.handle(now, 0, &bytes, observer, out);
                outputs.extend(out.iter().filter(|output| !matches!(output, Output::Send { .. })).cloned());
                handled
            });
            assert!(!handled);
        });
        assert!(outputs.is_empty());
    }
    assert_eq!(state(&fleet, 1), before);
}
