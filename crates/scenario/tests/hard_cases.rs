//! Hard cases over loopback sockets: each brings about the trouble it is named after.
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
fn an_event_repeated_fifty_times_after_early_leaving_runs_once() {
    for function in FUNCTIONS {
        let bed = bed(&config(), 3);
        let to = bed.addresses[0];
        let request = event(function, "e", "ce-workus: 400000\r\n", "x");
        let mut first = Client::new(to);
        first.send(&request);
        wait_running(&bed, "e");
        drop(first);
        for _ in 0..49 {
            let mut early = Client::new(to);
            early.send(&request);
        }
        let mut last = Client::new(to);
        last.send(&request);
        assert_eq!(last.answer().map(|a| a.status), Some(200), "{function}");
        // The recorded answer, at once and without a worker.
        last.send(&request);
        assert_eq!(last.answer().map(|a| a.status), Some(200), "{function}");
        let (records, breaches) = judge(bed);
        assert_eq!((runs(&records, "e"), breaches), (1, Vec::new()), "{function}");
    }
}

#[test]
fn a_worker_that_drains_in_mid_call_finishes_it_and_gets_nothing_new() {
    let mut bed = bed(&config(), 2);
    let to = bed.addresses[0];
    let mut client = Client::new(to);
    client.send(&event("stamp", "long", "ce-workus: 300000\r\n", "x"));
    let worker = wait_running(&bed, "long");
    bed.fleet.inject_fault(worker, Fault::Drain(true));
    bed.roster.set_state(worker, WorkerState::Leaving).expect("listed");
    wait_told(&bed, worker, "leaving");
    for id in 0..20 {
        assert_eq!(status(to, "stamp", &id.to_string()), 200);
    }
    assert_eq!(client.answer().map(|a| a.status), Some(200));
    let address = bed.fleet.addresses()[worker].to_string();
    let (records, breaches) = judge(bed);
    let told = records
        .iter()
        .position(|r| matches!(&r.observation, Observation::WorkerState { state, .. } if state == "leaving"));
    let after = &records[told.expect("told")..];
    let to_it = |r: &&basaltward_rules::Record| matches!(&r.observation, Observation::Sent { worker, .. } if *worker == address);
    assert_eq!((after.iter().filter(to_it).count(), breaches), (0, Vec::new()));
}

#[test]
fn a_worker_that_dies_before_its_answer() {
    for (function, expected, ran) in [("view", 200, 2), ("note", 200, 1), ("stamp", 500, 1)] {
        let bed = bed(&config(), 2);
        let mut client = Client::new(bed.addresses[0]);
        client.send(&event(function, "e", "ce-workus: 400000\r\n", "x"));
        let worker = wait_running(&bed, "e");
        bed.fleet.inject_fault(worker, Fault::Kill);
        let answer = client.answer().expect("an answer");
        assert_eq!(answer.status, expected, "{function}");
        if expected != 200 {
            // What may have run is not run again for a repeat either.
            let told = String::from_utf8_lossy(&answer.body).into_owned();
            assert!(
                told.contains("\"outcome\":\"failed\"") && told.contains("\"retryable\":false"),
                "{told}"
            );
            assert_eq!(status(bed.addresses[0], function, "e"), 500);
        }
        let (records, breaches) = judge(bed);
        assert_eq!((runs(&records, "e"), breaches), (ran, Vec::new()), "{function}");
    }
}

#[test]
fn workers_that_forget_their_keys_when_killed_are_caught() {
    let forgetful = WorkerSpec { loses_keys_when_killed: true, ..worker() };
    let bed = Harness::start(&config(), 1, vec![forgetful; 2], Recorder::memory()).expect("a bed");
    // As a client that leaves records: the checker must know the event's class.
    let (to, recorder) = (bed.addresses[0], bed.recorder.clone());
    let plans = vec![PlannedEvent { work: Some(400_000), ..plan("note", "keyed", 0) }];
    let clients = std::thread::spawn(move || Clients::new(vec![to], recorder).expect("clients").run(plans));
    let worker = wait_running(&bed, "0");
    bed.fleet.inject_fault(worker, Fault::Kill);
    assert_eq!(clients.join().expect("no panic").expect("run").served, 1);
    let (records, breaches) = judge(bed);
    assert_eq!((runs(&records, "0"), breaches.len(), breaches[0].rule), (2, 1, 2), "{breaches:?}");
}

#[test]
fn half_a_body_ends_with_408_and_disturbs_nobody() {
    let mut config = config();
    (config.client_limits.head_timeout, config.client_limits.body_timeout) = (100_000, 100_000);
    let bed = bed(&config, 1);
    let mut stalled = Client::new(bed.addresses[0]);
    let whole = event("view", "half", "", "0123456789");
    stalled.send(&whole[..whole.len() - 5]);
    let mut slow_head = Client::new(bed.addresses[0]);
    slow_head.send("POST / HTTP/1.1\r\nHost:");
    assert_eq!(status(bed.addresses[0], "view", "other"), 200);
    for mut client in [stalled, slow_head] {
        assert_eq!(client.answer().map(|a| a.status), Some(408));
        assert!(client.answer().is_none(), "closed after it");
    }
    let (records, _) = judge(bed);
    assert_eq!(runs(&records, "half"), 0);
}

#[test]
fn two_thousand_idle_connections_beside_live_traffic() {
    let bed = bed(&config(), 2);
    let to = bed.addresses[0];
    let mut idle: Vec<_> = (0..2_000).map(|_| Client::new(to)).collect();
    let plans = (0..300).map(|id| plan("view", "safe", id)).collect();
    let tally = Clients::new(vec![to], bed.recorder.clone()).expect("clients").run(plans).expect("run");
    assert_eq!(tally.served, 300);
    let last = idle.last_mut().expect("a connection");
    last.send(&event("view", "idle", "", "x"));
    assert_eq!(last.answer().map(|a| a.status), Some(200));
    assert_eq!(judge(bed).1, []);
}

#[test]
fn an_answer_past_the_limit_costs_its_connection_only() {
    let bed = bed(&config(), 1);
    let to = bed.addresses[0];
    assert_eq!(status(to, "stamp", "before"), 200);
    bed.fleet.inject_fault(0, Fault::TooLong(true));
    assert_eq!(status(to, "stamp", "long"), 500);
    bed.fleet.inject_fault(0, Fault::TooLong(false));
    assert_eq!(status(to, "view", "after"), 200);
    let (records, breaches) = judge(bed);
    assert_eq!((runs(&records, "long"), breaches), (1, Vec::new()));
}

#[test]
fn a_deadline_of_a_few_milliseconds_gets_one_answer() {
    let bed = bed(&config(), 1);
    let to = bed.addresses[0];
    assert_eq!(status(to, "stamp", "warm"), 200);
    let mut client = Client::new(to);
    for ms in 1..=8 {
        client.send(&event(
            "stamp",
            &format!("e{ms}"),
            &format!("ce-timeoutms: {ms}\r\nce-workus: 300000\r\n"),
            "x",
        ));
        let answer = client.answer().expect("an answer");
        assert!([503, 504].contains(&answer.status), "{ms} ms: {}", answer.status);
    }
    assert_eq!(judge(bed).1, []);
}

#[test]
fn what_is_not_understood_changes_nothing() {
    let bed = bed(&config(), 1);
    let to = bed.addresses[0];
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
        (event("nowhere", "1", "", "x"), 404),
        (event("view", "1", "ce-timeoutms: soon\r\n", "x"), 400),
        (event("view", "1", "ce-bad_name: 1\r\n", "x"), 400),
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
    assert!(client.answer().is_none(), "closed after it");
    let (records, _) = judge(bed);
    assert!(
        !records
            .iter()
            .any(|r| matches!(r.observation, Observation::Accepted { .. } | Observation::Arrived { .. }))
    );
}

#[test]
fn a_roster_emptied_and_filled_again() {
    let bed = bed(&config(), 2);
    let to = bed.addresses[0];
    assert_eq!(status(to, "view", "before"), 200);
    bed.roster.save_empty().expect("written");
    wait_told(&bed, 0, "gone");
    wait_told(&bed, 1, "gone");
    let mut client = Client::new(to);
    client.send(&event("view", "none", "ce-timeoutms: 150\r\n", "x"));
    assert!(client.answer().is_some_and(|a| [503, 504].contains(&a.status)));
    bed.roster.save().expect("written");
    client.send(&event("view", "after", "", "x"));
    assert_eq!(client.answer().map(|a| a.status), Some(200));
    assert_eq!(judge(bed).1, []);
}

#[test]
fn a_worker_restarted_under_its_address_is_known_to_be_empty() {
    let mut config = config();
    // Warm at once: the cold budget, which alone would hold calls back here, is not what this looks at.
    config.controller.rules.warm_within = 1_000;
    let mut bed = bed(&config, 1);
    let to = bed.addresses[0];
    assert_eq!(status(to, "view", "before"), 200);
    // The call may find the restarted worker before the roster tells of it, and gets the answer miss.
    bed.fleet.inject_fault(0, Fault::Kill);
    bed.fleet.inject_fault(0, Fault::Restart);
    let born = |r: &basaltward_rules::Record| {
        matches!(r.observation, Observation::WorkerStarted { warm: false, .. })
    };
    assert!(bed.recorder.wait_until(LONG, |records| records.iter().any(born)));
    let wall = basaltward_net::Clock::read().wall();
    bed.roster.set_restarted(0, wall).expect("listed");
    assert_eq!(status(to, "view", "after"), 200);
    let (records, breaches) = judge(bed);
    let at = records.iter().position(born).expect("born");
    let loaded = records[at..]
        .iter()
        .any(|r| matches!(&r.observation, Observation::Ordered { count, .. } if *count > 0));
    assert_eq!((loaded, breaches), (true, Vec::new()));
}

#[test]
fn a_gateway_that_forgets_what_ran_is_caught_by_the_checker() {
    // The guard left out: an unsafe event's record is dropped at once, which the settings' check refuses.
    let mut config = config();
    config.repeats.retention = 0;
    let bed = Harness::start(&config, 1, vec![worker()], Recorder::memory()).expect("a bed");
    let to = bed.addresses[0];
    let rules = rule_settings(&bed.config, &bed.roster.entries);
    let repeat = RetryPolicy { max_retries: 1, abandon_after: Some(50_000), ..RetryPolicy::default() };
    let twice = |id| PlannedEvent { work: Some(1_000), ..plan("stamp", "unsafe", id) };
    let again = |id| PlannedEvent { send_at: 300_000, ..twice(id) };
    let plans = vec![PlannedEvent { retry_policy: repeat, ..twice(1) }, again(1), twice(2), again(2)];
    let recorder = bed.recorder.clone();
    Clients::new(vec![to], recorder.clone()).expect("clients").run(plans).expect("run");
    bed.stop().expect("an orderly end");
    let breaches = basaltward_rules::check(&recorder.take(), &rules);
    assert!(breaches.iter().any(|b| b.rule == 2), "{breaches:?}");
}

#[test]
fn what_an_end_proves_is_told_to_the_module_by_its_code() {
    // The fault, the code that the gateway must take it for, and whether the worker saw the call run.
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
        let bed = bed(&config(), 1);
        let to = bed.addresses[0];
        assert_eq!(status(to, "stamp", "before"), 200, "{name}");
        bed.fleet.inject_fault(0, fault);
        let mut client = Client::new(to);
        client.send(&event("stamp", "e", "ce-timeoutms: 400\r\n", "x"));
        let answer = client.answer().expect("an answer").status;
        let (records, breaches) = judge(bed);
        let codes: Vec<_> = records
            .iter()
            .filter_map(|r| match &r.observation {
                Observation::Ended { code, .. } => Some(code.as_str()),
                _ => None,
            })
            .collect();
        assert_eq!(codes.get(1), Some(&code), "{name}: {codes:?}");
        assert_eq!((runs(&records, "e") > 0, breaches), (ran, Vec::new()), "{name}");
        // Only what is proven never to have run may be refused.
        assert!(!ran || answer != 503, "{name}: {answer}");
    }
}

#[test]
fn connections_closed_while_kept_cost_a_safe_call_an_attempt_at_most() {
    // The end may cross the next call, which then may have run: another worker gets it.
    let bed = bed(&config(), 2);
    let to = bed.addresses[0];
    for worker in 0..2 {
        bed.fleet.inject_fault(worker, Fault::CloseAfter(true));
    }
    for id in 0..40 {
        assert_eq!(status(to, "view", &id.to_string()), 200);
    }
    let (records, breaches) = judge(bed);
    let codes = |code: &str| {
        let same = |r: &&basaltward_rules::Record| matches!(&r.observation, Observation::Ended { code: c, .. } if c == code);
        records.iter().filter(same).count()
    };
    assert_eq!((codes("Ok"), codes("ConnectFailed"), breaches), (40, 0, Vec::new()));
}

#[test]
fn a_client_that_does_not_read_is_not_read_from() {
    let mut config = config();
    (config.client_limits.unsent_bytes, config.client_limits.idle_timeout) = (50_000, 400_000);
    let bed = bed(&config, 1);
    let to = bed.addresses[0];
    let payload = "y".repeat(9_000);
    let mut greedy = Client::new(to);
    greedy.stream.set_nonblocking(true).expect("non-blocking");
    // Pipelined until the gateway takes no more, or far beyond what it may hold.
    let (mut sent, request) = (0, event("view", "big", "", &payload));
    let mut refused = false;
    while sent < 4_000 && !refused {
        use std::io::Write;
        match greedy.stream.write(request.as_bytes()) {
            Ok(written) if written == request.len() => sent += 1,
            _ => refused = true,
        }
    }
    assert_eq!(status(to, "view", "other"), 200);
    let (records, _) = judge(bed);
    let taken = records.iter().filter(|r| matches!(r.observation, Observation::Accepted { .. })).count();
    assert!(refused && taken < sent, "took {taken} of {sent}");
}

#[test]
fn idle_connections_end_and_those_past_the_limit_wait_their_turn() {
    let mut config = config();
    (config.client_limits.idle_timeout, config.client_limits.connections) = (50_000, 2);
    let bed = bed(&config, 1);
    let to = bed.addresses[0];
    let mut clients: Vec<_> = (0..6).map(|_| Client::new(to)).collect();
    for (id, client) in clients.iter_mut().enumerate() {
        client.send(&event("view", &id.to_string(), "", "x"));
    }
    // Two at a time; each is ended when idle, which makes room for the next.
    for client in &mut clients {
        assert_eq!(client.answer().map(|a| a.status), Some(200));
        assert!(client.answer().is_none(), "ended when idle");
    }
    assert_eq!(judge(bed).1, []);
}
