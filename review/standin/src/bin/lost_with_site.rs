//! Events of a kept class wait at the gateway that accepted them for a copy of their function; then that site is lost.
//! Their clients repeat them at a gateway of another site.

use review_standin::*;
use std::net::SocketAddr;
use std::process::exit;
use std::thread;
use std::time::Duration;

const CLASSES: &str = "    <class name=\"certified-extract\" aim-ms=\"8000\" deadline-ms=\"60000\" repeat=\"unsafe\" \
                       pending=\"kept\" holders=\"1\" unheld=\"refuse\"/>\n";
/// How long a load takes; the settings say so.
const LOAD_MS: Ms = 3_000;
/// How long each client waits for its event in all.
const PATIENCE_MS: Ms = 25_000;
const EVENTS: usize = 36;

/// Sends an event to `first`, and where that does not answer it for good, again to `second` until the time is over.
/// Returns the statuses of all answers, 0 for a broken connection.
fn client(record: &Record, first: SocketAddr, second: SocketAddr, id: &str) -> Vec<u16> {
    let until = record.now() + PATIENCE_MS;
    let mut statuses = Vec::new();
    let mut to = first;
    while let left @ 500.. = until.saturating_sub(record.now()) {
        let answer = recorded_call(record, to, "register", id, left);
        let pause = pause_after(&answer);
        statuses.push(answer.map_or(0, |(status, _)| status));
        if matches!(statuses.last(), Some(200 | 500)) {
            break;
        }
        to = second;
        thread::sleep(pause);
    }
    statuses
}

fn main() {
    let (record, program, calm) = arguments();
    let record = Record::open(&record).expect("the record can be written");
    let folder = Folder::new("lost");
    let addresses = ["lima", "cusco", "arequipa"].map(|site| (site, vec![free_address(), free_address()]));
    let all: Vec<_> = addresses.iter().flat_map(|(_, all)| all.clone()).collect();
    let workers = Workers::start(&record, &all, Duration::from_millis(20), Duration::from_millis(LOAD_MS));
    let function = |name: &str| {
        format!(
            "    <function name=\"{name}\" class=\"certified-extract\" memory-mb=\"400\" lanes=\"8\" load-ms=\"{LOAD_MS}\"/>\n"
        )
    };
    let spec = SitesSpec {
        gateways: &[("lima", "l0"), ("cusco", "c0"), ("arequipa", "a0")],
        classes: CLASSES,
        functions: &[function("certify"), function("register")].concat(),
        further: "  <repeats remember-ms=\"60000\"/>\n",
        attributes: " shed=\"false\"",
        workers: &addresses,
    };
    let mut gateways = spec.start(&program, &folder);
    if !wait_until_served(&record, &gateways, "certify", 60_000) {
        record.put("kept events were not taken within 60 s");
        drop((gateways, folder));
        exit(2);
    }
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
    let statuses: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client ends")).collect();
    // New events at the gateway that turned the others away.
    let new: Vec<_> = (0..10)
        .map(|_| recorded_call(&record, second, "register", &new_id("new"), 2_000))
        .filter(|answer| matches!(answer, Ok((200, _))))
        .collect();
    let runs = workers.runs();
    let mut lost = 0;
    for (id, statuses) in ids.iter().zip(&statuses) {
        let has_run = runs.iter().any(|run| run.event == format!("/review#{id}"));
        let is_answered = matches!(statuses.last(), Some(200 | 500));
        // In hand at the gateway that was killed: its connection broke, and no answer came before.
        let was_in_hand = calm || statuses.first() == Some(&0);
        if was_in_hand && !has_run && !is_answered {
            lost += 1;
            record.put(format!("never run, never answered for good: /review#{id}, answers {statuses:?}"));
        }
    }
    record.put(format!(
        "events {EVENTS}, lost {lost}; of 10 new ones at the same gateway served {}",
        new.len()
    ));
    drop((gateways, folder));
    exit(i32::from(lost > 0));
}
