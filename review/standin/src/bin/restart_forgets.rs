//! An unsafe event of a kept class is served; later its owner is killed and started again; a client repeats the event
//! within `remember-ms`.

use review_standin::*;
use std::collections::BTreeMap;
use std::process::exit;
use std::thread;
use std::time::Duration;

const CLASSES: &str = "    <class name=\"certified-extract\" aim-ms=\"2000\" deadline-ms=\"60000\" repeat=\"unsafe\" \
                       pending=\"kept\" holders=\"1\" unheld=\"refuse\"/>\n";
const FUNCTIONS: &str = "    <function name=\"certify\" class=\"certified-extract\" memory-mb=\"400\" lanes=\"2\" load-ms=\"50\"/>\n";
/// `remember-ms` may not be below the deadline of an unsafe class.
const REMEMBER_MS: Ms = 60_000;
const EVENTS: usize = 40;
const PATIENCE_MS: Ms = 3_000;
/// From the last first answer to the kill.
const QUIET_MS: Ms = 36_000;

fn main() {
    let (record, program, calm) = arguments();
    let record = Record::open(&record).expect("the record can be written");
    let folder = Folder::new("restart");
    let addresses = ["lima", "cusco", "arequipa"].map(|site| (site, vec![free_address(), free_address()]));
    let all: Vec<_> = addresses.iter().flat_map(|(_, all)| all.clone()).collect();
    let workers = Workers::start(&record, &all, Duration::from_millis(20), Duration::from_millis(50));
    let further = format!("  <repeats remember-ms=\"{REMEMBER_MS}\"/>\n");
    let spec = SitesSpec {
        gateways: &[("lima", "l0"), ("lima", "l1"), ("cusco", "c0"), ("cusco", "c1"), ("arequipa", "a0")],
        classes: CLASSES,
        functions: FUNCTIONS,
        further: &further,
        attributes: "",
        workers: &addresses,
    };
    let mut gateways = spec.start(&program, &folder);
    if !wait_until_served(&record, &gateways, "certify", 45_000) {
        record.put("kept events were not taken within 45 s");
        drop((gateways, folder));
        exit(2);
    }
    // Events that their client sends to gateway l0, which passes each one to its owner.
    let ids: Vec<String> = (0..EVENTS).map(|_| new_id("deed")).collect();
    for id in &ids {
        let answer = recorded_call(&record, gateways[0].front, "certify", id, PATIENCE_MS);
        if !matches!(answer, Ok((200, _))) {
            record.put("a first call was not served");
            drop((gateways, folder));
            exit(2);
        }
    }
    let last_answer = record.now();
    // The owner of an event is the gateway that its attempt is named after.
    let owned: Vec<String> = workers
        .runs()
        .iter()
        .filter(|run| run.attempt.starts_with("l0/"))
        .filter_map(|run| run.event.strip_prefix("/review#").map(str::to_owned))
        .filter(|id| ids.contains(id))
        .collect();
    record.put(format!("owned by l0: {}", owned.join(" ")));
    record.sleep_until(last_answer + QUIET_MS);
    if !calm {
        record.put("killed: l0");
        gateways[0].process.kill();
        thread::sleep(Duration::from_millis(500));
        gateways[0].process.restart().expect("it starts again");
        record.put("started again: l0");
    }
    // The client repeats each event at gateway l0 until it gets an answer by which it is done: 200, or 500.
    let repeat_until = last_answer + REMEMBER_MS - 10_000;
    let mut open = owned.clone();
    while !open.is_empty() && record.now() < repeat_until {
        let mut pause = Duration::ZERO;
        open.retain(|id| {
            let answer = recorded_call(&record, gateways[0].front, "certify", id, PATIENCE_MS);
            let is_open = !matches!(answer, Ok((200 | 500, _)));
            pause = if is_open { pause.max(pause_after(&answer)) } else { pause };
            is_open
        });
        thread::sleep(pause);
    }
    let mut counts = BTreeMap::<String, usize>::new();
    workers.runs().iter().for_each(|run| *counts.entry(run.event.clone()).or_default() += 1);
    let twice = ids.iter().filter(|id| counts.get(&format!("/review#{id}")).is_some_and(|count| *count > 1));
    let twice: Vec<&String> = twice.collect();
    record.put(format!("events sent {}, repeated {}, run twice {}", ids.len(), owned.len(), twice.len()));
    for id in &twice {
        record.put(format!("run twice: /review#{id}"));
    }
    let code = if !twice.is_empty() {
        1
    } else if owned.is_empty() || !open.is_empty() {
        record.put(format!("without an answer to their repeat: {}", open.len()));
        2
    } else {
        0
    };
    drop((gateways, folder));
    exit(code);
}
