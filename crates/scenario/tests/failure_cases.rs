//! Failure cases over loopback sockets: each test provokes the failure in its name.
mod common;

use basaltward::WorkerState;
use basaltward_fakes::{Clients, Fault, PlannedEvent, RetryPolicy, WorkerSpec};
use basaltward_rules::{Observation, Recorder};
use basaltward_scenario::{Harness, rule_settings};
use common::*;

fn plan(function: &str, class: &str, id: usize) -> PlannedEvent {
    PlannedEvent {
        send_at: 0,
        gateway: 0,
        function: function.into(),
        class: class.into(),
        tenant: String::new(),
        id: id.to_string(),
        timeout: 8_000_000,
        work: None,
        payload: 10,
        retry_policy: RetryPolicy::default(),
    }
}

#[test]
fn an_event_repeated_fifty_times_after_early_disconnects_runs_once() {
    for function in FUNCTIONS {
        let harness = start_harness(&config(), 3);
        let to = harness.addresses[0];
        let request = event_request(function, "e", "ce-workus: 400000\r\n", "x");
        let mut first = Client::new(to);
        first.send(&request);
        wait_running(&harness, "e");
        drop(first);
        for _ in 0..49 {
            let mut early = Client::new(to);
            early.send(&request);
        }
        let mut last = Client::new(to);
        last.send(&request);
        assert_eq!(last.answer().map(|a| a.status), Some(200), "{function}");
        // Answered at once from the record, without a worker.
        last.send(&request);
        assert_eq!(last.answer().map(|a| a.status), Some(200), "{function}");
        let (records, breaches) = judge(harness);
        assert_eq!((run_count(&records, "e"), breaches), (1, Vec::new()), "{function}");
    }
}

#[test]
fn a_worker_that_drains_during_a_call_finishes_it_and_gets_no_new_calls() {
    let mut harness = start_harness(&config(), 2);
    let to = harness.addresses[0];
    let mut client = Client::new(to);
    client.send(&event_request("stamp", "long", "ce-workus: 300000\r\n", "x"));
    let worker = wait_running(&harness, "long");
    harness.fleet.inject_fault(worker, Fault::Drain(true));
    harness.roster.set_state(worker, WorkerState::Leaving).expect("roster saved");
    wait_for_roster_state(&harness, worker, "leaving");
    for id in 0..20 {
        assert_eq!(status(to, "stamp", &id.to_string()), 200);
    }
    assert_eq!(client.answer().map(|a| a.status), Some(200));
    let address = harness.fleet.addresses()[worker].to_string();
    let (records, breaches) = judge(harness);
    let reported = records
        .iter()
        .position(|r| matches!(&r.observation, Observation::WorkerState { state, .. } if state == "leaving"));
    let after = &records[reported.expect("state reported")..];
    let sent_to_worker = |r: &&basaltward_rules::Record| matches!(&r.observation, Observation::Sent { worker, .. } if *worker == address);
    assert_eq!((after.iter().filter(sent_to_worker).count(), breaches), (0, Vec::new()));
}

#[test]
fn a_worker_that_dies_before_its_answer_makes_only_a_safe_call_run_again() {
    for (function, expected, ran) in [("view", 200, 2), ("note", 200, 1), ("stamp", 500, 1)] {
        let harness = start_harness(&config(), 2);
        let mut client = Client::new(harness.addresses[0]);
        client.send(&event_request(function, "e", "ce-workus: 400000\r\n", "x"));
        let worker = wait_running(&harness, "e");
        harness.fleet.inject_fault(worker, Fault::Kill);
        let answer = client.answer().expect("answer received");
        assert_eq!(answer.status, expected, "{function}");
        if expected != 200 {
            // An event that may have run is not run again for a repeat either.
            let body_text = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(
                body_text.contains("\"outcome\":\"failed\"") && body_text.contains("\"retryable\":false"),
                "{body_text}"
            );
            assert_eq!(status(harness.addresses[0], function, "e"), 500);
        }
        let (records, breaches) = judge(harness);
        assert_eq!((run_count(&records, "e"), breaches), (ran, Vec::new()), "{function}");
    }
}

#[test]
fn the_checker_catches_workers_that_lose_their_keys_when_killed() {
    let losing_keys = WorkerSpec { loses_keys_when_killed: true, ..fast_worker() };
    let harness =
        Harness::start(&config(), 1, vec![losing_keys; 2], Recorder::memory()).expect("harness started");
    // Uses a client that writes records, since the checker needs the event's class.
    let (to, recorder) = (harness.addresses[0], harness.recorder.clone());
    let plans = vec![PlannedEvent { work: Some(400_000), ..plan("note", "keyed", 0) }];
    let clients =
        std::thread::spawn(move || Clients::new(vec![to], recorder).expect("clients created").run(plans));
    let worker = wait_running(&harness, "0");
    harness.fleet.inject_fault(worker, Fault::Kill);
    assert_eq!(clients.join().expect("clients did not panic").expect("clients ran").served, 1);
    let (records, breaches) = judge(harness);
    assert_eq!((run_count(&records, "0"), breaches.len(), breaches[0].rule), (2, 1, 2), "{breaches:?}");
}

#[test]
fn an_incomplete_request_is_answered_408_and_other_clients_are_served() {
    let mut config = config();
    (config.client_limits.head_timeout, config.client_limits.body_timeout) = (100_000, 100_000);
    let harness = start_harness(&config, 1);
    let mut stalled = Client::new(harness.addresses[0]);
    let whole = event_request("view", "half", "", "0123456789");
    stalled.send(&whole[..whole.len() - 5]);
    let mut slow_head = Client::new(harness.addresses[0]);
    slow_head.send("POST / HTTP/1.1\r\nHost:");
    assert_eq!(status(harness.addresses[0], "view", "other"), 200);
    for mut client in [stalled, slow_head] {
        assert_eq!(client.answer().map(|a| a.status), Some(408));
        assert!(client.answer().is_none(), "connection is not closed after the answer");
    }
    let (records, _) = judge(harness);
    assert_eq!(run_count(&records, "half"), 0);
}

#[test]
fn two_thousand_idle_connections_do_not_disturb_live_traffic() {
    let harness = start_harness(&config(), 2);
    let to = harness.addresses[0];
    let mut idle: Vec<_> = (0..2_000).map(|_| Client::new(to)).collect();
    let plans = (0..300).map(|id| plan("view", "safe", id)).collect();
    let stats = Clients::new(vec![to], harness.recorder.clone())
        .expect("clients created")
        .run(plans)
        .expect("clients ran");
    assert_eq!(stats.served, 300);
    let last = idle.last_mut().expect("idle connection exists");
    last.send(&event_request("view", "idle", "", "x"));
    assert_eq!(last.answer().map(|a| a.status), Some(200));
    assert_eq!(judge(harness).1, []);
}

#[test]
fn an_answer_over_the_size_limit_fails_only_its_own_call() {
    let harness = start_harness(&config(), 1);
    let to = harness.addresses[0];
    assert_eq!(status(to, "stamp", "before"), 200);
    harness.fleet.inject_fault(0, Fault::TooLong(true));
    assert_eq!(status(to, "stamp", "long"), 500);
    harness.fleet.inject_fault(0, Fault::TooLong(false));
    assert_eq!(status(to, "view", "after"), 200);
    let (records, breaches) = judge(harness);
    assert_eq!((run_count(&records, "long"), breaches), (1, Vec::new()));
}

#[test]
fn a_call_with_a_deadline_of_a_few_milliseconds_gets_one_answer() {
    let harness = start_harness(&config(), 1);
    let to = harness.addresses[0];
    assert_eq!(status(to, "stamp", "warm"), 200);
    let mut client = Client::new(to);
    for ms in 1..=8 {
        client.send(&event_request(
            "stamp",
            &format!("e{ms}"),
            &format!("ce-timeoutms: {ms}\r\nce-workus: 300000\r\n"),
            "x",
        ));
        let answer = client.answer().expect("answer received");
        assert!([503, 504].contains(&answer.status), "{ms} ms: {}", answer.status);
    }
    assert_eq!(judge(harness).1, []);
}

#[test]
fn invalid_requests_are_rejected_without_effect() {
    let harness = start_harness(&config(), 1);
    let to = harness.addresses[0];
    let mut client = Client::new(to);
    let one = r#"{"specversion":"1.0","id":"1","source":"s","type":"t","subject":"view"}"#;
    let json = |kind: &str, body: &str| {
        format!(
            "POST / HTTP/1.1\r\nHost: h\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )
    };
    let batch = "application/cloudevents-batch+json";
    let cases = [
        (event_request("nowhere", "1", "", "x"), 404),
        (event_request("view", "1", "ce-timeoutms: soon\r\n", "x"), 400),
        (event_request("view", "1", "ce-bad_name: 1\r\n", "x"), 400),
        (json("text/plain", "x"), 415),
        (json("application/cloudevents+json", one).replace("POST / ", "GET / "), 405),
        (json(batch, &format!("[{one},{}]", one.replace("view", "nowhere"))), 404),
        (json(batch, &format!("[{one},{}]", one.replace("1.0", "0.3"))), 400),
    ];
    for (request, expected) in cases {
        client.send(&request);
        assert_eq!(client.answer().map(|a| a.status), Some(expected), "{request}");
    }
    client.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n");
    assert_eq!(client.answer().map(|a| a.status), Some(400));
    assert!(client.answer().is_none(), "connection is not closed after the answer");
    let (records, _) = judge(harness);
    assert!(
        !records
            .iter()
            .any(|r| matches!(r.observation, Observation::Accepted { .. } | Observation::Arrived { .. }))
    );
}

#[test]
fn calls_are_served_again_after_the_roster_was_empty() {
    let harness = start_harness(&config(), 2);
    let to = harness.addresses[0];
    assert_eq!(status(to, "view", "before"), 200);
    harness.roster.save_empty().expect("roster saved");
    wait_for_roster_state(&harness, 0, "gone");
    wait_for_roster_state(&harness, 1, "gone");
    let mut client = Client::new(to);
    client.send(&event_request("view", "none", "ce-timeoutms: 150\r\n", "x"));
    assert!(client.answer().is_some_and(|a| [503, 504].contains(&a.status)));
    harness.roster.save().expect("roster saved");
    client.send(&event_request("view", "after", "", "x"));
    assert_eq!(client.answer().map(|a| a.status), Some(200));
    assert_eq!(judge(harness).1, []);
}

#[test]
fn a_worker_restarted_at_the_same_address_is_treated_as_empty() {
    let mut config = config();
    // Warm at once: otherwise the load budget of a cold worker alone would hold calls back, which is not tested here.
    config.controller.rules.warm_within = 1_000;
    let mut harness = start_harness(&config, 1);
    let to = harness.addresses[0];
    assert_eq!(status(to, "view", "before"), 200);
    // A call may reach the restarted worker before the roster lists the restart; it is then answered `miss`.
    harness.fleet.inject_fault(0, Fault::Kill);
    harness.fleet.inject_fault(0, Fault::Restart);
    let started_cold = |r: &basaltward_rules::Record| {
        matches!(r.observation, Observation::WorkerStarted { warm: false, .. })
    };
    assert!(harness.recorder.wait_until(TEST_TIMEOUT, |records| records.iter().any(started_cold)));
    let wall = basaltward_net::Clock::read().wall();
    harness.roster.set_restarted(0, wall).expect("roster saved");
    assert_eq!(status(to, "view", "after"), 200);
    let (records, breaches) = judge(harness);
    let at = records.iter().position(started_cold).expect("cold start recorded");
    let loaded = records[at..]
        .iter()
        .any(|r| matches!(&r.observation, Observation::Ordered { count, .. } if *count > 0));
    assert_eq!((loaded, breaches), (true, Vec::new()));
}

#[test]
fn the_checker_catches_a_gateway_that_forgets_executed_events() {
    // Without a guard: the record of an unsafe event is dropped at once. Validation of a settings file rejects this.
    let mut config = config();
    config.repeats.retention = 0;
    let harness =
        Harness::start(&config, 1, vec![fast_worker()], Recorder::memory()).expect("harness started");
    let to = harness.addresses[0];
    let rules = rule_settings(&harness.config, &harness.roster.entries);
    let repeat = RetryPolicy { max_retries: 1, abandon_after: Some(50_000), ..RetryPolicy::default() };
    let twice = |id| PlannedEvent { work: Some(1_000), ..plan("stamp", "unsafe", id) };
    let again = |id| PlannedEvent { send_at: 300_000, ..twice(id) };
    let plans = vec![PlannedEvent { retry_policy: repeat, ..twice(1) }, again(1), twice(2), again(2)];
    let recorder = harness.recorder.clone();
    Clients::new(vec![to], recorder.clone()).expect("clients created").run(plans).expect("clients ran");
    harness.stop().expect("harness stopped");
    let breaches = basaltward_rules::check(&recorder.take(), &rules);
    assert!(breaches.iter().any(|b| b.rule == 2), "{breaches:?}");
}

#[test]
fn each_way_an_attempt_ends_is_reported_with_its_code() {
    // Each case: name, fault, the code with which the gateway must report the end, and whether the worker ran the call.
    let cases: [(&str, Fault, &str, bool); 7] = [
        ("refused", Fault::Kill, "ConnectFailed", false),
        ("draining", Fault::Drain(true), "Full", false),
        ("reset before the answer", Fault::ResetAt(Some(0)), "Reset", true),
        ("half an answer", Fault::ResetAt(Some(40)), "Reset", true),
        ("garbage", Fault::Garbage(true), "Error", true),
        ("too long", Fault::TooLong(true), "Error", true),
        ("silent", Fault::Silent(true), "Timeout", true),
    ];
    for (name, fault, code, ran) in cases {
        let harness = start_harness(&config(), 1);
        let to = harness.addresses[0];
        assert_eq!(status(to, "stamp", "before"), 200, "{name}");
        harness.fleet.inject_fault(0, fault);
        let mut client = Client::new(to);
        client.send(&event_request("stamp", "e", "ce-timeoutms: 400\r\n", "x"));
        let answer = client.answer().expect("answer received").status;
        let (records, breaches) = judge(harness);
        let codes: Vec<_> = records
            .iter()
            .filter_map(|r| match &r.observation {
                Observation::Ended { code, .. } => Some(code.as_str()),
                _ => None,
            })
            .collect();
        assert_eq!(codes.get(1), Some(&code), "{name}: {codes:?}");
        assert_eq!((run_count(&records, "e") > 0, breaches), (ran, Vec::new()), "{name}");
        // A call may be refused only if it is certain that it did not run.
        assert!(!ran || answer != 503, "{name}: {answer}");
    }
}

#[test]
fn idle_connections_closed_by_workers_cost_a_safe_call_one_attempt_at_most() {
    // The close may cross the next call, which then may have run; the call is sent to another worker.
    let harness = start_harness(&config(), 2);
    let to = harness.addresses[0];
    for worker in 0..2 {
        harness.fleet.inject_fault(worker, Fault::CloseAfter(true));
    }
    for id in 0..40 {
        assert_eq!(status(to, "view", &id.to_string()), 200);
    }
    let (records, breaches) = judge(harness);
    let count_code = |code: &str| {
        let same = |r: &&basaltward_rules::Record| matches!(&r.observation, Observation::Ended { code: c, .. } if c == code);
        records.iter().filter(same).count()
    };
    assert_eq!((count_code("Ok"), count_code("ConnectFailed"), breaches), (40, 0, Vec::new()));
}

#[test]
fn the_gateway_stops_reading_from_a_client_that_does_not_read_answers() {
    let mut config = config();
    (config.client_limits.unsent_bytes, config.client_limits.idle_timeout) = (50_000, 400_000);
    let harness = start_harness(&config, 1);
    let to = harness.addresses[0];
    let payload = "y".repeat(9_000);
    let mut unread = Client::new(to);
    unread.stream.set_nonblocking(true).expect("non-blocking");
    // Pipelines requests until the gateway accepts no more, or far beyond what it may buffer.
    let (mut sent, request) = (0, event_request("view", "big", "", &payload));
    let mut blocked = false;
    while sent < 4_000 && !blocked {
        use std::io::Write;
        match unread.stream.write(request.as_bytes()) {
            Ok(written) if written == request.len() => sent += 1,
            _ => blocked = true,
        }
    }
    assert_eq!(status(to, "view", "other"), 200);
    let (records, _) = judge(harness);
    let accepted = records.iter().filter(|r| matches!(r.observation, Observation::Accepted { .. })).count();
    assert!(blocked && accepted < sent, "accepted {accepted} of {sent}");
}

#[test]
fn idle_connections_are_closed_and_connections_over_the_limit_wait_for_a_free_slot() {
    let mut config = config();
    (config.client_limits.idle_timeout, config.client_limits.connections) = (50_000, 2);
    let harness = start_harness(&config, 1);
    let to = harness.addresses[0];
    let mut clients: Vec<_> = (0..6).map(|_| Client::new(to)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&event_request("view", &id.to_string(), "", "x"));
    }
    // Two connections at a time; each is closed when idle, which lets the next one in.
    for client in &mut clients {
        assert_eq!(client.answer().map(|a| a.status), Some(200));
        assert!(client.answer().is_none(), "connection is not closed when idle");
    }
    assert_eq!(judge(harness).1, []);
}
