//! One gateway of four loops: an event has one owner, whichever loop its client reaches.
mod common;

use basaltward_config::Config;
use basaltward_fakes::{ClientStats, Clients, PlannedEvent, RetryPolicy};
use basaltward_gateway::LoopMode;
use basaltward_rules::{Observation, Record, Recorder};
use basaltward_scenario::Harness;
use common::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn four() -> Config {
    Config { threads: 4, ..config() }
}

/// The class of each of [`FUNCTIONS`].
const CLASSES: [&str; 3] = ["safe", "keyed", "unsafe"];

fn plan(function: usize, id: &str) -> PlannedEvent {
    PlannedEvent {
        send_at: 0,
        gateway: 0,
        function: FUNCTIONS[function].into(),
        class: CLASSES[function].into(),
        tenant: String::new(),
        id: id.into(),
        timeout: 6_000_000,
        work: None,
        payload: 10,
        retry_policy: RetryPolicy::default(),
    }
}

fn run(bed: &Harness, plans: Vec<PlannedEvent>) -> ClientStats {
    Clients::new(bed.addresses.clone(), bed.recorder.clone()).expect("clients").run(plans).expect("run")
}

/// Loops that did this.
fn loops_that(records: &[Record], did: impl Fn(&Observation) -> bool) -> usize {
    records.iter().filter(|r| did(&r.observation)).map(|r| r.observer.as_str()).collect::<BTreeSet<_>>().len()
}

#[test]
fn an_event_that_all_loops_hear_of_runs_once() {
    for function in 0..3 {
        let bed = bed(&four(), 3);
        // At once, so each on a connection of its own; the system spreads them over the loops.
        let plans = (0..32).map(|_| PlannedEvent { work: Some(150_000), ..plan(function, "e") }).collect();
        assert_eq!(run(&bed, plans).served, 32, "{function}");
        let (records, breaches) = judge(bed);
        assert_eq!((runs(&records, "e"), breaches), (1, Vec::new()), "{function}");
        assert!(
            loops_that(&records, |w| matches!(w, Observation::AnswerSent { .. })) > 1,
            "all connections met one loop"
        );
        assert_eq!(loops_that(&records, |w| matches!(w, Observation::Accepted { .. })), 1);
    }
}

#[test]
fn loops_that_know_nothing_of_each_other_are_caught() {
    let bed =
        Harness::start_with_mode(&four(), 1, vec![worker(); 3], Recorder::memory(), LoopMode::Independent)
            .expect("a bed");
    run(&bed, (0..32).map(|_| PlannedEvent { work: Some(150_000), ..plan(2, "e") }).collect());
    let (records, breaches) = judge(bed);
    assert!(runs(&records, "e") > 1 && breaches.iter().all(|b| b.rule == 2) && !breaches.is_empty());
}

#[test]
fn clients_that_leave_early_at_any_loop_find_the_call_again() {
    let bed = bed(&four(), 3);
    let to = bed.addresses[0];
    let request = event("stamp", "e", "ce-workus: 400000\r\n", "x");
    let mut first = Client::new(to);
    first.send(&request);
    wait_running(&bed, "e");
    drop(first);
    for _ in 0..40 {
        Client::new(to).send(&request);
    }
    let mut last: Vec<_> = (0..8).map(|_| Client::new(to)).collect();
    last.iter_mut().for_each(|client| client.send(&request));
    assert!(last.iter_mut().all(|client| client.answer().is_some_and(|a| a.status == 200)));
    // The record is with the owner, and any loop asks it.
    assert!((0..8).all(|_| status(to, "stamp", "e") == 200));
    let (records, breaches) = judge(bed);
    assert_eq!((runs(&records, "e"), breaches), (1, Vec::new()));
}

#[test]
fn a_batch_is_spread_over_the_owners_and_answered_whole() {
    let bed = bed(&four(), 3);
    let one = |id: usize| {
        format!(
            r#"{{"specversion":"1.0","id":"b{id}","source":"/clients","type":"t","subject":"{}","data":{id}}}"#,
            FUNCTIONS[id % 3]
        )
    };
    let body = format!("[{}]", (0..48).map(one).collect::<Vec<_>>().join(","));
    let mut client = Client::new(bed.addresses[0]);
    client.send(&format!(
"POST / HTTP/1.1\r\nHost: h\r\nContent-Type: application/cloudevents-batch+json\r\nContent-Length: {}\r\n\r\n{body}",
body.len()
));
    let answer = client.answer().expect("an answer");
    let told = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!((answer.status, told.matches("\"outcome\":\"served\"").count()), (200, 48), "{told}");
    let places: Vec<_> = (0..48).filter_map(|id| told.find(&format!("\"id\":\"b{id}\""))).collect();
    assert!(places.len() == 48 && places.is_sorted(), "in the order asked");
    let (records, breaches) = judge(bed);
    assert_eq!(
        (loops_that(&records, |w| matches!(w, Observation::Accepted { .. })), breaches),
        (4, Vec::new())
    );
}

#[test]
fn a_gateway_that_stops_answers_calls_handed_over() {
    let bed = bed(&four(), 3);
    let to = bed.addresses[0];
    let mut clients: Vec<_> = (0..24).map(|_| Client::new(to)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&event("stamp", &format!("s{id}"), "ce-workus: 300000\r\n", "x"));
    }
    for id in 0..24 {
        wait_running(&bed, &format!("s{id}"));
    }
    bed.gateways.iter().flatten().for_each(|gateway| gateway.stop());
    assert!(clients.iter_mut().all(|client| client.answer().is_some_and(|a| a.status == 200)));
    let (records, breaches) = judge(bed);
    assert_eq!(breaches, []);
    assert_eq!(loops_that(&records, |w| matches!(w, Observation::Down { killed: false })), 4);
}

#[test]
fn a_loop_that_is_stuck_costs_the_others_nothing_but_its_own_events() {
    let bed = bed(&four(), 3);
    let to = bed.addresses[0];
    // Copies and connections first.
    assert_eq!(status(to, "stamp", "warm"), 200);
    bed.gateways[0].as_ref().expect("up").stall(1, Duration::from_millis(1_200));
    let mut clients: Vec<_> = (0..40).map(|_| Client::new(to)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&event("stamp", &format!("k{id}"), "ce-timeoutms: 500\r\n", "x"));
    }
    let told: Vec<_> = clients.iter_mut().map(|c| c.answer().map_or(0, |a| a.status)).collect();
    // Those whose connection lies with the stuck loop get their answer when it moves again: refused, for it
    // then reckons with being late once more.
    let (served, refused) =
        (told.iter().filter(|s| **s == 200).count(), told.iter().filter(|s| **s == 503).count());
    assert!(served > 0 && refused > 0 && served + refused == 40, "{told:?}");
    // What was refused never ran, and does now; what was served is served from the record.
    for id in 0..40 {
        assert_eq!(status(to, "stamp", &format!("k{id}")), 200, "{id}");
    }
    let (records, breaches) = judge(bed);
    assert!((0..40).all(|id| runs(&records, &format!("k{id}")) == 1));
    assert_eq!(breaches, []);
}

#[test]
fn a_tenants_bound_on_guards_is_shared_among_the_loops() {
    let mut config = four();
    config.repeats.guards_per_tenant = 8;
    let bed = bed(&config, 3);
    let tally = run(&bed, (0..64).map(|id| plan(2, &format!("g{id}"))).collect());
    assert_eq!((tally.served, tally.refused), (8, 56));
    assert_eq!(judge(bed).1, []);
}
