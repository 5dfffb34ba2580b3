//! Events of an unsafe, kept class run at workers when the gateway that owns them is lost with its site. Their clients
//! repeat them at a gateway of another site.

use review_standin::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::process::exit;
use std::thread;
use std::time::Duration;

const CLASSES: &str = "    <class name=\"certified-extract\" aim-ms=\"8000\" deadline-ms=\"60000\" repeat=\"unsafe\" \
                       pending=\"kept\" holders=\"1\" unheld=\"refuse\"/>\n";
const FUNCTIONS: &str = "    <function name=\"certify\" class=\"certified-extract\" memory-mb=\"400\" lanes=\"8\" load-ms=\"50\"/>\n";
/// How long a call runs.
const WORK_MS: Ms = 3_000;
/// How long each client waits for its event in all.
const PATIENCE_MS: Ms = 30_000;
const EVENTS: usize = 36;

/// Sends an event to `first`, and where that does not answer it for good, again to `second` until the time is over.
fn client(record: &Record, first: SocketAddr, second: SocketAddr, id: &str) {
    let until = record.now() + PATIENCE_MS;
    let mut to = first;
    while let left @ 500.. = until.saturating_sub(record.now()) {
        let answer = recorded_call(record, to, "certify", id, left);
        if matches!(answer, Ok((200 | 500, _))) {
            return;
        }
        to = second;
        thread::sleep(pause_after(&answer));
    }
}

fn main() {
    let (record, program, calm) = arguments();
    let record = Record::open(&record).expect("the record can be written");
    let folder = Folder::new("again");
    let addresses = ["lima", "cusco", "arequipa"].map(|site| (site, vec![free_address(), free_address()]));
    let all: Vec<_> = addresses.iter().flat_map(|(_, all)| all.clone()).collect();
    let workers = Workers::start(&record, &all, Duration::from_millis(20), Duration::from_millis(50));
    let spec = SitesSpec {
        gateways: &[("lima", "l0"), ("cusco", "c0"), ("arequipa", "a0")],
        classes: CLASSES,
        functions: FUNCTIONS,
        further: "  <repeats remember-ms=\"60000\"/>\n",
        attributes: "",
        workers: &addresses,
    };
    let mut gateways = spec.start(&program, &folder);
    if !wait_until_served(&record, &gateways, "certify", 60_000) {
        record.put("kept events were not taken within 60 s");
        drop((gateways, folder));
        exit(2);
    }
    workers.set_work(Duration::from_millis(WORK_MS));
    let (first, second) = (gateways[0].front, gateways[1].front);
    let ids: Vec<String> = (0..EVENTS).map(|_| new_id("deed")).collect();
    let clients: Vec<_> = ids
        .iter()
        .map(|id| {
            thread::sleep(Duration::from_millis(20));
            let (record, id) = (record.clone(), id.clone());
            thread::spawn(move || client(&record, first, second, &id))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_000));
    if !calm {
        record.put("killed: l0, the gateway of lima");
        gateways[0].process.kill();
    }
    clients.into_iter().for_each(|client| client.join().expect("a client ends"));
    thread::sleep(Duration::from_millis(1_000));
    let mut runs = BTreeMap::<String, Vec<Run>>::new();
    for run in workers.runs() {
        runs.entry(run.event.clone()).or_default().push(run);
    }
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    record.put(format!("events {EVENTS}, run twice {}", twice.len()));
    for (event, runs) in &twice {
        let all: Vec<_> =
            runs.iter().map(|run| format!("{} ms at {} by {}", run.at, run.worker, run.attempt)).collect();
        record.put(format!("run twice: {event}: {}", all.join(", ")));
    }
    let code = i32::from(!twice.is_empty());
    drop((gateways, folder));
    exit(code);
}
