//! Trouble that begins after a long quiet time: an hour in which nobody asks anything and no list changes.
mod common;
use basaltward::*;
use common::{Bed, MS, S, loads, member, sends, settings};

const HOUR: Micros = 3_600 * S;

/// A call was served, then nothing came for an hour.
fn after_an_hour(mut told: Settings, orders: bool) -> Bed {
    (told.copies.load_on_miss, told.copies.orders) = (!orders, orders);
    let mut bed = Bed::new(told, 2);
    let mut sent = bed.request(1, "f", S);
    if orders {
        sent = bed.answer_asks(&sent, "w0", 1);
    }
    let (id, worker) = sends(&sent).pop().expect("sent at once");
    bed.outcome(id, 0, &worker, Code::Ok, 20 * MS);
    bed.advance(HOUR);
    bed
}

#[test]
fn a_call_goes_out_at_once_and_a_drain_is_kept() {
    let mut bed = after_an_hour(settings(Repeat::Unsafe), true);
    let asks = bed.request(2, "f", S);
    let sent = bed.answer_asks(&asks, "w1", 1);
    assert_eq!(sends(&sent), [(2, "w1".to_owned())]);
    bed.outcome(2, 0, "w1", Code::Ok, 20 * MS);
    bed.advance(HOUR);
    let members = vec![member("w1", WorkerState::Leaving, 0)];
    bed.event(Event::Members { kind: MembersKind::Changes, members });
    let mut all = bed.request(3, "f", S);
    all.extend(bed.advance(200 * MS));
    assert!(
        sends(&all).iter().all(|(_, to)| to == "w0") && loads(&all).iter().all(|to| to == "w0"),
        "{all:?}"
    );
}

#[test]
fn a_call_without_an_answer_ends_by_its_time() {
    let mut bed = after_an_hour(settings(Repeat::Unsafe), false);
    bed.request(2, "f", 300 * MS);
    let before = bed.advance(299 * MS);
    assert!(!before.iter().any(|a| matches!(a, Action::Fail { .. } | Action::Refuse { .. })), "{before:?}");
    assert!(bed.advance(MS).contains(&Action::Fail { id: RequestId(2) }));
}

#[test]
fn a_worker_that_starts_then_gets_no_more_than_its_budget() {
    let mut bed = after_an_hour(settings(Repeat::Safe), false);
    let started = bed.now;
    bed.event(Event::Members {
        kind: MembersKind::Changes,
        members: vec![member("w0", WorkerState::Active, started)],
    });
    // Nothing was served for an hour: nobody knows what a warm one serves, so that nothing may be taken for granted.
    let cold = bed.served_by("w0", 10..410);
    assert!(cold < 125, "{cold} sends to a worker that had just started");
}

#[test]
fn keys_and_rations_know_nothing_of_an_hour_ago() {
    let window = 5 * S;
    let mut told = settings(Repeat::Keyed { group: Group::All, window });
    (told.copies.load_window, told.copies.load_free, told.copies.load_share) = (window, 2.0, 0.0);
    let mut bed = after_an_hour(told, true);
    let before = bed.log.len();
    for id in 10..20 {
        let asks = bed.request(id, &format!("once{id}"), S);
        bed.answer_asks(&asks, "none", 0);
    }
    bed.advance(S);
    let orders =
        bed.log[before..].iter().filter(|(_, a)| matches!(a, Action::Load { count: 1.., .. })).count();
    assert!((1..=2).contains(&orders), "{orders} orders of a ration of two");
}
