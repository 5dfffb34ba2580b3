//! Events that coincide with a planned shutdown, beyond the timetable that `planned_restart` checks. Signals that
//! meet in one turn, and connections not yet accepted, are covered by the program's own tests.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftClient, ThriftReply, WorkerAction};
use basaltward_net::{Micros, monotonic};
use basaltward_rules::Observation;
use std::time::{Duration, Instant};

const MS: Micros = 1_000;
/// How long the scheduler accepts connections after the signal, and how long it waits for its last answers to be
/// read.
const ACCEPT_PERIOD: Micros = 900 * MS;
const READ_PERIOD: Micros = 1_500 * MS;
/// Extra time for a loaded machine.
const LATE: Micros = 500 * MS;

fn sleep_until(at: Micros) {
    std::thread::sleep(Duration::from_micros(at.saturating_sub(monotonic())));
}

/// When the scheduler began to stop, and when it ended.
fn ended(harness: &mut Harness) -> (Micros, Micros) {
    let (mut stopping, mut down) = (Vec::new(), 0);
    harness.finish().iter().for_each(|record| match record.observation {
        Observation::Stopping => stopping.push(record.time),
        Observation::Down { killed: false } => down = record.time,
        _ => {}
    });
    assert_eq!(stopping.len(), 1, "a second stop request must have no effect");
    (stopping[0], down)
}

#[test]
fn partially_written_answers_reach_a_slow_reader_complete() {
    let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
    let mut client = harness.client();
    let submitted = fill_output(&mut harness, &mut client);
    let term = monotonic();
    harness.control.stop();
    // The client reads again after the scheduler has closed all idle connections, and before it ends.
    sleep_until(term + ACCEPT_PERIOD + 400 * MS);
    let mut read = 0;
    while let Some((_, reply)) = client.read().expect("complete answers and a clean close") {
        assert!(matches!(reply, ThriftReply::Served(_) | ThriftReply::Rejected(_)), "{reply:?}");
        read += 1;
    }
    let (stopping, down) = ended(&mut harness);
    assert_eq!(read, submitted);
    assert!(down - stopping < ACCEPT_PERIOD + READ_PERIOD + LATE, "{}", down - stopping);
}

#[test]
fn a_client_that_never_reads_does_not_delay_shutdown_past_its_bound() {
    let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
    let mut client = harness.client();
    fill_output(&mut harness, &mut client);
    harness.control.stop();
    let (stopping, down) = ended(&mut harness);
    // The scheduler waits for its answers to be read, up to the bound and no longer.
    let elapsed = down - stopping;
    assert!(
        (ACCEPT_PERIOD + READ_PERIOD - 100 * MS..ACCEPT_PERIOD + READ_PERIOD + LATE).contains(&elapsed),
        "{elapsed}"
    );
}

#[test]
fn a_second_signal_and_an_invalid_configuration_do_not_affect_shutdown() {
    let slow = |_: usize, exec: &ExecRequest| {
        let mut acts = vec![WorkerAction::Wait(Duration::from_millis(20))];
        acts.extend(exec.serve());
        acts
    };
    let mut harness = Harness::new(Limits::default(), 1, slow);
    let (mut first, mut second) = (harness.client(), harness.client());
    let one = call(1, "extract");
    let submitted = harness.submit(&mut first, &one);
    std::fs::write(&harness.config, "{").expect("configuration written");
    let term = monotonic();
    harness.control.reload();
    harness.control.stop();
    assert!(matches!(harness.read(&mut first, &[&submitted]), Some((_, ThriftReply::Served(_)))));
    sleep_until(term + 500 * MS);
    harness.control.stop();
    harness.control.reload();
    let one = call(2, "extract");
    let submitted = harness.submit(&mut second, &one);
    // A rejection counts as an answer.
    assert!(harness.read(&mut second, &[&submitted]).is_some());
    let (stopping, down) = ended(&mut harness);
    let elapsed = down - stopping;
    assert!((ACCEPT_PERIOD..ACCEPT_PERIOD + 300 * MS + LATE).contains(&elapsed), "{elapsed}");
}

/// The earliest SIGKILL after SIGTERM, where the longest deadline is 3 s or more.
const KILL: Duration = Duration::from_millis(3_700);

#[test]
fn clients_that_keep_connecting_do_not_delay_shutdown() {
    let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
    wait_until_served(&mut harness);
    let (to, began) = (harness.address, Instant::now());
    let keep_connecting = move |number: u64| {
        for next in 0.. {
            let submitted = ThriftClient::connect(to, TEST_TIMEOUT).and_then(|mut client| {
                send(&mut client, &call(number << 32 | next, "view"));
                client.read()
            });
            if submitted.is_err() || began.elapsed() > TEST_TIMEOUT {
                return;
            }
        }
    };
    let clients: Vec<_> = (1..=4).map(|number| std::thread::spawn(move || keep_connecting(number))).collect();
    let stopped = Instant::now();
    harness.finish();
    let elapsed = stopped.elapsed();
    assert!(elapsed < KILL + Duration::from_millis(500), "the scheduler ended after {elapsed:?}");
    clients.into_iter().for_each(|client| client.join().expect("client thread ended"));
}
