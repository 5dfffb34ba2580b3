//! The printed table and the CSV rows that the capacity page reads.

use super::fleet::Settled;
use super::phases::Measured;
use basaltward_membership::MemberId;
use std::fmt::Write;

/// The header line of the CSV file.
pub const HEADER: &str = "series,size,value,unit,lost,seeds,command";
/// Written in place of a time that was not reached within the bound of virtual time.
const UNSETTLED: &str = "unsettled";

/// The runs of one size, one for each seed.
pub struct SizeReport {
    /// Number of members.
    pub size: MemberId,
    /// Share of datagrams lost, 0 to 1.
    pub lost: f64,
    /// Measurements, by seed.
    pub runs: Vec<Measured>,
    /// The command line that measures this size.
    pub command: String,
}

/// An outcome as text of the table.
pub fn settled_text(settled: Option<Settled>) -> String {
    match settled {
        Some(Settled::After(us)) => format!("{} ms", us / 1_000),
        Some(Settled::NotWithin(us)) => format!("not settled within {} s", us / 1_000_000),
        Some(Settled::OutOfTime) | None => "not run to its end".into(),
    }
}

/// The upper median, where an outcome that did not settle is later than all that did. `None` if a run has no value.
fn median_settled(values: Vec<Option<Settled>>) -> Option<Settled> {
    let mut values = values.into_iter().collect::<Option<Vec<_>>>()?;
    values.sort_by_key(|value| match value {
        Settled::After(us) => *us,
        Settled::NotWithin(_) | Settled::OutOfTime => u64::MAX,
    });
    values.get(values.len() / 2).copied()
}

fn median(values: Vec<Option<f64>>) -> Option<f64> {
    let mut values = values.into_iter().collect::<Option<Vec<_>>>()?;
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

impl SizeReport {
    fn times(&self) -> [(&'static str, Option<Settled>); 5] {
        let median_of =
            |pick: fn(&Measured) -> Option<Settled>| median_settled(self.runs.iter().map(pick).collect());
        [
            ("settle_start_ms", median_of(|run| run.start)),
            ("settle_kill_one_ms", median_of(|run| run.kill_one)),
            ("settle_kill_rack_ms", median_of(|run| run.kill_rack)),
            ("settle_kill_zone_ms", median_of(|run| run.kill_zone)),
            ("settle_heal_region_ms", median_of(|run| run.heal_region)),
        ]
    }

    fn costs(&self) -> [(&'static str, Option<f64>, &'static str); 5] {
        let median_of = |pick: fn(&Measured) -> Option<f64>| median(self.runs.iter().map(pick).collect());
        let worst = self.runs.iter().map(|run| run.bytes_storm_worst).collect::<Option<Vec<_>>>();
        let worst = worst.and_then(|all| all.into_iter().max()).map(|bytes| bytes as f64);
        [
            ("bytes_per_s_quiet", median_of(|run| run.bytes_quiet), "B/s"),
            ("bytes_per_s_storm_worst", worst, "B/s"),
            ("cpu_us_per_s_quiet", median_of(|run| run.processor_quiet), "us/s"),
            ("cpu_us_per_s_storm", median_of(|run| run.processor_storm), "us/s"),
            ("memory_bytes_member", median_of(|run| run.memory), "B"),
        ]
    }

    /// The CSV rows of this size, without values that a run did not reach within its wall time.
    pub fn rows(&self) -> String {
        let mut rows = String::new();
        let mut row = |series: &str, value: &str, unit: &str| {
            let Self { size, lost, runs, command } = self;
            // Writing into a string does not fail.
            let _ = writeln!(rows, "{series},{size},{value},{unit},{lost},{},{command}", runs.len());
        };
        for (series, settled) in self.times() {
            match settled {
                Some(Settled::After(us)) => row(series, &(us / 1_000).to_string(), "ms"),
                Some(Settled::NotWithin(_)) => row(series, UNSETTLED, "ms"),
                Some(Settled::OutOfTime) | None => {}
            }
        }
        for (series, value, unit) in self.costs() {
            value.into_iter().for_each(|value| row(series, &format!("{value:.0}"), unit));
        }
        rows
    }

    /// The line of the printed table.
    pub fn line(&self) -> String {
        let times = self.times().map(|(_, settled)| settled_text(settled));
        let costs = self.costs().map(|(_, value, _)| value.map_or("-".into(), |value| format!("{value:.0}")));
        format!("{} | {} | {}", self.size, times.join(" | "), costs.join(" | "))
    }
}
