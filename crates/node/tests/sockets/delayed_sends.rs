//! Work that waits for a slow connection reaches its worker later than it was decided on. The time windows of the
//! rules must hold as of its arrival.

use crate::common::*;
use basaltward_fakes::{ExecRequest, LineWorker, WorkerAction, answer_line};
use basaltward_net::Micros;
use basaltward_rules::{Observation, Record};
use std::time::{Duration, Instant};

const MS: Micros = 1_000;
/// How long workers remember a key, and the window of the rate limit for load orders.
const WINDOW: Micros = 1_500 * MS;

fn with_keyed_class(text: String) -> String {
    let text = text.replace("\"loadControl\":true", "\"loadControl\":false");
    let class = "\"onTimeUs\":2000000,\"repeat\":\"unsafe\"";
    text.replace(class, "\"onTimeUs\":2000000,\"repeat\":\"keyed\",\"group\":\"all\",\"windowUs\":1500000")
}

/// When each attempt of a request arrived complete at a worker.
fn arrivals(records: &[Record], id: &str) -> Vec<Micros> {
    let arrived = |what: &Observation| matches!(what, Observation::Arrived { event, .. } if event == id);
    records.iter().filter(|record| arrived(&record.observation)).map(|record| record.time).collect()
}

#[test]
fn a_keyed_request_is_not_delivered_again_after_its_key_window() {
    // The first worker reports a possible run late in the window; connections to the second are established a second
    // late.
    let script = |at: usize, exec: &ExecRequest| match at == 0 && exec.id.starts_with('f') {
        true => vec![
            WorkerAction::Run,
            WorkerAction::Wait(Duration::from_millis(1_000)),
            WorkerAction::Write(answer_line(&exec.id, "ERR", "-", b"")),
        ],
        false => exec.serve(),
    };
    let limits = Limits { connect_ms: 2_500, ..Limits::default() };
    let mut harness = Harness::with_config(limits, 1, with_keyed_class, script);
    let mut client = harness.client();
    let timeout = "6000";
    let submit = |client: &mut basaltward_fakes::ThriftClient, id: &str| {
        let one = call(1, "extract");
        let mut fields = fields(&one, timeout).to_vec();
        fields[1].1 = id;
        fields.push(("opkey", "k1"));
        client.submit(&fields, b"x").expect("bytes sent")
    };
    // Until a copy is loaded at the first worker.
    let until = Instant::now() + TEST_TIMEOUT;
    for number in 1.. {
        submit(&mut client, &format!("{number:016x}"));
        if matches!(client.read().expect("reply read"), Some((_, basaltward_fakes::ThriftReply::Served(_)))) {
            break;
        }
        assert!(Instant::now() < until, "no call was served");
    }
    let other = LineWorker::start("s-1", harness.recorder.clone(), move |exec| script(1, exec))
        .expect("worker started");
    other.block_new_connections().expect("accept queue blocked");
    harness.board.publish(&bulletin_entry("s-1", other.address(), "Ready"));
    harness.wait_for(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-1"));
    let id = "f000000000000001";
    submit(&mut client, id);
    harness.wait_for(|what| matches!(what, Observation::Arrived { event, .. } if event == id));
    std::thread::sleep(Duration::from_millis(1_400));
    other.unblock_new_connections();
    client.read().expect("reply read").expect("a reply before the connection closes");
    std::thread::sleep(Duration::from_millis(300));
    let arrived = arrivals(&harness.finish(), id);
    let late: Vec<_> = arrived[1..].iter().filter(|at| **at >= arrived[0] + WINDOW).collect();
    assert!(late.is_empty(), "delivered again {} us after the first arrival", late[0] - arrived[0]);
}

#[test]
fn delayed_load_orders_stay_within_the_rate_limit_on_arrival() {
    const FREE: usize = 2;
    let with_order_limit = |text: String| {
        let family = "\"loadControl\":true";
        text.replace("\"missMode\":\"load\"", "\"missMode\":\"miss\"").replace(
            family,
            "\"loadControl\":true,\"loadPeriodUs\":1500000,\"loadsAnyway\":2,\"loadShare\":0.0",
        )
    };
    let limits = Limits { connect_ms: 1_300, ..Limits::default() };
    let miss =
        |_: usize, exec: &ExecRequest| vec![WorkerAction::Write(answer_line(&exec.id, "MISS", "-", b""))];
    let harness = Harness::with_config(limits, 1, with_order_limit, miss);
    harness.workers[0].block_new_connections().expect("accept queue blocked");
    let mut client = harness.client();
    // Functions without a copy anywhere, one after another: each needs a load order.
    let send_call = |client: &mut basaltward_fakes::ThriftClient, number: u64| {
        let one = Call { function: format!("{number:016x}"), timeout_ms: 3_500, ..call(number, "view") };
        send(client, &one);
    };
    for number in 1..=4 {
        send_call(&mut client, number);
    }
    let began = Instant::now();
    let mut number = 5;
    while began.elapsed() < Duration::from_millis(5_000) {
        if began.elapsed() > Duration::from_millis(500) {
            harness.workers[0].unblock_new_connections();
        }
        if number < 48 {
            send_call(&mut client, number);
            number += 1;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let arrived = harness.workers[0].load_order_times();
    assert!(arrived.len() > FREE, "too few orders to check the limit: {arrived:?}");
    for (last, at) in arrived.iter().enumerate() {
        let within = arrived[..=last].iter().filter(|t| **t + WINDOW > *at).count();
        assert!(within <= FREE, "{within} orders within the window: {arrived:?}");
    }
    harness.control.stop();
}
