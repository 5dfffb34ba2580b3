//! Three sites of a gateway each. Safe events of a class with `pending="kept"` and `owed="true"` wait at the first site
//! for loads when its gateway is killed. Their clients do not come back.

use crate::Verdict;
use crate::http::{Call, Seen};
use crate::sites::{Cluster, Plan, try_at};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;

/// Each event has a function of its own.
const EVENTS: usize = 6;
/// The class's deadline, which is also what the events ask for.
const DEADLINE_MS: u64 = 25_000;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let mut cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1, 2],
            workers_per_site: 2,
            threads: 1,
            classes: format!(
                "<class name=\"notice\" aim-ms=\"15000\" deadline-ms=\"{DEADLINE_MS}\" repeat=\"safe\" \
                 pending=\"kept\" holders=\"1\" owed=\"true\"/>"
            ),
            functions: (0..=EVENTS)
                .map(|n| {
                    format!(
                        "<function name=\"f{n}\" class=\"notice\" memory-mb=\"200\" lanes=\"4\" \
                         load-ms=\"1000\"/>"
                    )
                })
                .collect(),
            further: String::new(),
            sites_attributes: " hand-over=\"false\"",
            load_ms: 1_000,
            work_ms: 50,
        },
    )?;
    // All functions stand at the other two sites.
    for gateway in 0..3 {
        for n in (0..=EVENTS).rev().filter(|n| gateway > 0 || *n == EVENTS) {
            if !cluster.warm_up(gateway, &format!("f{n}"), 1, 50_000) {
                return Err(Error::other("kept events are not taken"));
            }
        }
    }
    sleep_ms(4_000);
    cluster.workers[0].iter().for_each(|worker| worker.set_load_ms(7_000));
    let clients: Vec<_> = (0..EVENTS)
        .map(|n| {
            let (record, front) = (record.clone(), cluster.fronts[0]);
            let event = Call {
                function: format!("f{n}"),
                id: format!("e{n}"),
                timeout_ms: DEADLINE_MS,
                extra: String::new(),
            };
            sleep_ms(300);
            std::thread::spawn(move || try_at(&record, front, 0, &event, DEADLINE_MS + 1_000))
        })
        .collect();
    sleep_ms(1_000);
    if trouble {
        cluster.gateways[0].iter().for_each(|gateway| gateway.signal("KILL"));
        cluster.gateways[0] = None;
    }
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().unwrap_or(Seen::GaveUp)).collect();
    if trouble {
        sleep_ms(DEADLINE_MS + 3_000);
    }
    let (mut taken, mut lost) = (0, 0);
    for (n, seen) in seen.iter().enumerate() {
        // The gateway had it when it was killed, or served it. What it refused or failed is none of this case's.
        if !matches!(seen, Seen::Closed | Seen::Status(200, _)) {
            continue;
        }
        taken += 1;
        if cluster.runs.of(&format!("e{n}")).is_empty() {
            record.line(&format!("e{n} was taken, and never run anywhere"));
            lost += 1;
        }
    }
    if taken == 0 {
        return Err(Error::other("no event was taken"));
    }
    Ok(match lost {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} of {taken} kept and owed events were never run")),
    })
}
