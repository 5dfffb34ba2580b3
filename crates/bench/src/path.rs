//! Latency and throughput of calls directly to a worker, through the gateway and through a reference proxy, measured in
//! turn in each round.

use crate::{echo, load, proxy, spread};
use basaltward_gateway::Gateway;
use basaltward_rules::Recorder;
use basaltward_scenario::TempDir;
use std::error::Error;
use std::net::SocketAddr;

const CONFIG: &str = r#"<basaltward xmlns="urn:basaltward:config:1">
  <listen address="127.0.0.1:0"/>
  <roster file="roster.xml"/>
  <kinds><kind name="std" memory-mb="8000"/></kinds>
  <classes><class name="echo" aim-ms="500" deadline-ms="2000" repeat="safe"/></classes>
  <functions><function name="echo" class="echo" memory-mb="400" lanes="256" load-ms="20"/></functions>
  <workers connections="256"/>
</basaltward>"#;

/// Starts a gateway with one event loop in front of the echo worker.
///
/// # Errors
/// If the configuration can't be written or the gateway can't be started.
pub fn gateway(folder: &TempDir, worker: SocketAddr) -> Result<Gateway, Box<dyn Error>> {
    let roster = format!(
        "<roster xmlns=\"urn:basaltward:roster:1\"><worker address=\"{worker}\" kind=\"std\"/></roster>"
    );
    std::fs::write(folder.path().join("roster.xml"), roster)?;
    let config = basaltward_config::read(CONFIG, &folder.path().join("bench.xml"))?;
    Ok(Gateway::start(&config, &Recorder::none())?)
}

/// Measures and prints.
///
/// # Errors
/// If a connection fails or an answer is not 200.
pub fn run(rounds: usize, calls: u64, connections: usize) -> Result<(), Box<dyn Error>> {
    let folder = TempDir::new()?;
    let worker = echo::start()?;
    let gateway = gateway(&folder, worker)?;
    let targets = [("straight", worker), ("gateway", gateway.address()), ("proxy", proxy::start(worker)?)];
    let mut first = 1;
    for (_, to) in targets {
        load::run(to, connections, calls.min(5_000), first)?;
        first += calls;
    }
    let (mut single, mut many) = ([const { Vec::new() }; 3], [const { Vec::new() }; 3]);
    for _ in 0..rounds {
        for (index, (name, to)) in targets.iter().enumerate() {
            for (into, conns, calls) in [(&mut single, 1, calls / 4), (&mut many, connections, calls)] {
                let round = load::run(*to, conns, calls.max(1), first)?;
                first += calls + 1;
                if round.errors > 0 {
                    return Err(format!("{name}: {} answers were not 200", round.errors).into());
                }
                into[index].push(round);
            }
        }
    }
    println!("{rounds} rounds, median (minimum to maximum); times in microseconds");
    for (index, (name, _)) in targets.iter().enumerate() {
        let at = |rounds: &[load::Round], q: f64| {
            spread(rounds.iter().map(|r| r.times.value_at_quantile(q) as f64).collect())
        };
        println!("{name}");
        for (rounds, conns) in [(&single[index], 1), (&many[index], connections)] {
            println!(
                "  {conns:3} connections: p50 {}  p99 {}  p99.9 {}  calls/s {}",
                at(rounds, 0.5),
                at(rounds, 0.99),
                at(rounds, 0.999),
                spread(rounds.iter().map(|r| r.rate).collect())
            );
        }
    }
    let rate_ratio = |gateway: &[load::Round], proxy: &[load::Round]| {
        spread(gateway.iter().zip(proxy).map(|(a, b)| a.rate / b.rate).collect())
    };
    let added = |round: &load::Round, direct: &load::Round| round.times.mean() - direct.times.mean();
    let ratios =
        single[1].iter().zip(&single[2]).zip(&single[0]).map(|((g, p), s)| added(g, s) / added(p, s));
    println!("gateway over proxy, {connections} connections: calls/s x {}", rate_ratio(&many[1], &many[2]));
    println!("gateway over proxy, 1 connection: added mean time x {}", spread(ratios.collect()));
    let median = |r: &load::Round| r.times.value_at_quantile(0.5) as f64;
    let ratios = single[1].iter().zip(&single[2]).zip(&single[0]);
    let ratios = ratios.map(|((g, p), s)| (median(g) - median(s)) / (median(p) - median(s)).max(1.0));
    println!("gateway over proxy, 1 connection: added median x {}", spread(ratios.collect()));
    gateway.stop();
    gateway.join()?;
    Ok(())
}
