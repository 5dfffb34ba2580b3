//! The fleet's view between processes of the program, in the bed: how long until all agree, and what a member
//! costs. The program stands beside this one.

use basaltward_faulttest::{Cluster, ClusterSpec, DatagramFaults};
use std::error::Error;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_secs(60);

/// Processor time of a process so far, in milliseconds, by the system's ticks of ten.
fn spent_ms(pid: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = text.rsplit_once(')').map_or("", |(_, after)| after);
    let ticks =
        |at: usize| after.split_whitespace().nth(at).and_then(|n| n.parse::<f64>().ok()).unwrap_or(0.0);
    (ticks(11) + ticks(12)) * 10.0
}

fn spent(bed: &Cluster) -> f64 {
    bed.schedulers.iter().filter_map(basaltward_faulttest::Process::pid).map(spent_ms).sum()
}

fn spread(mut values: Vec<Option<Duration>>) -> String {
    values.sort_by_key(|v| v.unwrap_or(Duration::MAX));
    let at = |share: f64| values[((values.len() as f64 * share) as usize).min(values.len() - 1)];
    let text = |v: Option<Duration>| v.map_or("-".into(), |v| v.as_millis().to_string());
    format!("{} / {}", text(at(0.5)), text(at(0.99)))
}

/// Measures and prints.
pub fn run(counts: &[usize], lost: f64, rounds: usize) -> Result<(), Box<dyn Error>> {
    let program = std::env::current_exe()?.with_file_name("basaltward");
    println!("{:.0}% lost, {rounds} rounds, no calls; milliseconds until all agree, p50 / p99", lost * 100.0);
    println!(
        "processes | start | death | return | leave | half cut off for 6 s, healed | ms of processor a member a second"
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
        let mut bed = Cluster::start(spec)?;
        let all: Vec<_> = (0..schedulers).collect();
        let half: Vec<_> = (0..schedulers / 2).collect();
        let start = bed.wait_for_agreement(&all, PATIENCE);
        bed.set_all_datagram_faults(DatagramFaults { loss_rate: lost, ..DatagramFaults::default() });
        let (before, from) = (spent(&bed), Instant::now());
        std::thread::sleep(Duration::from_secs(10));
        let cost = (spent(&bed) - before) / from.elapsed().as_secs_f64() / schedulers as f64;
        let (mut death, mut back, mut leave, mut heal) = (Vec::new(), Vec::new(), Vec::new(), Vec::new());
        for round in 0..rounds {
            let victim = round % schedulers;
            bed.kill(victim);
            death.push(bed.wait_for_agreement(&all, PATIENCE));
            bed.start_scheduler(victim)?;
            back.push(bed.wait_for_agreement(&all, PATIENCE));
            bed.stop(victim)?;
            leave.push(bed.wait_for_agreement(&all, PATIENCE));
            bed.start_scheduler(victim)?;
            bed.wait_for_agreement(&all, PATIENCE);
            bed.set_partition(&half, true);
            std::thread::sleep(Duration::from_secs(6));
            bed.set_partition(&half, false);
            heal.push(bed.wait_for_agreement(&all, PATIENCE));
        }
        let told = [death, back, leave, heal].map(spread).join(" | ");
        println!("{schedulers} | {} | {told} | {cost:.1}", spread(vec![start]));
    }
    Ok(())
}
