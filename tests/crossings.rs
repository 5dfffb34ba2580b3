//! Events that cross: disconnected clients, load orders, and moves of functions between workers.
mod common;
use basaltward::*;
use common::*;

/// Attempts and load orders among the actions, without queries.
fn sends_and_orders(actions: &[Action]) -> Vec<Action> {
    let act = |a: &&Action| matches!(a, Action::Send { .. } | Action::Load { count: 1.., .. });
    actions.iter().filter(act).cloned().collect()
}

fn workers_change(bed: &mut TestBed, worker: &str, state: WorkerState) -> Vec<Action> {
    let members = vec![member(worker, state, 0)];
    bed.event(Event::Members { kind: MembersKind::Changes, members })
}

#[test]
fn nothing_is_sent_or_ordered_for_a_disconnected_client() {
    for cancel in [false, true] {
        // With queries in flight: no order, whatever they answer, and nothing is sent to a copy found late.
        let mut limits = settings(Repeat::Safe);
        limits.limits.cancel = cancel;
        for found in [0, 1] {
            let mut bed = TestBed::new(limits.clone(), 3);
            let queries = bed.request(1, "f", S);
            bed.event(Event::ClientGone { id: RequestId(1) });
            let mut later = bed.answer_queries(&queries, "w0", found);
            later.extend(bed.advance(2 * S));
            assert_eq!(sends_and_orders(&later), [], "cancel {cancel}, {found} found");
        }
        // With an order in flight that fails or loads the copy.
        for (count, code) in [(1, Code::Ok), (0, Code::Full), (0, Code::Error)] {
            let mut bed = TestBed::new(limits.clone(), 3);
            let queries = bed.request(1, "f", S);
            let placed = loads(&bed.answer_queries(&queries, "none", 0));
            bed.event(Event::ClientGone { id: RequestId(1) });
            let mut later = bed.loaded(&placed[0].as_str().into(), "f", count, code);
            later.extend(bed.advance(2 * S));
            assert_eq!(sends_and_orders(&later), [], "cancel {cancel}, order {code:?}");
        }
        // With an attempt in flight: no other follows when it is overdue or fails, and there is no answer.
        for code in [Code::Miss, Code::Full, Code::Reset, Code::ConnectFailed, Code::Timeout] {
            let mut bed = TestBed::new(limits.clone(), 3);
            let queries = bed.request(1, "f", S);
            bed.answer_queries(&queries, "w0", 1);
            bed.loaded(&"w1".into(), "f", 1, Code::Ok);
            let gone = bed.event(Event::ClientGone { id: RequestId(1) });
            let drop = Action::Cancel { id: RequestId(1), attempt: 0 };
            assert_eq!(gone, if cancel { vec![drop] } else { vec![] });
            let mut later = bed.advance(600 * MS);
            later.extend(bed.outcome(1, 0, "w0", code, 600 * MS));
            later.extend(bed.advance(2 * S));
            let answers = |a: &Action| matches!(a, Action::Fail { .. } | Action::Refuse { .. });
            assert_eq!(sends_and_orders(&later), [], "cancel {cancel}, {code:?}");
            assert!(!later.iter().any(answers), "cancel {cancel}, {code:?}: {later:?}");
        }
        // Waiting for a lane: the next call is sent.
        let mut bed = TestBed::new(limits.clone(), 1);
        let queries = bed.request(1, "f", S);
        bed.answer_queries(&queries, "w0", 1);
        (2..=4).for_each(|id| drop(bed.request(id, "f", S)));
        bed.event(Event::ClientGone { id: RequestId(3) });
        assert_eq!(sends(&bed.outcome(1, 0, "w0", Code::Ok, 20 * MS)), [(4, "w0".to_owned())]);
    }
}

/// Six functions are all loaded and served at w0 while w1 is empty, until an order moves one of them, which is
/// returned.
fn start_move(settings: Settings) -> (TestBed, String) {
    let mut bed = TestBed::new(settings, 2);
    for id in 0..60 {
        let queries = bed.request(id, &format!("f{}", id % 6), S);
        bed.answer_queries(&queries, "w0", 1);
        bed.advance(10 * MS);
        bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
        let actions = bed.advance(30 * MS);
        if let Some(Action::Load { worker, function, .. }) = sends_and_orders(&actions).first() {
            assert_eq!(worker.as_str(), "w1");
            return (bed, function.to_string());
        }
    }
    panic!("no function is moved: {:?}", bed.log);
}

/// Makes ten calls of a function, 50 ms apart, each answered at once, and asserts that this worker gets all of them.
fn assert_served_at(bed: &mut TestBed, function: &str, worker: &str) {
    for _ in 0..10 {
        let id = 10_000 + bed.log.len() as u64;
        assert_eq!(
            sends_and_orders(&bed.request(id, function, S)),
            [Action::Send { id: RequestId(id), worker: worker.into(), until: None }]
        );
        bed.outcome(id, 0, worker, Code::Ok, 10 * MS);
        bed.advance(50 * MS);
    }
}

#[test]
fn a_rejected_move_leaves_the_calls_at_home_and_is_not_repeated_at_once() {
    for code in [Code::Full, Code::Error, Code::Timeout] {
        let (mut bed, name) = start_move(settings(Repeat::Safe));
        // While the order is in flight the home continues to serve, and no second order is sent for the function.
        assert_served_at(&mut bed, &name, "w0");
        let before = bed.log.len();
        bed.advance(500 * MS);
        bed.loaded(&"w1".into(), &name, 0, code);
        assert_served_at(&mut bed, &name, "w0");
        let again =
            bed.log[before..].iter().filter(|(_, a)| loads_of(std::slice::from_ref(a)) == [name.clone()]);
        assert!(again.count() <= 1, "{code:?}: {:?}", &bed.log[before..]);
    }
}

#[test]
fn a_move_to_a_draining_worker_goes_elsewhere_whatever_it_answers() {
    for (count, busy) in [(0, false), (1, false), (0, true), (1, true)] {
        let (mut bed, name) = start_move(settings(Repeat::Safe));
        // An attempt of another function in flight keeps the worker's record while it drains.
        if busy {
            let queries = bed.request(400, "x", 10 * S);
            bed.answer_queries(&queries, "w1", 1);
        }
        workers_change(&mut bed, "w1", WorkerState::Leaving);
        let drained = bed.log.len();
        assert_served_at(&mut bed, &name, "w0");
        // The answer crosses the list update with the drain: no copy is assumed there.
        let code = if count > 0 { Code::Ok } else { Code::Full };
        bed.loaded(&"w1".into(), &name, count, code);
        assert_served_at(&mut bed, &name, "w0");
        // A third worker joins and may get the function before the lost order would have been abandoned.
        workers_change(&mut bed, "w2", WorkerState::Active);
        let mut later = Vec::new();
        for id in 20_000..20_027 {
            bed.request(id, &name, S);
            bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
            later.extend(sends_and_orders(&bed.advance(50 * MS)));
        }
        let order = Action::Load { worker: "w2".into(), function: name.as_str().into(), count: 1 };
        assert!(later.contains(&order), "{count}, {busy}: {later:?}");
        let back = |(_, a): &(Micros, Action)| match a {
            Action::Send { worker, .. } | Action::Load { worker, .. } => worker.as_str() == "w1",
            _ => false,
        };
        assert!(!bed.log[drained..].iter().any(back), "{count}, {busy}: {:?}", &bed.log[drained..]);
    }
}

#[test]
fn no_second_order_follows_if_the_home_drains_during_a_move() {
    let (mut bed, name) = start_move(settings(Repeat::Safe));
    workers_change(&mut bed, "w0", WorkerState::Leaving);
    assert_eq!(sends_and_orders(&bed.request(500, &name, S)), [], "it waits for the order in flight");
    assert_eq!(loads_of(&bed.advance(300 * MS)), Vec::<String>::new());
    let sent = bed.loaded(&"w1".into(), &name, 1, Code::Ok);
    assert_eq!(sends(&sent), [(500, "w1".to_owned())]);
}

#[test]
fn a_late_answer_to_an_abandoned_order_is_used_and_ends_no_other_order() {
    let mut elsewhere = 0;
    for name in (0..12).map(|n| format!("f{n}")) {
        let mut bed = TestBed::new(settings(Repeat::Safe), 4);
        let queries = bed.request(1, &name, 20 * S);
        let first = loads(&bed.answer_queries(&queries, "none", 0));
        assert_eq!(first.len(), 1);
        // The order is never answered: it is abandoned after a while, and the call queries and orders again.
        let mut second = Vec::new();
        while second.is_empty() && bed.now < 110 * S {
            let actions = bed.advance(50 * MS);
            second = loads(&bed.answer_queries(&actions, "none", 0));
            second.extend(loads(&actions));
        }
        assert_eq!(second.len(), 1, "one at a time: {second:?}");
        if first == second {
            continue;
        }
        elsewhere += 1;
        let late = bed.loaded(&first[0].as_str().into(), &name, 1, Code::Ok);
        assert_eq!(sends(&late), [(1, first[0].clone())]);
        bed.outcome(1, 0, &first[0], Code::Ok, 20 * MS);
        // The second order is still in flight: no other is sent besides it, and its copy is used as well.
        let crowd: Vec<_> = (2..8).flat_map(|id| bed.request(id, &name, S)).collect();
        assert_eq!(loads(&crowd), Vec::<String>::new());
        let both = sends(&bed.loaded(&second[0].as_str().into(), &name, 1, Code::Ok));
        assert!(both.iter().any(|(_, to)| *to == second[0]), "{both:?}");
    }
    assert!(elsewhere > 2, "{elsewhere} second orders went to another worker");
}

#[test]
fn an_order_over_the_rate_limit_waits_and_is_not_lost() {
    // One order per window, none for requests.
    let mut limited = settings(Repeat::Safe);
    (limited.copies.load_window, limited.copies.load_free) = (2 * S, 1.0);
    for code in [Code::Ok, Code::Full] {
        let mut bed = TestBed::new(limited.clone(), 4);
        let (one, two) = (bed.request(1, "f", 10 * S), bed.request(2, "g", 10 * S));
        let mut orders = sends_and_orders(&bed.answer_queries(&one, "none", 0));
        orders.extend(sends_and_orders(&bed.answer_queries(&two, "none", 0)));
        let [Action::Load { worker, function, .. }] = &orders[..] else { panic!("not one: {orders:?}") };
        assert_eq!(function.as_str(), "f");
        // A rejected order counts against the limit as well.
        bed.advance(100 * MS);
        let mut answered = bed.loaded(worker, "f", u32::from(code == Code::Ok), code);
        answered.extend(bed.outcome(1, 0, worker.as_str(), Code::Ok, 20 * MS));
        assert_eq!(loads_of(&answered), Vec::<String>::new(), "{code:?}");
        let answer_queries = |bed: &mut TestBed, by: Micros| {
            let until = bed.now + by;
            let mut orders = Vec::new();
            while bed.now < until {
                let actions = bed.advance(20 * MS);
                orders.extend(loads_of(&actions));
                orders.extend(loads_of(&bed.answer_queries(&actions, "none", 0)));
            }
            orders
        };
        assert_eq!(answer_queries(&mut bed, 1_800 * MS), Vec::<String>::new(), "{code:?}");
        let next = answer_queries(&mut bed, 300 * MS);
        assert_eq!(next.len(), 1, "{code:?}: {next:?}");
        assert!(code != Code::Ok || next == ["g"], "{next:?}");
    }
}

#[test]
fn a_release_of_many_functions_stays_within_the_order_rate_and_spares_the_others() {
    // Twelve schedulers call the same twenty functions; halfway through, eight of these get a new version.
    let mut limited = settings(Repeat::Safe);
    (limited.copies.load_window, limited.copies.load_free, limited.copies.load_share) = (5 * S, 1.0, 0.02);
    limited.schedulers = 12;
    let (window, renewed) = (limited.copies.load_window, 140 * S);
    // Workers with a loaded copy, by function; common to all schedulers.
    let mut copies: std::collections::BTreeMap<String, std::collections::BTreeSet<WorkerId>> =
        Default::default();
    let mut beds: Vec<_> =
        (0..12).map(|n| TestBed::new(Settings { self_index: n, ..limited.clone() }, 8)).collect();
    let mut read = [0; 12];
    let (mut orders, mut received) = (vec![Vec::new(); 12], vec![Vec::new(); 12]);
    let (mut served, mut requested) = ([0, 0], [0, 0]);
    for step in 0..2_000u64 {
        for at in 0..12 {
            let (now, function) = (beds[at].now, (step * 7 + at as u64) % 20);
            let fresh = now >= renewed && function < 8;
            let name = if fresh { format!("f{function}@2") } else { format!("f{function}") };
            // The last requests are not counted, as they may be in flight at the end.
            requested[usize::from(fresh)] += usize::from(step < 1_900);
            received[at].push(now);
            beds[at].request(step, &name, 2 * S);
            beds[at].advance(40 * MS);
            while read[at] < beds[at].log.len() {
                let (when, action) = beds[at].log[read[at]].clone();
                read[at] += 1;
                match action {
                    Action::Send { id, worker, .. } => {
                        let fresh = beds[at].now >= renewed && (id.0 * 7 + at as u64) % 20 < 8;
                        served[usize::from(fresh && received[at][id.0 as usize] >= renewed)] +=
                            usize::from(id.0 < 1_900);
                        beds[at].outcome(id.0, 0, worker.as_str(), Code::Ok, 20 * MS);
                    }
                    Action::Load { worker, function, count } => {
                        let held = copies.entry(function.to_string()).or_default();
                        if count > 0 {
                            orders[at].push(when);
                            let of = |all: &[Micros]| {
                                all.iter().filter(|t| **t + window > when && **t <= when).count() as f64
                            };
                            let (ordered, most) = (of(&orders[at]), 1.0 + 0.02 * of(&received[at]));
                            assert!(ordered <= most, "{ordered} orders, {most} allowed");
                            held.insert(worker.clone());
                        }
                        let loaded = u32::from(held.contains(&worker));
                        beds[at].loaded(&worker, function.as_str(), loaded, Code::Ok);
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(served[0] * 100 >= requested[0] * 99, "{} of {} old ones served", served[0], requested[0]);
    assert!(served[1] * 100 >= requested[1] * 95, "{} of {} new ones served", served[1], requested[1]);
}

#[test]
fn a_copy_ordered_for_overflow_is_not_ordered_again_for_a_move() {
    let mut bed = TestBed::new(settings(Repeat::Safe), 2);
    for id in 0..12 {
        let queries = bed.request(id, &format!("f{}", id % 6), S);
        bed.answer_queries(&queries, "w0", 1);
        bed.advance(10 * MS);
        bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
    }
    // Many calls of f0 exceed the capacity of w0; the order for w1 stays in flight past the next check of the homes.
    let crowd: Vec<_> = (100..106).flat_map(|id| sends_and_orders(&bed.request(id, "f0", 6 * S))).collect();
    assert_eq!(loads(&crowd), ["w1"], "{crowd:?}");
    for id in 200..240 {
        bed.request(id, &format!("f{}", 1 + id % 5), S);
        bed.advance(20 * MS);
        bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
        bed.advance(20 * MS);
    }
    let orders: Vec<_> = bed
        .log
        .iter()
        .filter(|(_, a)| matches!(a, Action::Load { function, count: 1.., .. } if function.as_str() == "f0"))
        .collect();
    assert_eq!(orders.len(), 1, "{orders:?}");
}

#[test]
fn a_move_that_loads_no_copy_is_tried_again_later() {
    for code in [Code::Ok, Code::Full] {
        let (mut bed, name) = start_move(settings(Repeat::Safe));
        bed.loaded(&"w1".into(), &name, 0, code);
        let mut later = Vec::new();
        for id in 500..600 {
            bed.request(id, &name, S);
            bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
            later.extend(loads_of(&bed.advance(40 * MS)));
        }
        assert!(later.contains(&name), "{code:?}: {later:?}");
    }
}

#[test]
fn an_answer_to_a_query_from_before_an_order_does_not_end_it() {
    // The wait for the query answers ends and an order is sent; then the answers arrive.
    let mut bed = TestBed::new(settings(Repeat::Safe), 4);
    let queries = bed.request(1, "f", 10 * S);
    let mut actions = bed.advance(60 * MS);
    let placed = loads(&actions);
    assert_eq!(placed.len(), 1, "{actions:?}");
    actions.extend(bed.answer_queries(&queries, "none", 0));
    actions.extend(bed.advance(400 * MS));
    assert_eq!(loads(&actions).len(), 1, "{actions:?}");
    assert_eq!(sends(&bed.loaded(&placed[0].as_str().into(), "f", 1, Code::Ok)), [(1, placed[0].clone())]);
    // A late load counts as lost if a later query of its worker reports no copy.
    let mut bed = TestBed::new(settings(Repeat::Safe), 4);
    let queries = bed.request(1, "f", 10 * S);
    let mut actions = bed.answer_queries(&queries, "none", 0);
    assert_eq!(loads(&actions).len(), 1, "{actions:?}");
    while bed.now < 102 * S {
        let later = bed.advance(20 * MS);
        actions.extend(bed.answer_queries(&later, "none", 0));
        actions.extend(later);
    }
    assert!((2..=4).contains(&loads(&actions).len()), "{actions:?}");
}
