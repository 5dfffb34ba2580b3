use crate::args::Demo;
use crate::embed::{self, Folder};
use crate::Failed;
use basaltward_net::{Io, IoLimits, Signals};
use basaltward_rules::Recorder;
use basaltward_standins::{Clients, Plan, Retries, Tally, WorkerSpec};

const CONFIG: &str = include_str!("../../../examples/config/demo.xml");

/// Starts a gateway and stand-ins, then makes calls or waits to be interrupted.
pub fn run(options: &Demo) -> Result<(), Failed> {
    let folder = Folder::new("demo")?;
    let config = basaltward_config::read(CONFIG, &folder.path().join("demo.xml"))?;
    let recorder = Recorder::none();
    let specs = vec![WorkerSpec::default(); options.workers.max(1)];
    let (fleet, _roster) = embed::fleet(specs, &config, &recorder)?;
    let gateway = embed::gateway(&config, &recorder)?;
    let address = gateway.address();
    println!("gateway on http://{address} with {} stand-in workers; try", fleet.addresses().len());
    println!(
        "  curl -i http://{address}/functions/echo -H 'ce-specversion: 1.0' -H 'ce-id: 1' \\\n    \
         -H 'ce-source: /me' -H 'ce-type: demo' -H 'Content-Type: text/plain' -d hello"
    );
    match options.calls {
        Some(calls) => {
            let plans = (0..calls).map(|n| plan(n, options.rate)).collect();
            let tally = Clients::new(vec![address], recorder)?.run(plans, |_| None)?;
            print(&tally);
        }
        None => wait()?,
    }
    gateway.stop();
    gateway.join()?;
    fleet.stop()?;
    Ok(())
}

fn plan(number: usize, rate: f64) -> Plan {
    let (function, class) = [("echo", "view"), ("annotate", "note"), ("certify", "extract")][number % 3];
    Plan {
        at: (number as f64 / rate.max(0.1) * 1e6) as u64,
        gateway: 0,
        function: function.into(),
        class: class.into(),
        tenant: String::new(),
        id: number.to_string(),
        patience: 2_500_000,
        work: None,
        payload: 200,
        retries: Retries::default(),
    }
}

/// Prints what a run came to.
pub fn print(tally: &Tally) {
    let mut times = tally.latencies.clone();
    times.sort_unstable();
    let at = |q: f64| times.get(((times.len() as f64 * q) as usize).min(times.len().saturating_sub(1)));
    let ms = |q: f64| at(q).map_or("-".into(), |t| format!("{:.1}", *t as f64 / 1e3));
    println!(
        "{} events: {} served, {} refused, {} failed, {} unanswered; {} tries",
        tally.events, tally.served, tally.refused, tally.failed, tally.unanswered, tally.tries
    );
    println!("served after: median {} ms, 99% {} ms, longest {} ms", ms(0.5), ms(0.99), ms(1.0));
}

/// Waits for an interrupt or a termination signal.
pub fn wait() -> Result<(), Failed> {
    let mut io = Io::new(IoLimits::default())?;
    io.watch_signals(Signals::take(&[signal::INT, signal::TERM])?)?;
    let mut happened = Vec::new();
    while happened.is_empty() {
        io.turn(None, &mut happened)?;
    }
    Ok(())
}

/// Numbers of the signals, the same on every Linux.
mod signal {
    pub const INT: i32 = 2;
    pub const TERM: i32 = 15;
}
