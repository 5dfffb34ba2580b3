//! Three sites of a gateway each. Unsafe kept events are served at the first site after their clients gave up early;
//! then its gateway is restarted as planned, and the clients send the events again.

use crate::Verdict;
use crate::http::{Call, Seen};
use crate::sites::{Cluster, Plan};
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
            further: "<repeats remember-ms=\"60000\"/>".into(),
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
    cluster.workers.iter().flatten().for_each(|worker| worker.set_work_ms(600));
    let event = |n: usize| Call {
        function: "certify".into(),
        id: format!("e{n}"),
        timeout_ms: 20_000,
        extra: String::new(),
    };
    std::thread::scope(|scope| {
        for n in 0..EVENTS {
            let (cluster, event) = (&cluster, event(n));
            scope.spawn(move || cluster.try_at(0, &event, 300));
        }
    });
    sleep_ms(2_000);
    let first: Vec<_> = (0..EVENTS).map(|n| cluster.runs.of(&format!("e{n}"))).collect();
    let at_first =
        first.iter().filter(|runs| runs.iter().any(|run| run.worker.starts_with("worker-0"))).count();
    record.line(&format!("{at_first} of {EVENTS} events ran at the first site"));
    if at_first == 0 {
        return Err(Error::other("no event ran at the first site"));
    }
    if trouble {
        let mut gateway = cluster.gateways[0].take().ok_or(Error::other("no gateway"))?;
        gateway.signal("TERM");
        if !gateway.wait(10_000) {
            return Err(Error::other("the gateway did not end"));
        }
        drop(gateway);
        cluster.start_gateway(0)?;
    }
    // Each client sends its event again, under the same id, until it is told an end.
    std::thread::scope(|scope| {
        for n in 0..EVENTS {
            let (cluster, event) = (&cluster, event(n));
            scope.spawn(move || {
                let until = cluster.record.ms() + 25_000;
                while cluster.record.ms() < until {
                    if let Seen::Status(200 | 500, _) = cluster.try_at(0, &event, 5_000) {
                        return;
                    }
                    sleep_ms(500);
                }
            });
        }
    });
    sleep_ms(1_000);
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
