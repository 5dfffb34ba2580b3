//! Workers that start, drain and go, interruptions of the bulletin that lists them, reloads of the configuration and
//! planned restarts.

use crate::common::*;
use basaltward_fakes::{ExecRequest, FakeBulletin, LineWorker, ThriftReply, WorkerAction};
use basaltward_rules::{Observation, Record, check};
use std::time::Duration;

fn serve(_: usize, exec: &ExecRequest) -> Vec<WorkerAction> {
    exec.serve()
}

/// Waits until the scheduler has learned that a worker has this state.
fn wait_for_state(harness: &Harness, uid: &str, expected: &str) {
    harness
.wait_for(
|what| matches!(what, Observation::WorkerState { worker, state } if worker == uid && state == expected),
);
}

/// What was written to a worker after the scheduler learned of its state.
fn written_after<'a>(records: &'a [Record], uid: &str, expected: &str) -> Vec<&'a Record> {
    let reported = |r: &&Record| matches!(&r.observation, Observation::WorkerState { worker, state } if worker == uid && state == expected);
    let to = |r: &&Record| match &r.observation {
        Observation::Sent { worker, .. } | Observation::Ordered { worker, .. } => worker == uid,
        _ => false,
    };
    records.iter().skip_while(|r| !reported(r)).filter(to).collect()
}

#[test]
fn a_draining_worker_gets_no_new_work_and_its_address_can_be_reused() {
    let mut harness = Harness::new(Limits::default(), 2, serve);
    for number in 0..20 {
        assert!(matches!(harness.call(&call(number, "view")), ThriftReply::Served(_)));
    }
    let at = harness.workers[0].address();
    harness.board.publish(&bulletin_entry("s-0", at, "Terminating"));
    wait_for_state(&harness, "s-0", "leaving");
    // The scheduler closes its connections to the worker; once the worker has closed them too, it has read everything
    // in flight.
    wait_until_closed(at);
    let before = harness.workers[0].received_lines().len();
    for number in 100..140 {
        assert!(matches!(harness.call(&call(number, "extract")), ThriftReply::Served(_)));
    }
    assert_eq!(harness.workers[0].received_lines().len(), before);
    // A worker with another uid takes over the address, and the second worker goes.
    harness.board.publish(&bulletin_entry("s-0", at, "Gone"));
    harness.board.publish(&bulletin_entry("s-9", at, "Ready"));
    harness.board.publish(&bulletin_entry("s-1", harness.workers[1].address(), "Gone"));
    wait_for_state(&harness, "s-1", "gone");
    for number in 200..220 {
        assert!(matches!(harness.call(&call(number, "view")), ThriftReply::Served(_)));
    }
    assert!(harness.workers[0].received_lines().len() > before);
    let records = harness.finish();
    assert_eq!(written_after(&records, "s-0", "leaving"), Vec::<&Record>::new());
    // The stand-in still records under its old uid, so only the scheduler's records tell the two apart.
    assert_eq!(check(&records, &rule_settings()), []);
}

#[test]
fn no_event_is_lost_when_the_bulletin_disconnects_sends_garbage_or_falls_silent() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    let new =
        LineWorker::start("s-7", harness.recorder.clone(), |exec| exec.serve()).expect("worker started");
    harness.board.publish(&bulletin_entry("s-7", new.address(), "Ready"));
    wait_for_state(&harness, "s-7", "active");
    harness.board.disconnect_all();
    harness.board.publish(&bulletin_entry("s-8", new.address(), "Ready"));
    wait_for_state(&harness, "s-8", "active");
    harness.board.send_raw("{\"no\":4,\"roster\":{\"rev\":4,\"targ\n");
    harness.board.publish(&bulletin_entry("s-10", new.address(), "Ready"));
    wait_for_state(&harness, "s-10", "active");
    // Silent while open: the scheduler drops the connection after a bound, and the next one delivers the missed
    // events.
    harness.board.set_silent(true);
    harness.board.publish(&bulletin_entry("s-11", new.address(), "Ready"));
    harness.board.set_silent(false);
    wait_for_state(&harness, "s-11", "active");
    assert!(matches!(harness.call(&call(1, "view")), ThriftReply::Served(_)));
    let queries = harness.board.received_requests();
    assert!(queries.len() >= 3 && queries[0] == "after 1", "{queries:?}");
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn a_reload_switches_bulletins_only_once_the_configuration_file_is_complete() {
    let mut harness = Harness::new(Limits::default(), 1, serve);
    assert!(matches!(harness.call(&call(1, "view")), ThriftReply::Served(_)));
    let next = FakeBulletin::start(2).expect("bulletin started");
    let new =
        LineWorker::start("s-5", harness.recorder.clone(), |exec| exec.serve()).expect("worker started");
    next.publish(&bulletin_entry("s-5", new.address(), "Ready"));
    let whole = config_json(Limits::default(), next.address(), "");
    // The file is half written at the signal and complete a little later; the signal comes twice, as signals may.
    std::fs::write(&harness.config, &whole[..whole.len() / 2]).expect("configuration written");
    harness.control.reload();
    harness.control.reload();
    assert!(matches!(harness.call(&call(2, "view")), ThriftReply::Served(_)));
    std::fs::write(&harness.config, &whole).expect("configuration written");
    wait_for_state(&harness, "s-5", "active");
    assert_eq!(next.received_requests(), ["after 1"]);
    // The worker known before stays, and event numbers continue.
    harness.board.disconnect_all();
    next.publish(&bulletin_entry("s-5", new.address(), "Gone"));
    wait_for_state(&harness, "s-5", "gone");
    assert!(matches!(harness.call(&call(3, "view")), ThriftReply::Served(_)));
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn a_planned_restart_answers_requests_that_arrive_after_the_stop() {
    let script = |_: usize, exec: &ExecRequest| {
        let mut acts = vec![WorkerAction::Wait(Duration::from_millis(50))];
        acts.extend(exec.serve());
        acts
    };
    let mut harness = Harness::new(Limits::default(), 2, script);
    let mut idle = harness.client();
    let first = harness.submit(&mut idle, &call(1, "extract"));
    harness.wait_for(|what| matches!(what, Observation::Sent { .. }));
    harness.control.stop();
    harness.control.reload();
    harness.control.stop();
    harness.wait_for(|what| matches!(what, Observation::Stopping));
    assert!(matches!(harness.read(&mut idle, &[&first]), Some((_, ThriftReply::Served(_)))));
    // On the open connection and on new ones: both keep arriving for some tenths of a second.
    for number in 2..4 {
        let submitted = harness.submit(&mut idle, &call(number, "extract"));
        assert!(matches!(harness.read(&mut idle, &[&submitted]), Some((_, ThriftReply::Served(_)))));
        assert!(matches!(harness.call(&call(100 + number, "view")), ThriftReply::Served(_)));
    }
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn an_idle_connection_is_not_evicted_by_new_clients_during_shutdown() {
    let script = |_: usize, exec: &ExecRequest| {
        let mut acts = vec![WorkerAction::Wait(Duration::from_millis(50))];
        acts.extend(exec.serve());
        acts
    };
    let mut harness = Harness::new(Limits { sockets: 64, ..Limits::default() }, 1, script);
    let mut idle = harness.client();
    idle.heartbeat().and_then(|_| idle.read()).expect("heartbeat answered");
    // By now the connection has been idle for longer than any other, and long enough to be evicted.
    for number in 0..8 {
        assert!(matches!(harness.call(&call(number, "view")), ThriftReply::Served(_)));
    }
    harness.control.stop();
    harness.wait_for(|what| matches!(what, Observation::Stopping));
    let new_clients: Vec<_> = (0..40).map(|_| harness.client()).collect();
    let submitted = harness.submit(&mut idle, &call(100, "extract"));
    assert!(matches!(harness.read(&mut idle, &[&submitted]), Some((_, ThriftReply::Served(_)))));
    drop(new_clients);
    assert_eq!(harness.check_rules(), []);
}
