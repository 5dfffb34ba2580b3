//! Behavior after an idle hour without requests or changes of the list of workers.
mod common;
use basaltward::*;
use common::{MS, S, TestBed, loads, member, sends, settings};

const HOUR: Micros = 3_600 * S;

/// One call was served, followed by an idle hour.
fn after_an_hour(mut settings: Settings, orders: bool) -> TestBed {
    (settings.copies.load_on_miss, settings.copies.orders) = (!orders, orders);
    let mut bed = TestBed::new(settings, 2);
    let mut sent = bed.request(1, "f", S);
    if orders {
        sent = bed.answer_queries(&sent, "w0", 1);
    }
    let (id, worker) = sends(&sent).pop().expect("sent at once");
    bed.outcome(id, 0, &worker, Code::Ok, 20 * MS);
    bed.advance(HOUR);
    bed
}

#[test]
fn a_call_is_sent_at_once_and_a_drain_is_observed() {
    let mut bed = after_an_hour(settings(Repeat::Unsafe), true);
    let queries = bed.request(2, "f", S);
    let sent = bed.answer_queries(&queries, "w1", 1);
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
fn an_unanswered_call_ends_at_its_timeout() {
    let mut bed = after_an_hour(settings(Repeat::Unsafe), false);
    bed.request(2, "f", 300 * MS);
    let before = bed.advance(299 * MS);
    assert!(!before.iter().any(|a| matches!(a, Action::Fail { .. } | Action::Refuse { .. })), "{before:?}");
    assert!(bed.advance(MS).contains(&Action::Fail { id: RequestId(2) }));
}

#[test]
fn a_worker_that_starts_after_an_hour_gets_no_more_than_its_budget() {
    let mut bed = after_an_hour(settings(Repeat::Safe), false);
    let started = bed.now;
    bed.event(Event::Members {
        kind: MembersKind::Changes,
        members: vec![member("w0", WorkerState::Active, started)],
    });
    // Nothing was served for an hour, so the rate of a warm worker is unknown and must not be assumed.
    let cold = bed.served_by("w0", 10..410);
    assert!(cold < 125, "{cold} sends to a worker that had just started");
}

#[test]
fn the_order_rate_limit_is_unaffected_by_an_idle_hour() {
    let window = 5 * S;
    let mut settings = settings(Repeat::Keyed { group: Group::All, window });
    (settings.copies.load_window, settings.copies.load_free, settings.copies.load_share) = (window, 2.0, 0.0);
    let mut bed = after_an_hour(settings, true);
    let before = bed.log.len();
    for id in 10..20 {
        let queries = bed.request(id, &format!("once{id}"), S);
        bed.answer_queries(&queries, "none", 0);
    }
    bed.advance(S);
    let orders =
        bed.log[before..].iter().filter(|(_, a)| matches!(a, Action::Load { count: 1.., .. })).count();
    assert!((1..=2).contains(&orders), "{orders} orders with a limit of two");
}
