//! Crossings of the module: clients that go, orders to load, and hand-overs of functions.
mod common;
use basaltward::*;
use common::*;

/// Sends and orders of copies, but no questions.
fn acts(actions: &[Action]) -> Vec<Action> {
    let act = |a: &&Action| matches!(a, Action::Send { .. } | Action::Load { count: 1.., .. });
    actions.iter().filter(act).cloned().collect()
}

fn workers_change(bed: &mut Bed, worker: &str, state: WorkerState) -> Vec<Action> {
    let members = vec![member(worker, state, 0)];
    bed.event(Event::Members { kind: MembersKind::Changes, members })
}

#[test]
fn nothing_is_sent_or_ordered_for_a_client_that_has_gone() {
    for cancel in [false, true] {
        // While the questions are out: no order, whatever they bring, and nothing is sent to a copy found late.
        let mut limits = settings(Repeat::Safe);
        limits.limits.cancel = cancel;
        for found in [0, 1] {
            let mut bed = Bed::new(limits.clone(), 3);
            let asks = bed.request(1, "f", S);
            bed.event(Event::ClientGone { id: RequestId(1) });
            let mut later = bed.answer_asks(&asks, "w0", found);
            later.extend(bed.advance(2 * S));
            assert_eq!(acts(&later), [], "cancel {cancel}, {found} found");
        }
        // While the order is out, and it fails or brings the copy.
        for (count, code) in [(1, Code::Ok), (0, Code::Full), (0, Code::Error)] {
            let mut bed = Bed::new(limits.clone(), 3);
            let asks = bed.request(1, "f", S);
            let placed = loads(&bed.answer_asks(&asks, "none", 0));
            bed.event(Event::ClientGone { id: RequestId(1) });
            let mut later = bed.loaded(&placed[0].as_str().into(), "f", count, code);
            later.extend(bed.advance(2 * S));
            assert_eq!(acts(&later), [], "cancel {cancel}, order {code:?}");
        }
        // While an attempt is out: none after it, when it is overdue nor when it fails, and no answer.
        for code in [Code::Miss, Code::Full, Code::Reset, Code::ConnectFailed, Code::Timeout] {
            let mut bed = Bed::new(limits.clone(), 3);
            let asks = bed.request(1, "f", S);
            bed.answer_asks(&asks, "w0", 1);
            bed.loaded(&"w1".into(), "f", 1, Code::Ok);
            let gone = bed.event(Event::ClientGone { id: RequestId(1) });
            let drop = Action::Cancel { id: RequestId(1), attempt: 0 };
            assert_eq!(gone, if cancel { vec![drop] } else { vec![] });
            let mut later = bed.advance(600 * MS);
            later.extend(bed.outcome(1, 0, "w0", code, 600 * MS));
            later.extend(bed.advance(2 * S));
            let answers = |a: &Action| matches!(a, Action::Fail { .. } | Action::Refuse { .. });
            assert_eq!(acts(&later), [], "cancel {cancel}, {code:?}");
            assert!(!later.iter().any(answers), "cancel {cancel}, {code:?}: {later:?}");
        }
        // While it waits for a lane: the one behind it goes.
        let mut bed = Bed::new(limits.clone(), 1);
        let asks = bed.request(1, "f", S);
        bed.answer_asks(&asks, "w0", 1);
        (2..=4).for_each(|id| drop(bed.request(id, "f", S)));
        bed.event(Event::ClientGone { id: RequestId(3) });
        assert_eq!(sends(&bed.outcome(1, 0, "w0", Code::Ok, 20 * MS)), [(4, "w0".to_owned())]);
    }
}

/// Six functions that all stand and are served at w0 while w1 stands empty, up to the order that hands one of them over;
/// tells which.
fn handing_over(settings: Settings) -> (Bed, String) {
    let mut bed = Bed::new(settings, 2);
    for id in 0..60 {
        let asks = bed.request(id, &format!("f{}", id % 6), S);
        bed.answer_asks(&asks, "w0", 1);
        bed.advance(10 * MS);
        bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
        let told = bed.advance(30 * MS);
        if let Some(Action::Load { worker, function, .. }) = acts(&told).first() {
            assert_eq!(worker.as_str(), "w1");
            return (bed, function.to_string());
        }
    }
    panic!("none is handed over: {:?}", bed.log);
}

/// Ten calls of a function, 50 ms apart, each answered at once by the worker that got it, which has to be this one.
fn served_at(bed: &mut Bed, function: &str, worker: &str) {
    for _ in 0..10 {
        let id = 10_000 + bed.log.len() as u64;
        assert_eq!(
            acts(&bed.request(id, function, S)),
            [Action::Send { id: RequestId(id), worker: worker.into(), until: None }]
        );
        bed.outcome(id, 0, worker, Code::Ok, 10 * MS);
        bed.advance(50 * MS);
    }
}

#[test]
fn a_hand_over_that_is_refused_leaves_the_calls_at_home_and_is_not_echoed() {
    for code in [Code::Full, Code::Error, Code::Timeout] {
        let (mut bed, name) = handing_over(settings(Repeat::Safe));
        // While the order is out the home serves on, and no second one is given for the function.
        served_at(&mut bed, &name, "w0");
        let before = bed.log.len();
        bed.advance(500 * MS);
        bed.loaded(&"w1".into(), &name, 0, code);
        served_at(&mut bed, &name, "w0");
        let again =
            bed.log[before..].iter().filter(|(_, a)| loads_of(std::slice::from_ref(a)) == [name.clone()]);
        assert!(again.count() <= 1, "{code:?}: {:?}", &bed.log[before..]);
    }
}

#[test]
fn a_hand_over_whose_worker_drains_goes_elsewhere_whatever_its_answer_says() {
    for (count, busy) in [(0, false), (1, false), (0, true), (1, true)] {
        let (mut bed, name) = handing_over(settings(Repeat::Safe));
        // With a call of another function still out there the worker is remembered while it drains.
        if busy {
            let asks = bed.request(400, "x", 10 * S);
            bed.answer_asks(&asks, "w1", 1);
        }
        workers_change(&mut bed, "w1", WorkerState::Leaving);
        let drained = bed.log.len();
        served_at(&mut bed, &name, "w0");
        // The answer crosses the news of the drain: no copy is believed in there.
        let code = if count > 0 { Code::Ok } else { Code::Full };
        bed.loaded(&"w1".into(), &name, count, code);
        served_at(&mut bed, &name, "w0");
        // A third worker comes and may have it before the lost order would have been given up.
        workers_change(&mut bed, "w2", WorkerState::Active);
        let mut later = Vec::new();
        for id in 20_000..20_027 {
            bed.request(id, &name, S);
            bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
            later.extend(acts(&bed.advance(50 * MS)));
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
fn a_home_that_drains_before_the_hand_over_is_answered_is_followed_by_no_second_order() {
    let (mut bed, name) = handing_over(settings(Repeat::Safe));
    workers_change(&mut bed, "w0", WorkerState::Leaving);
    assert_eq!(acts(&bed.request(500, &name, S)), [], "it waits for the order that is out");
    assert_eq!(loads_of(&bed.advance(300 * MS)), Vec::<String>::new());
    let stands = bed.loaded(&"w1".into(), &name, 1, Code::Ok);
    assert_eq!(sends(&stands), [(500, "w1".to_owned())]);
}

#[test]
fn an_answer_that_comes_after_its_order_was_given_up_is_used_and_ends_no_other_order() {
    let mut elsewhere = 0;
    for name in (0..12).map(|n| format!("f{n}")) {
        let mut bed = Bed::new(settings(Repeat::Safe), 4);
        let asks = bed.request(1, &name, 20 * S);
        let first = loads(&bed.answer_asks(&asks, "none", 0));
        assert_eq!(first.len(), 1);
        // Never answered: given up after a while, and the call asks and orders anew.
        let mut second = Vec::new();
        while second.is_empty() && bed.now < 110 * S {
            let told = bed.advance(50 * MS);
            second = loads(&bed.answer_asks(&told, "none", 0));
            second.extend(loads(&told));
        }
        assert_eq!(second.len(), 1, "one at a time: {second:?}");
        if first == second {
            continue;
        }
        elsewhere += 1;
        let late = bed.loaded(&first[0].as_str().into(), &name, 1, Code::Ok);
        assert_eq!(sends(&late), [(1, first[0].clone())]);
        bed.outcome(1, 0, &first[0], Code::Ok, 20 * MS);
        // The second one is still out: none is given besides it, and its copy is used as well.
        let crowd: Vec<_> = (2..8).flat_map(|id| bed.request(id, &name, S)).collect();
        assert_eq!(loads(&crowd), Vec::<String>::new());
        let both = sends(&bed.loaded(&second[0].as_str().into(), &name, 1, Code::Ok));
        assert!(both.iter().any(|(_, to)| *to == second[0]), "{both:?}");
    }
    assert!(elsewhere > 2, "{elsewhere} second orders went elsewhere");
}

#[test]
fn of_two_orders_the_ration_has_one_for_the_second_waits_and_is_not_lost() {
    // One order free in a window, none for requests.
    let mut rationed = settings(Repeat::Safe);
    (rationed.copies.load_window, rationed.copies.load_free) = (2 * S, 1.0);
    for code in [Code::Ok, Code::Full] {
        let mut bed = Bed::new(rationed.clone(), 4);
        let (one, two) = (bed.request(1, "f", 10 * S), bed.request(2, "g", 10 * S));
        let mut orders = acts(&bed.answer_asks(&one, "none", 0));
        orders.extend(acts(&bed.answer_asks(&two, "none", 0)));
        let [Action::Load { worker, function, .. }] = &orders[..] else { panic!("not one: {orders:?}") };
        assert_eq!(function.as_str(), "f");
        // A refused one has been spent as well.
        bed.advance(100 * MS);
        let mut answered = bed.loaded(worker, "f", u32::from(code == Code::Ok), code);
        answered.extend(bed.outcome(1, 0, worker.as_str(), Code::Ok, 20 * MS));
        assert_eq!(loads_of(&answered), Vec::<String>::new(), "{code:?}");
        let answer_asks = |bed: &mut Bed, by: Micros| {
            let until = bed.now + by;
            let mut orders = Vec::new();
            while bed.now < until {
                let told = bed.advance(20 * MS);
                orders.extend(loads_of(&told));
                orders.extend(loads_of(&bed.answer_asks(&told, "none", 0)));
            }
            orders
        };
        assert_eq!(answer_asks(&mut bed, 1_800 * MS), Vec::<String>::new(), "{code:?}");
        let next = answer_asks(&mut bed, 300 * MS);
        assert_eq!(next.len(), 1, "{code:?}: {next:?}");
        assert!(code != Code::Ok || next == ["g"], "{next:?}");
    }
}

#[test]
fn four_in_ten_functions_new_at_once_are_loaded_within_the_ration_and_leave_the_others_alone() {
    // Twelve schedulers see the same twenty functions; in the middle eight of them come in a new version.
    let mut rationed = settings(Repeat::Safe);
    (rationed.copies.load_window, rationed.copies.load_free, rationed.copies.load_share) = (5 * S, 1.0, 0.02);
    rationed.schedulers = 12;
    let (window, renewed) = (rationed.copies.load_window, 140 * S);
    // What stands: worker by function, for all.
    let mut copies: std::collections::BTreeMap<String, std::collections::BTreeSet<WorkerId>> =
        Default::default();
    let mut beds: Vec<_> =
        (0..12).map(|n| Bed::new(Settings { self_index: n, ..rationed.clone() }, 8)).collect();
    let mut read = [0; 12];
    let (mut orders, mut taken) = (vec![Vec::new(); 12], vec![Vec::new(); 12]);
    let (mut served, mut asked) = ([0, 0], [0, 0]);
    for step in 0..2_000u64 {
        for at in 0..12 {
            let (now, function) = (beds[at].now, (step * 7 + at as u64) % 20);
            let fresh = now >= renewed && function < 8;
            let name = if fresh { format!("f{function}@2") } else { format!("f{function}") };
            // The last ones are not asked after: they may be out at the end.
            asked[usize::from(fresh)] += usize::from(step < 1_900);
            taken[at].push(now);
            beds[at].request(step, &name, 2 * S);
            beds[at].advance(40 * MS);
            while read[at] < beds[at].log.len() {
                let (when, action) = beds[at].log[read[at]].clone();
                read[at] += 1;
                match action {
                    Action::Send { id, worker, .. } => {
                        let fresh = beds[at].now >= renewed && (id.0 * 7 + at as u64) % 20 < 8;
                        served[usize::from(fresh && taken[at][id.0 as usize] >= renewed)] +=
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
                            let (given, most) = (of(&orders[at]), 1.0 + 0.02 * of(&taken[at]));
                            assert!(given <= most, "{given} orders, {most} allowed");
                            held.insert(worker.clone());
                        }
                        let stands = u32::from(held.contains(&worker));
                        beds[at].loaded(&worker, function.as_str(), stands, Code::Ok);
                    }
                    _ => {}
                }
            }
        }
    }
    assert!(served[0] * 100 >= asked[0] * 99, "{} of {} old ones served", served[0], asked[0]);
    assert!(served[1] * 100 >= asked[1] * 95, "{} of {} new ones served", served[1], asked[1]);
}

#[test]
fn a_copy_that_is_ordered_for_a_crowd_is_not_ordered_once_more_to_hand_the_function_over() {
    let mut bed = Bed::new(settings(Repeat::Safe), 2);
    for id in 0..12 {
        let asks = bed.request(id, &format!("f{}", id % 6), S);
        bed.answer_asks(&asks, "w0", 1);
        bed.advance(10 * MS);
        bed.outcome(id, 0, "w0", Code::Ok, 10 * MS);
    }
    // A crowd wants f0, and w0 has no room for it; the order for w1 stays out past the next look at the homes.
    let crowd: Vec<_> = (100..106).flat_map(|id| acts(&bed.request(id, "f0", 6 * S))).collect();
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
fn a_hand_over_that_brings_nothing_is_tried_again_later() {
    for code in [Code::Ok, Code::Full] {
        let (mut bed, name) = handing_over(settings(Repeat::Safe));
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
fn an_answer_to_a_question_from_before_an_order_does_not_end_it() {
    // The patience with the questions ends first and an order goes; then their answers come.
    let mut bed = Bed::new(settings(Repeat::Safe), 4);
    let asks = bed.request(1, "f", 10 * S);
    let mut told = bed.advance(60 * MS);
    let placed = loads(&told);
    assert_eq!(placed.len(), 1, "{told:?}");
    told.extend(bed.answer_asks(&asks, "none", 0));
    told.extend(bed.advance(400 * MS));
    assert_eq!(loads(&told).len(), 1, "{told:?}");
    assert_eq!(sends(&bed.loaded(&placed[0].as_str().into(), "f", 1, Code::Ok)), [(1, placed[0].clone())]);
    // A load that is late, of which nothing is known there when it is asked after, is taken for lost.
    let mut bed = Bed::new(settings(Repeat::Safe), 4);
    let asks = bed.request(1, "f", 10 * S);
    let mut told = bed.answer_asks(&asks, "none", 0);
    assert_eq!(loads(&told).len(), 1, "{told:?}");
    while bed.now < 102 * S {
        let news = bed.advance(20 * MS);
        told.extend(bed.answer_asks(&news, "none", 0));
        told.extend(news);
    }
    assert!((2..=4).contains(&loads(&told).len()), "{told:?}");
}
