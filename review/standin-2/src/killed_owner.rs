//! Three sites of a gateway each. Unsafe kept events run at the first site's workers when its gateway is killed; their
//! clients, whose connections ended, send them again at the other two gateways.

use crate::Verdict;
use crate::http::{Call, Seen};
use crate::sites::{Cluster, Plan, try_at};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;

const EVENTS: usize = 24;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let mut cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1, 2],
            workers_per_site: 2,
            threads: 1,
            classes: "<class name=\"extract\" aim-ms=\"5000\" deadline-ms=\"30000\" repeat=\"unsafe\" \
                      pending=\"kept\" holders=\"1\" unheld=\"refuse\"/>"
                .into(),
            functions: "<function name=\"certify\" class=\"extract\" memory-mb=\"200\" lanes=\"16\" \
                        load-ms=\"300\"/>"
                .into(),
            further: "<repeats remember-ms=\"30000\"/>".into(),
            sites_attributes: "",
            load_ms: 300,
            work_ms: 20,
        },
    )?;
    for gateway in 0..3 {
        if !cluster.warm_up(gateway, "certify", 8, 45_000) {
            return Err(Error::other("kept events are not taken"));
        }
    }
    cluster.workers.iter().flatten().for_each(|worker| worker.set_work_ms(3_000));
    // Each client insists: it sends its event again, under the same id, until it is told an end.
    let clients: Vec<_> = (0..EVENTS)
        .map(|n| {
            let (record, fronts) = (record.clone(), cluster.fronts.clone());
            std::thread::spawn(move || {
                let event = Call {
                    function: "certify".into(),
                    id: format!("e{n}"),
                    timeout_ms: 28_000,
                    extra: String::new(),
                };
                let until = record.ms() + 28_000;
                let mut gateway = 0;
                for attempt in 0.. {
                    let left = until.saturating_sub(record.ms());
                    if left < 500 {
                        return false;
                    }
                    match try_at(&record, fronts[gateway], gateway, &event, left) {
                        // Served, or told that it may have run: the client asks no more.
                        Seen::Status(200 | 500, _) => return true,
                        // 502: send it again, at any gateway. 503: again later. No answer: at another gateway.
                        _ => gateway = 1 + (n + attempt) % 2,
                    }
                    sleep_ms(1_000);
                }
                false
            })
        })
        .collect();
    sleep_ms(1_500);
    if trouble {
        cluster.gateways[0].iter().for_each(|gateway| gateway.signal("KILL"));
        cluster.gateways[0] = None;
    }
    clients.into_iter().for_each(|client| _ = client.join());
    // What was begun for the last of them has ended by then.
    sleep_ms(1_000);
    let (mut twice, mut at_first) = (Vec::new(), 0);
    for n in 0..EVENTS {
        let runs = cluster.runs.of(&format!("e{n}"));
        at_first += usize::from(runs.first().is_some_and(|run| run.worker.starts_with("worker-0")));
        if runs.len() > 1 {
            let at: Vec<_> = runs.iter().map(|run| format!("{} at {} ms", run.worker, run.at_ms)).collect();
            record.line(&format!("e{n} ran {} times: {}", runs.len(), at.join(", ")));
            twice.push(n);
        }
    }
    record.line(&format!("{at_first} of {EVENTS} events ran first at the first site"));
    if at_first == 0 {
        return Err(Error::other("no event ran at the first site"));
    }
    Ok(match twice.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} unsafe events ran more than once")),
    })
}
