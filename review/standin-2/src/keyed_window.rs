//! Two sites of a gateway each. Attempts of keyed kept events lose their answers late in the window of their keys; the
//! gateway that holds the entries stands still for less than a second at that time.

use crate::Verdict;
use crate::http::{Call, Seen};
use crate::sites::{Cluster, Plan, try_at};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;

const EVENTS: usize = 16;
/// The window of `examples/config/demo.xml`.
const WINDOW_MS: u64 = 3_000;
/// Connections break this long after their call came.
const BREAK_MS: u64 = 2_500;
const STALL_MS: u64 = 950;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1],
            workers_per_site: 2,
            threads: 1,
            classes: format!(
                "<class name=\"note\" aim-ms=\"8000\" deadline-ms=\"10000\" repeat=\"keyed\" group=\"all\" \
                 window-ms=\"{WINDOW_MS}\" pending=\"kept\" holders=\"1\" unheld=\"refuse\"/>"
            ),
            functions: "<function name=\"annotate\" class=\"note\" memory-mb=\"200\" lanes=\"64\" \
                        load-ms=\"300\"/>"
                .into(),
            further: String::new(),
            sites_attributes: "",
            load_ms: 300,
            work_ms: 20,
            relays: false,
        },
    )?;
    for gateway in 0..2 {
        if !cluster.warm_up(gateway, "annotate", 8, 50_000) {
            return Err(Error::other("kept events are not taken"));
        }
    }
    cluster.workers.iter().flatten().for_each(|worker| worker.set_break_after_ms(BREAK_MS));
    let began = record.ms();
    let clients: Vec<_> = (0..EVENTS)
        .map(|n| {
            let (record, front) = (record.clone(), cluster.fronts[0]);
            let event = Call {
                function: "annotate".into(),
                id: format!("e{n}"),
                timeout_ms: 9_000,
                extra: String::new(),
            };
            sleep_ms(8);
            std::thread::spawn(move || try_at(&record, front, 0, &event, 9_500))
        })
        .collect();
    sleep_ms((began + BREAK_MS - 150).saturating_sub(record.ms()));
    if trouble {
        cluster.gateways[1].iter().for_each(|gateway| gateway.signal("STOP"));
        sleep_ms(STALL_MS);
        cluster.gateways[1].iter().for_each(|gateway| gateway.signal("CONT"));
    }
    let served =
        clients.into_iter().filter_map(|c| c.join().ok()).filter(|s| matches!(s, Seen::Status(200, _)));
    record.line(&format!("{} of {EVENTS} served", served.count()));
    sleep_ms(1_000);
    let (mut twice, mut at_first) = (0, 0);
    for n in 0..EVENTS {
        let runs = cluster.runs.of(&format!("e{n}"));
        at_first += usize::from(runs.first().is_some_and(|run| run.worker.starts_with("worker-0")));
        if runs.len() > 1 {
            let at: Vec<_> = runs.iter().map(|run| format!("{} at {} ms", run.worker, run.at_ms)).collect();
            record.line(&format!("e{n} took effect {} times: {}", runs.len(), at.join(", ")));
            twice += 1;
        }
    }
    if at_first == 0 {
        return Err(Error::other("no event ran at the first site"));
    }
    Ok(match twice {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} keyed events took effect more than once")),
    })
}
