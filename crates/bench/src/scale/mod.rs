//! Membership at sizes up to thousands, in virtual time: how long a fleet in zones and regions takes to settle after a
//! start and after faults, and the cost for each member.
//!
//! There are two bounds: each wait is bounded by virtual time ("not settled within") and each run by wall time ("not
//! run to its end").

mod fleet;
mod layout;
mod meter;
mod phases;
mod report;
#[cfg(test)]
mod tests;

use basaltward_membership::{MemberId, MembershipSettings, Micros};
use fleet::{Fleet, SECOND_US};
use layout::{Layout, OneWayUs};
use report::{HEADER, SizeReport};
use std::error::Error;
use std::io::Write;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Arguments of the command.
#[derive(clap::Args, Clone)]
pub struct Args {
    /// Numbers of members, one run for each
    #[arg(long, value_delimiter = ',', default_value = "100,200,400,800,1600,1900")]
    sizes: Vec<MemberId>,
    /// Share of datagrams lost
    #[arg(long, default_value_t = 0.05)]
    lost: f64,
    /// Number of seeds of each size
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Append rows to this file, with a header if it is new
    #[arg(long)]
    csv: Option<PathBuf>,
    /// Virtual seconds after which a wait counts as not settled
    #[arg(long, default_value_t = 120)]
    bound_s: u64,
    /// Wall seconds after which one run of one size ends
    #[arg(long, default_value_t = 900)]
    wall_s: u64,
    /// Period of probes in milliseconds, in place of the default
    #[arg(long)]
    period_ms: Option<u64>,
    /// Longest round trip that members expect, in milliseconds; by default the largest that the period allows
    #[arg(long)]
    round_trip_ms: Option<u64>,
    /// One-way time between regions in milliseconds
    #[arg(long, default_value_t = 60)]
    between_regions_ms: u64,
    /// Bytes that a member may send in a second, in place of the default
    #[arg(long)]
    rate: Option<u64>,
    /// Bytes that a member may send at once after a quiet time
    #[arg(long)]
    burst: Option<u64>,
}

impl Args {
    /// The default settings with the changes of the arguments. The period of a probe has to cover three round trips.
    /// If a third of it is below the round trip between regions, probes between regions also go through other members.
    fn settings(&self, size: MemberId, seed: u64) -> MembershipSettings {
        let defaults = MembershipSettings::new(size, 0, 0, seed);
        let period = self.period_ms.map_or(defaults.period, |ms| ms * 1_000);
        MembershipSettings {
            period,
            round_trip: self.round_trip_ms.map_or(period / 3, |ms| ms * 1_000),
            bytes_per_s: self.rate.unwrap_or(defaults.bytes_per_s),
            burst: self.burst.unwrap_or(defaults.burst),
            ..defaults
        }
    }

    fn layout(&self, size: MemberId) -> Layout {
        Layout::new(
            size,
            OneWayUs { zone: 300, region: 1_500, between_regions: self.between_regions_ms * 1_000 },
        )
    }

    /// The command line that measures one size, with the arguments that differ from the defaults.
    fn command(&self, size: MemberId) -> String {
        let mut command = format!("basaltward-bench scale --sizes {size} --seeds {}", self.seeds);
        let changed = [
            ("period-ms", self.period_ms),
            ("round-trip-ms", self.round_trip_ms),
            ("rate", self.rate),
            ("burst", self.burst),
            ("between-regions-ms", (self.between_regions_ms != 60).then_some(self.between_regions_ms)),
            ("bound-s", (self.bound_s != 120).then_some(self.bound_s)),
        ];
        for (name, value) in changed {
            command.extend(value.map(|value| format!(" --{name} {value}")));
        }
        if self.lost != 0.05 {
            command.push_str(&format!(" --lost {}", self.lost));
        }
        command
    }

    fn run_size(&self, size: MemberId) -> Result<SizeReport, Box<dyn Error>> {
        let layout = self.layout(size);
        let mut runs = Vec::new();
        for seed in 1..=self.seeds {
            let (start, settings) = (Instant::now(), self.settings(size, seed));
            let deadline = start + Duration::from_secs(self.wall_s);
            let mut fleet = Fleet::new(settings, layout, self.lost, deadline);
            let bound: Micros = self.bound_s * SECOND_US;
            let mut progress = |what: &str| {
                eprintln!("{size} members, seed {seed}, {:.0} s: {what}", start.elapsed().as_secs_f64());
            };
            runs.push(phases::play(&mut fleet, &layout, bound, &mut progress)?);
            if fleet.is_out_of_time() {
                progress("stopped by the wall time bound; the remaining steps were not run");
            }
        }
        Ok(SizeReport { size, lost: self.lost, runs, command: self.command(size) })
    }
}

/// Measures, prints the table and appends the rows.
///
/// # Errors
/// If the settings are invalid or the CSV file can't be written.
pub fn run(args: &Args) -> Result<(), Box<dyn Error>> {
    let defaults = args.settings(args.sizes.first().copied().unwrap_or(1), 1);
    println!(
        "{:.0}% lost, {} seeds, period {} ms, round trip {} ms, {} B/s and {} B at once; one-way delay {} ms between regions",
        args.lost * 100.0,
        args.seeds,
        defaults.period / 1_000,
        defaults.round_trip / 1_000,
        defaults.bytes_per_s,
        defaults.burst,
        args.between_regions_ms,
    );
    println!(
        "size | start | kill of one | of a rack | of a zone | heal of a region | B/s quiet | B in the worst second | \
         us/s quiet | us/s in storms | bytes of memory"
    );
    for &size in &args.sizes {
        let report = args.run_size(size)?;
        println!("{}", report.line());
        if let Some(path) = &args.csv {
            let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path)?;
            if file.metadata()?.len() == 0 {
                writeln!(file, "{HEADER}")?;
            }
            file.write_all(report.rows().as_bytes())?;
        }
    }
    Ok(())
}
