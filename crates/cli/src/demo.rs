//! `demo`: a gateway and stand-in workers in one process. Other commands share its functions that wait for a signal.

use crate::args::Demo;
use crate::{CommandError, report};
use basaltward_fakes::{Clients, PlannedEvent, RetryPolicy, WorkerSpec};
use basaltward_net::{Io, IoLimits, Signals, monotonic};
use basaltward_rules::Recorder;
use basaltward_scenario::Harness;
use std::path::Path;
use std::time::Duration;

const CONFIG: &str = include_str!("../../../examples/config/demo.xml");

/// Starts a gateway and stand-in workers, then makes calls or waits for a signal.
pub fn run(options: &Demo) -> Result<(), CommandError> {
    let config = basaltward_config::read(CONFIG, Path::new("demo.xml"))?;
    let specs = vec![WorkerSpec::default(); options.workers.clamp(1, 1_000)];
    let harness = Harness::start(&config, 1, specs, Recorder::none())?;
    let address = harness.addresses[0];
    println!("gateway on http://{address} with {} stand-in workers; try", harness.fleet.addresses().len());
    println!(
        "  curl -i http://{address}/functions/echo -H 'ce-specversion: 1.0' -H 'ce-id: 1' \\\n    \
         -H 'ce-source: /me' -H 'ce-type: demo' -H 'Content-Type: text/plain' -d hello"
    );
    match options.calls {
        Some(calls) => {
            let plans = (0..calls).map(|n| plan(n, options.rate)).collect();
            report::tally(&Clients::new(vec![address], Recorder::none())?.run(plans)?);
        }
        None => wait_for_signal()?,
    }
    harness.stop()?;
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

/// The numbers of SIGINT and SIGTERM.
const SIGNALS: [i32; 2] = [2, 15];

/// Waits for SIGINT or SIGTERM.
pub fn wait_for_signal() -> Result<(), CommandError> {
    wait_for_signal_with_action(None)
}

/// Like [`wait_for_signal`]; runs the action once, after the given time since the call.
pub fn wait_for_signal_with_action(mut planned: Option<(Duration, &dyn Fn())>) -> Result<(), CommandError> {
    let mut io = Io::new(IoLimits::default())?;
    io.watch_signals(Signals::register(&SIGNALS)?)?;
    let (mut events, started_at) = (Vec::new(), monotonic());
    while events.is_empty() {
        let remaining =
            planned.map(|(after, _)| (started_at + after.as_micros() as u64).saturating_sub(monotonic()));
        if let (Some(0), Some((_, action))) = (remaining, planned) {
            action();
            planned = None;
            continue;
        }
        io.turn(remaining, &mut events)?;
    }
    Ok(())
}
