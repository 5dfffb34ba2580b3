//! Three sites of a gateway each. The first one is killed and started again; events that another one took meanwhile and
//! served are sent again once the first one takes its events back.

use crate::Verdict;
use crate::http::Call;
use crate::sites::{Cluster, Plan, try_at};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;

const EVENTS: usize = 18;
const REMEMBER_MS: u64 = 25_000;
const WORK_MS: u64 = 18_000;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let mut cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1, 2],
            workers_per_site: 2,
            threads: 1,
            classes: "<class name=\"extract\" aim-ms=\"20000\" deadline-ms=\"25000\" repeat=\"unsafe\" \
                      pending=\"kept\" holders=\"1\" unheld=\"refuse\"/>"
                .into(),
            functions: "<function name=\"certify\" class=\"extract\" memory-mb=\"200\" lanes=\"64\" \
                        load-ms=\"300\"/>"
                .into(),
            further: format!("<repeats remember-ms=\"{REMEMBER_MS}\"/>"),
            sites_attributes: "",
            load_ms: 300,
            work_ms: 20,
            relays: false,
        },
    )?;
    for gateway in 0..3 {
        if !cluster.warm_up(gateway, "certify", 8, 45_000) {
            return Err(Error::other("kept events are not taken"));
        }
    }
    if trouble {
        cluster.gateways[0].iter().for_each(|gateway| gateway.signal("KILL"));
        cluster.gateways[0] = None;
        // Until the others take its events as well: so many in a row are served that some of them were its own.
        sleep_ms(5_000);
        if !cluster.warm_up(1, "certify", 20, record.ms() + 15_000) {
            return Err(Error::other("the lost gateway is not taken over"));
        }
    }
    cluster.workers.iter().flatten().for_each(|worker| worker.set_work_ms(WORK_MS));
    let event = |n: usize| Call {
        function: "certify".into(),
        id: format!("e{n}"),
        timeout_ms: 24_000,
        extra: String::new(),
    };
    let first: Vec<_> = (0..EVENTS)
        .map(|n| {
            let (record, front, event) = (record.clone(), cluster.fronts[1], event(n));
            std::thread::spawn(move || try_at(&record, front, 1, &event, 24_500))
        })
        .collect();
    sleep_ms(300);
    if trouble {
        cluster.start_gateway(0)?;
    }
    first.into_iter().for_each(|client| _ = client.join());
    cluster.workers.iter().flatten().for_each(|worker| worker.set_work_ms(100));
    let served_at = record.ms();
    // The clients send them again, as long as they are remembered.
    while record.ms() < served_at + REMEMBER_MS - 1_000 {
        std::thread::scope(|scope| {
            for n in 0..EVENTS {
                if cluster.runs.of(&format!("e{n}")).is_empty() {
                    continue;
                }
                let (cluster, event) = (&cluster, event(n));
                scope.spawn(move || cluster.try_at(1, &event, 1_500));
            }
        });
        sleep_ms(2_500);
    }
    let mut twice = 0;
    for n in 0..EVENTS {
        let runs = cluster.runs.of(&format!("e{n}"));
        if runs.len() > 1 {
            let at: Vec<_> = runs.iter().map(|run| format!("{} at {} ms", run.worker, run.at_ms)).collect();
            record.line(&format!("e{n} ran {} times: {}", runs.len(), at.join(", ")));
            twice += 1;
        }
    }
    Ok(match twice {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("{count} unsafe events ran more than once")),
    })
}
