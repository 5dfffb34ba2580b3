//! Two sites of a gateway each. One gateway hands more unsafe kept events to their owner at once than it keeps
//! connections to it; clients send events that run there again.

use crate::Verdict;
use crate::http::{Call, Seen};
use crate::sites::{Cluster, Plan, try_at};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let events = if trouble { 180 } else { 60 };
    let cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1],
            workers_per_site: 2,
            threads: 1,
            classes: "<class name=\"extract\" aim-ms=\"20000\" deadline-ms=\"30000\" repeat=\"unsafe\" \
                      pending=\"kept\" holders=\"1\" unheld=\"refuse\"/>"
                .into(),
            functions: "<function name=\"certify\" class=\"extract\" memory-mb=\"200\" lanes=\"400\" \
                        load-ms=\"300\"/>"
                .into(),
            further: "<repeats remember-ms=\"60000\"/>".into(),
            sites_attributes: "",
            load_ms: 300,
            work_ms: 20,
        },
    )?;
    for gateway in 0..2 {
        if !cluster.warm_up(gateway, "certify", 20, 45_000) {
            return Err(Error::other("kept events are not taken"));
        }
    }
    cluster.workers.iter().flatten().for_each(|worker| worker.set_work_ms(6_000));
    let event = |n: usize| Call {
        function: "certify".into(),
        id: format!("e{n}"),
        timeout_ms: 25_000,
        extra: String::new(),
    };
    let first: Vec<_> = (0..events)
        .map(|n| {
            let (record, front, event) = (record.clone(), cluster.fronts[0], event(n));
            sleep_ms(10);
            std::thread::spawn(move || try_at(&record, front, 0, &event, 26_000))
        })
        .collect();
    sleep_ms(500);
    // Those that run now are sent again while their first clients wait.
    let (mut repeated, mut broken) = (0, 0);
    for n in 0..events {
        let runs = cluster.runs.of(&format!("e{n}"));
        if runs.is_empty() || !runs[0].worker.starts_with("worker-1") || repeated >= 10 {
            continue;
        }
        repeated += 1;
        if let Seen::Status(503, text) = cluster.try_at(0, &event(n), 200) {
            record.line(&format!("e{n}, which runs since {} ms, is refused: {text}", runs[0].at_ms));
            broken += 1;
        }
    }
    let served = first.into_iter().filter_map(|c| c.join().ok()).filter(|s| matches!(s, Seen::Status(200, _)));
    record.line(&format!("{} of {events} served, {repeated} sent again", served.count()));
    if repeated == 0 {
        return Err(Error::other("no event ran at the other site"));
    }
    Ok(match broken {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} unsafe events that ran were refused as not begun")),
    })
}
