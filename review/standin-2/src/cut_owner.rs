//! Three sites of a gateway each. The first one is cut off from the other two, which take its events over. Unsafe kept
//! events run at them; their clients, who gave up early, send them again at the first one.

use crate::Verdict;
use crate::http::{Call, Seen};
use crate::sites::{Cluster, Plan};
use crate::util::{Record, sleep_ms};
use std::io::Error;
use std::path::Path;
use std::sync::atomic::Ordering;

const EVENTS: usize = 60;

pub fn run(record: &Record, program: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let class = |name: &str, unheld: &str| {
        format!(
            "<class name=\"{name}\" aim-ms=\"5000\" deadline-ms=\"20000\" repeat=\"unsafe\" pending=\"kept\" \
             holders=\"1\" unheld=\"{unheld}\"/>"
        )
    };
    let function = |name: &str, class: &str| {
        format!(
            "<function name=\"{name}\" class=\"{class}\" memory-mb=\"200\" lanes=\"32\" load-ms=\"300\"/>"
        )
    };
    let cluster = Cluster::start(
        record,
        Plan {
            program: program.into(),
            sites: vec![0, 1, 2],
            workers_per_site: 2,
            threads: 1,
            classes: class("extract", "refuse") + &class("stamp", "go-on"),
            functions: function("certify", "extract") + &function("mark", "stamp"),
            further: "<repeats remember-ms=\"30000\"/>".into(),
            sites_attributes: " shed=\"false\"",
            load_ms: 300,
            work_ms: 20,
            relays: true,
        },
    )?;
    for gateway in 0..3 {
        for function in ["certify", "mark"] {
            if !cluster.warm_up(gateway, function, 8, 50_000) {
                return Err(Error::other("kept events are not taken"));
            }
        }
    }
    if trouble {
        record.line("the first site is cut off");
        cluster.cut.store(true, Ordering::SeqCst);
        sleep_ms(6_500);
    }
    cluster.workers.iter().flatten().for_each(|worker| worker.set_work_ms(600));
    let event = |n: usize| Call {
        function: if n % 2 == 0 { "certify" } else { "mark" }.into(),
        id: format!("e{n}"),
        timeout_ms: 10_000,
        extra: String::new(),
    };
    std::thread::scope(|scope| {
        for n in 0..EVENTS {
            let (cluster, event) = (&cluster, event(n));
            sleep_ms(25);
            scope.spawn(move || cluster.try_at(1 + n / 2 % 2, &event, 300));
        }
    });
    sleep_ms(1_000);
    let ran: Vec<_> = (0..EVENTS).filter(|n| !cluster.runs.of(&format!("e{n}")).is_empty()).collect();
    let mut refused = Vec::new();
    std::thread::scope(|scope| {
        let tries: Vec<_> = ran
            .iter()
            .map(|n| {
                let (cluster, event) = (&cluster, event(*n));
                scope.spawn(move || (*n, cluster.try_at(0, &event, 6_000)))
            })
            .collect();
        for seen in tries.into_iter().filter_map(|t| t.join().ok()) {
            if matches!(seen.1, Seen::Status(503, _)) {
                refused.push(seen.0);
            }
        }
    });
    cluster.cut.store(false, Ordering::SeqCst);
    sleep_ms(2_000);
    let mut twice = 0;
    for n in &ran {
        let runs = cluster.runs.of(&format!("e{n}"));
        let at: Vec<_> = runs.iter().map(|run| format!("{} at {} ms", run.worker, run.at_ms)).collect();
        if runs.len() > 1 {
            record.line(&format!(
                "e{n} ({}) ran {} times: {}",
                event(*n).function,
                runs.len(),
                at.join(", ")
            ));
            twice += 1;
        } else if refused.contains(n) {
            record.line(&format!(
                "e{n} ({}) was refused, and had run: {}",
                event(*n).function,
                at.join(", ")
            ));
        }
    }
    record.line(&format!("{} of {EVENTS} events ran before they were sent again", ran.len()));
    if ran.len() < EVENTS / 4 {
        return Err(Error::other("too few events ran"));
    }
    Ok(match (refused.len(), twice) {
        (0, 0) => Verdict::Held,
        (refused, twice) => Verdict::Broken(format!(
            "{refused} unsafe events that had run were refused as not begun, {twice} ran twice"
        )),
    })
}
