//! Two sites of a gateway each. Clients send safe events of a class with `owed="true"` while their function is loaded,
//! and leave.

use crate::Verdict;
use crate::http::{Call, Seen};
use crate::sites::{Cluster, Plan, try_at};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;

/// Each event has a function of its own.
const EVENTS: usize = 8;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1],
            workers_per_site: 2,
            threads: 1,
            classes: "<class name=\"notice\" aim-ms=\"10000\" deadline-ms=\"20000\" repeat=\"safe\" \
                      pending=\"kept\" holders=\"1\" owed=\"true\"/>"
                .into(),
            functions: (0..=EVENTS)
                .map(|n| {
                    format!(
                        "<function name=\"f{n}\" class=\"notice\" memory-mb=\"200\" lanes=\"4\" \
                         load-ms=\"3000\"/>"
                    )
                })
                .collect(),
            further: String::new(),
            sites_attributes: "",
            load_ms: 3_000,
            work_ms: 100,
            relays: false,
        },
    )?;
    let warm = format!("f{EVENTS}");
    for gateway in 0..2 {
        if !cluster.warm_up(gateway, &warm, 4, 50_000) {
            return Err(Error::other("kept events are not taken"));
        }
    }
    sleep_ms(2_000);
    let clients: Vec<_> = (0..EVENTS)
        .map(|n| {
            let (record, front) = (record.clone(), cluster.fronts[0]);
            sleep_ms(300);
            std::thread::spawn(move || {
                let event = Call {
                    function: format!("f{n}"),
                    id: format!("e{n}"),
                    timeout_ms: 18_000,
                    extra: String::new(),
                };
                try_at(&record, front, 0, &event, if trouble { 1_000 } else { 19_000 })
            })
        })
        .collect();
    let seen: Vec<_> = clients.into_iter().map(|client| client.join().unwrap_or(Seen::Closed)).collect();
    sleep_ms(if trouble { 21_000 } else { 1_000 });
    let mut lost = 0;
    for (n, seen) in seen.iter().enumerate() {
        // An event that was answered before its client left is none of this case's.
        let left = matches!(seen, Seen::GaveUp);
        let served = matches!(seen, Seen::Status(200, _));
        if (left || served) && cluster.runs.of(&format!("e{n}")).is_empty() {
            record.line(&format!("e{n} was never run"));
            lost += 1;
        }
    }
    Ok(match lost {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} of {EVENTS} owed events were never run")),
    })
}
