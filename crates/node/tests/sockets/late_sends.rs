//! What waits for a connection that comes up late comes to its worker later than it was decided on: the windows of the
//! rules are counted as it comes whole.

use crate::common::*;
use basaltward_net::Micros;
use basaltward_rules::{Observation, Record};
use basaltward_standins::{Act, Exec, LineWorker, answer};
use std::time::{Duration, Instant};

const MS: Micros = 1_000;
/// How long workers know a key, and the window of the ration of orders.
const WINDOW: Micros = 1_500 * MS;

fn keyed(text: String) -> String {
    let text = text.replace("\"loadControl\":true", "\"loadControl\":false");
    let class = "\"onTimeUs\":2000000,\"repeat\":\"unsafe\"";
    text.replace(class, "\"onTimeUs\":2000000,\"repeat\":\"keyed\",\"group\":\"all\",\"windowUs\":1500000")
}

/// When each attempt of a request came whole to a worker.
fn arrivals(records: &[Record], id: &str) -> Vec<Micros> {
    let of = |what: &Observation| matches!(what, Observation::Arrived { event, .. } if event == id);
    records.iter().filter(|record| of(&record.observation)).map(|record| record.time).collect()
}

#[test]
fn a_keyed_request_comes_no_second_time_once_its_key_is_forgotten() {
    // The first worker answers that it may have run, late in the window; the second's connections come up a second late.
    let script = |at: usize, exec: &Exec| match at == 0 && exec.id.starts_with('f') {
        true => vec![
            Act::Run,
            Act::Wait(Duration::from_millis(1_000)),
            Act::Write(answer(&exec.id, "ERR", "-", b"")),
        ],
        false => exec.serve(),
    };
    let limits = Limits { connect_ms: 2_500, ..Limits::default() };
    let mut bed = Bed::configured(limits, 1, keyed, script);
    let mut client = bed.client();
    let timeout = "6000";
    let submit = |client: &mut basaltward_standins::FrontClient, id: &str| {
        let one = call(1, "extract");
        let mut fields = fields(&one, timeout).to_vec();
        fields[1].1 = id;
        fields.push(("opkey", "k1"));
        client.submit(&fields, b"x").expect("sent")
    };
    // A copy stands at the first.
    let until = Instant::now() + PATIENCE;
    for number in 1.. {
        submit(&mut client, &format!("{number:016x}"));
        if matches!(client.read().expect("a reply"), Some((_, basaltward_standins::FrontReply::Served(_)))) {
            break;
        }
        assert!(Instant::now() < until, "never served");
    }
    let other =
        LineWorker::start("s-1", bed.recorder.clone(), move |exec| script(1, exec)).expect("a worker");
    other.plug().expect("plugged");
    bed.board.tell(&target("s-1", other.address(), "Ready"));
    bed.wait(|what| matches!(what, Observation::WorkerState { worker, .. } if worker == "s-1"));
    let id = "f000000000000001";
    submit(&mut client, id);
    bed.wait(|what| matches!(what, Observation::Arrived { event, .. } if event == id));
    std::thread::sleep(Duration::from_millis(1_400));
    other.unplug();
    client.read().expect("a reply").expect("an answer");
    std::thread::sleep(Duration::from_millis(300));
    let came = arrivals(&bed.finish(), id);
    let late: Vec<_> = came[1..].iter().filter(|at| **at >= came[0] + WINDOW).collect();
    assert!(late.is_empty(), "it came again {} us after the first", late[0] - came[0]);
}

#[test]
fn orders_that_come_late_are_within_the_ration_as_they_come() {
    const FREE: usize = 2;
    let ration = |text: String| {
        let family = "\"loadControl\":true";
        text.replace("\"missMode\":\"load\"", "\"missMode\":\"miss\"").replace(
            family,
            "\"loadControl\":true,\"loadPeriodUs\":1500000,\"loadsAnyway\":2,\"loadShare\":0.0",
        )
    };
    let limits = Limits { connect_ms: 1_300, ..Limits::default() };
    let miss = |_: usize, exec: &Exec| vec![Act::Write(answer(&exec.id, "MISS", "-", b""))];
    let bed = Bed::configured(limits, 1, ration, miss);
    bed.workers[0].plug().expect("plugged");
    let mut client = bed.client();
    // Functions that nobody holds, one after another: each wants an order.
    let ask = |client: &mut basaltward_standins::FrontClient, number: u64| {
        let one = Call { function: format!("{number:016x}"), timeout_ms: 3_500, ..call(number, "view") };
        send(client, &one);
    };
    for number in 1..=4 {
        ask(&mut client, number);
    }
    let began = Instant::now();
    let mut number = 5;
    while began.elapsed() < Duration::from_millis(5_000) {
        if began.elapsed() > Duration::from_millis(500) {
            bed.workers[0].unplug();
        }
        if number < 48 {
            ask(&mut client, number);
            number += 1;
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    let when = bed.workers[0].ordered();
    assert!(when.len() > FREE, "few orders: {when:?}");
    for (last, at) in when.iter().enumerate() {
        let within = when[..=last].iter().filter(|t| **t + WINDOW > *at).count();
        assert!(within <= FREE, "{within} orders within the window: {when:?}");
    }
    bed.control.stop();
}
