//! A gateway with four event loops: each event has one owning loop, whichever loop the client is connected to.
mod common;

use basaltward_config::Config;
use basaltward_fakes::{ClientStats, Clients, PlannedEvent, RetryPolicy};
use basaltward_gateway::LoopMode;
use basaltward_rules::{Observation, Record, Recorder};
use basaltward_scenario::Harness;
use common::*;
use std::collections::BTreeSet;
use std::time::Duration;

fn four_loops() -> Config {
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

fn run_clients(harness: &Harness, plans: Vec<PlannedEvent>) -> ClientStats {
    Clients::new(harness.addresses.clone(), harness.recorder.clone())
        .expect("clients created")
        .run(plans)
        .expect("clients ran")
}

/// Number of loops with a record for which `matches` is true.
fn count_loops(records: &[Record], matches: impl Fn(&Observation) -> bool) -> usize {
    records
        .iter()
        .filter(|r| matches(&r.observation))
        .map(|r| r.observer.as_str())
        .collect::<BTreeSet<_>>()
        .len()
}

#[test]
fn an_event_sent_to_all_loops_runs_once() {
    for function in 0..3 {
        let harness = start_harness(&four_loops(), 3);
        // Sent at the same time, so each has its own connection; the system spreads connections over the loops.
        let plans = (0..32).map(|_| PlannedEvent { work: Some(150_000), ..plan(function, "e") }).collect();
        assert_eq!(run_clients(&harness, plans).served, 32, "{function}");
        let (records, breaches) = judge(harness);
        assert_eq!((run_count(&records, "e"), breaches), (1, Vec::new()), "{function}");
        assert!(
            count_loops(&records, |w| matches!(w, Observation::AnswerSent { .. })) > 1,
            "all connections were accepted by one loop"
        );
        assert_eq!(count_loops(&records, |w| matches!(w, Observation::Accepted { .. })), 1);
    }
}

#[test]
fn the_checker_catches_loops_that_do_not_coordinate() {
    let harness = Harness::start_with_mode(
        &four_loops(),
        1,
        vec![fast_worker(); 3],
        Recorder::memory(),
        LoopMode::Independent,
    )
    .expect("harness started");
    run_clients(&harness, (0..32).map(|_| PlannedEvent { work: Some(150_000), ..plan(2, "e") }).collect());
    let (records, breaches) = judge(harness);
    assert!(run_count(&records, "e") > 1 && breaches.iter().all(|b| b.rule == 2) && !breaches.is_empty());
}

#[test]
fn clients_that_disconnect_and_repeat_at_any_loop_get_the_answer_of_the_running_call() {
    let harness = start_harness(&four_loops(), 3);
    let to = harness.addresses[0];
    let request = event_request("stamp", "e", "ce-workus: 400000\r\n", "x");
    let mut first = Client::new(to);
    first.send(&request);
    wait_running(&harness, "e");
    drop(first);
    for _ in 0..40 {
        Client::new(to).send(&request);
    }
    let mut waiting: Vec<_> = (0..8).map(|_| Client::new(to)).collect();
    waiting.iter_mut().for_each(|client| client.send(&request));
    assert!(waiting.iter_mut().all(|client| client.answer().is_some_and(|a| a.status == 200)));
    // The owning loop has the record; the other loops query it.
    assert!((0..8).all(|_| status(to, "stamp", "e") == 200));
    let (records, breaches) = judge(harness);
    assert_eq!((run_count(&records, "e"), breaches), (1, Vec::new()));
}

#[test]
fn a_batch_is_spread_over_the_owning_loops_and_gets_one_complete_answer() {
    let harness = start_harness(&four_loops(), 3);
    let one = |id: usize| {
        format!(
            r#"{{"specversion":"1.0","id":"b{id}","source":"/clients","type":"t","subject":"{}","data":{id}}}"#,
            FUNCTIONS[id % 3]
        )
    };
    let body = format!("[{}]", (0..48).map(one).collect::<Vec<_>>().join(","));
    let mut client = Client::new(harness.addresses[0]);
    client.send(&format!(
"POST / HTTP/1.1\r\nHost: h\r\nContent-Type: application/cloudevents-batch+json\r\nContent-Length: {}\r\n\r\n{body}",
body.len()
));
    let answer = client.answer().expect("answer received");
    let body_text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(
        (answer.status, body_text.matches("\"outcome\":\"served\"").count()),
        (200, 48),
        "{body_text}"
    );
    let places: Vec<_> = (0..48).filter_map(|id| body_text.find(&format!("\"id\":\"b{id}\""))).collect();
    assert!(places.len() == 48 && places.is_sorted(), "answers are not in the order of the request");
    let (records, breaches) = judge(harness);
    assert_eq!(
        (count_loops(&records, |w| matches!(w, Observation::Accepted { .. })), breaches),
        (4, Vec::new())
    );
}

#[test]
fn a_stopping_gateway_answers_calls_that_loops_handed_over() {
    let harness = start_harness(&four_loops(), 3);
    let to = harness.addresses[0];
    let mut clients: Vec<_> = (0..24).map(|_| Client::new(to)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&event_request("stamp", &format!("s{id}"), "ce-workus: 300000\r\n", "x"));
    }
    for id in 0..24 {
        wait_running(&harness, &format!("s{id}"));
    }
    harness.gateways.iter().flatten().for_each(|gateway| gateway.stop());
    assert!(clients.iter_mut().all(|client| client.answer().is_some_and(|a| a.status == 200)));
    let (records, breaches) = judge(harness);
    assert_eq!(breaches, []);
    assert_eq!(count_loops(&records, |w| matches!(w, Observation::Down { killed: false })), 4);
}

#[test]
fn a_stalled_loop_delays_only_its_own_connections_and_events() {
    let harness = start_harness(&four_loops(), 3);
    let to = harness.addresses[0];
    // Loads a copy and opens the connections to workers first.
    assert_eq!(status(to, "stamp", "warm"), 200);
    harness.gateways[0].as_ref().expect("gateway is running").stall(1, Duration::from_millis(1_200));
    let mut clients: Vec<_> = (0..40).map(|_| Client::new(to)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&event_request("stamp", &format!("k{id}"), "ce-timeoutms: 500\r\n", "x"));
    }
    let statuses: Vec<_> = clients.iter_mut().map(|c| c.answer().map_or(0, |a| a.status)).collect();
    // Clients connected to the stalled loop get their answer when it resumes: a refusal, since it then expects to be
    // late again.
    let (served, refused) =
        (statuses.iter().filter(|s| **s == 200).count(), statuses.iter().filter(|s| **s == 503).count());
    assert!(served > 0 && refused > 0 && served + refused == 40, "{statuses:?}");
    // Refused events have not run and run now; served ones are answered from their record.
    for id in 0..40 {
        assert_eq!(status(to, "stamp", &format!("k{id}")), 200, "{id}");
    }
    let (records, breaches) = judge(harness);
    assert!((0..40).all(|id| run_count(&records, &format!("k{id}")) == 1));
    assert_eq!(breaches, []);
}

#[test]
fn the_limit_of_guards_per_tenant_holds_over_all_loops() {
    let mut config = four_loops();
    config.repeats.guards_per_tenant = 8;
    let harness = start_harness(&config, 3);
    let stats = run_clients(&harness, (0..64).map(|id| plan(2, &format!("g{id}"))).collect());
    assert_eq!((stats.served, stats.refused), (8, 56));
    assert_eq!(judge(harness).1, []);
}
