use crate::args::Demo;
use crate::{Failed, report};
use basaltward_fakes::{Clients, PlannedEvent, RetryPolicy, WorkerSpec};
use basaltward_net::{Io, IoLimits, Signals, monotonic};
use basaltward_rules::Recorder;
use basaltward_scenario::Harness;
use std::path::Path;
use std::time::Duration;

const CONFIG: &str = include_str!("../../../examples/config/demo.xml");

/// Starts a gateway and stand-ins, then makes calls or waits to be interrupted.
pub fn run(options: &Demo) -> Result<(), Failed> {
    let config = basaltward_config::read(CONFIG, Path::new("demo.xml"))?;
    let specs = vec![WorkerSpec::default(); options.workers.clamp(1, 1_000)];
    let bed = Harness::start(&config, 1, specs, Recorder::none())?;
    let address = bed.addresses[0];
    println!("gateway on http://{address} with {} stand-in workers; try", bed.fleet.addresses().len());
    println!(
        "  curl -i http://{address}/functions/echo -H 'ce-specversion: 1.0' -H 'ce-id: 1' \\\n    \
         -H 'ce-source: /me' -H 'ce-type: demo' -H 'Content-Type: text/plain' -d hello"
    );
    match options.calls {
        Some(calls) => {
            let plans = (0..calls).map(|n| plan(n, options.rate)).collect();
            report::tally(&Clients::new(vec![address], Recorder::none())?.run(plans)?);
        }
        None => wait()?,
    }
    bed.stop()?;
    Ok(())
}

fn plan(number: usize, rate: f64) -> PlannedEvent {
    let (function, class) = [("echo", "view"), ("annotate", "note"), ("certify", "extract")][number % 3];
    PlannedEvent {
        send_at: (number as f64 / rate.max(0.1) * 1e6) as u64,
        gateway: 0,
        function: function.into(),
        class: class.into(),
        tenant: String::new(),
        id: number.to_string(),
        timeout: 2_500_000,
        work: None,
        payload: 200,
        retry_policy: RetryPolicy::default(),
    }
}

/// SIGINT and SIGTERM, by number.
const SIGNALS: [i32; 2] = [2, 15];

/// Waits for an interrupt or a termination signal.
pub fn wait() -> Result<(), Failed> {
    wait_and(None)
}

/// As [`wait`]; does something once, so long after it began to wait.
pub fn wait_and(mut planned: Option<(Duration, &dyn Fn())>) -> Result<(), Failed> {
    let mut io = Io::new(IoLimits::default())?;
    io.watch_signals(Signals::register(&SIGNALS)?)?;
    let (mut happened, began) = (Vec::new(), monotonic());
    while happened.is_empty() {
        let left = planned.map(|(after, _)| (began + after.as_micros() as u64).saturating_sub(monotonic()));
        if let (Some(0), Some((_, act))) = (left, planned) {
            act();
            planned = None;
            continue;
        }
        io.turn(left, &mut happened)?;
    }
    Ok(())
}
