//! Membership between processes of the program in the test cluster: the time until all members agree, and the processor
//! time of a member. The program has to be in the same folder as this one.

use basaltward_faulttest::{Cluster, ClusterSpec, DatagramFaults};
use std::error::Error;
use std::time::{Duration, Instant};

/// Members that have not agreed after this time count as not agreed.
const AGREEMENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Processor time that a process has used, in milliseconds, counted in the system's ticks of 10 ms.
fn processor_ms(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = text.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks =
        |at: usize| after.split_whitespace().nth(at).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10.0
}

/// Processor time that all schedulers of the cluster have used, in milliseconds.
fn total_processor_ms(cluster: &Cluster) -> f64 {
    cluster.schedulers.iter().filter_map(basaltward_faulttest::Process::pid).map(processor_ms).sum()
}

/// Median and 99th percentile in milliseconds; `-` for those that did not agree.
fn spread(mut values: Vec<Option<Duration>>) -> String {
    values.sort_by_key(|v| v.unwrap_or(Duration::MAX));
    let at = |share: f64| values[((values.len() as f64 * share) as usize).min(values.len() - 1)];
    let text = |v: Option<Duration>| v.map_or("-".into(), |v| v.as_millis().to_string());
    format!("{} / {}", text(at(0.5)), text(at(0.99)))
}

/// Measures and prints.
///
/// # Errors
/// If a process can't be started or stopped.
pub fn run(counts: &[usize], lost: f64, rounds: usize) -> Result<(), Box<dyn Error>> {
    let program = std::env::current_exe()?.with_file_name("basaltward");
    println!("{:.0}% lost, {rounds} rounds, no calls; milliseconds until all agree, p50 / p99", lost * 100.0);
    println!(
        "processes | start | death | restart | leave | half partitioned for 6 s, healed | processor ms per member per second"
    );
    for &schedulers in counts {
        let (work_ms, pause_ms, seed) = (5, 50, 1);
        let spec = ClusterSpec {
            program: program.clone(),
            schedulers,
            workers: 1,
            work_ms,
            pause_ms,
            seed,
            bounds: None,
        };
        let mut cluster = Cluster::start(spec)?;
        let all: Vec<_> = (0..schedulers).collect();
        let half: Vec<_> = (0..schedulers / 2).collect();
        let start = cluster.wait_for_agreement(&all, AGREEMENT_TIMEOUT);
        cluster.set_all_datagram_faults(DatagramFaults { loss_rate: lost, ..DatagramFaults::default() });
        let (before, from) = (total_processor_ms(&cluster), Instant::now());
        std::thread::sleep(Duration::from_secs(10));
        let cost = (total_processor_ms(&cluster) - before) / from.elapsed().as_secs_f64() / schedulers as f64;
        let (mut death, mut restart, mut leave, mut heal) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for round in 0..rounds {
            let victim = round % schedulers;
            cluster.kill(victim);
            death.push(cluster.wait_for_agreement(&all, AGREEMENT_TIMEOUT));
            cluster.start_scheduler(victim)?;
            restart.push(cluster.wait_for_agreement(&all, AGREEMENT_TIMEOUT));
            cluster.stop(victim)?;
            leave.push(cluster.wait_for_agreement(&all, AGREEMENT_TIMEOUT));
            cluster.start_scheduler(victim)?;
            cluster.wait_for_agreement(&all, AGREEMENT_TIMEOUT);
            cluster.set_partition(&half, true);
            std::thread::sleep(Duration::from_secs(6));
            cluster.set_partition(&half, false);
            heal.push(cluster.wait_for_agreement(&all, AGREEMENT_TIMEOUT));
        }
        let columns = [death, restart, leave, heal].map(spread).join(" | ");
        println!("{schedulers} | {} | {columns} | {cost:.1}", spread(vec![start]));
    }
    Ok(())
}
