//! Bytes sent and time taken by site routing as the numbers of sites and gateways grow: the state machines alone, with
//! counts of 200 functions.

use crate::plot::{Curve, Plot};
use basaltward_membership::{MemberId, Micros, Site, SiteMap};
use basaltward_site_routing::{FunctionCounts, FunctionSpec, LoopCounts, RoutingController, RoutingSettings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::error::Error;
use std::path::Path;
use std::time::Instant;
use svg::Document;

const FUNCTIONS: u32 = 200;
/// Interval at which counts are recorded and published.
const INTERVAL: Micros = 250_000;
/// Intervals that are simulated; the second half of them is measured.
const TICKS: u64 = 20;
const SITES: [Site; 3] = [2, 8, 32];
const GATEWAYS: [u16; 5] = [10, 32, 100, 320, 1_000];

/// Measurement of one number of sites and gateways.
pub struct GrowthSample {
    sites: Site,
    gateways: u16,
    /// Bytes a second sent by all gateways together.
    total_bytes_per_s: f64,
    /// Bytes a second of the gateway that sends most.
    pub max_bytes_per_s: f64,
    /// Bytes a second of the median gateway.
    pub median_bytes_per_s: f64,
    /// Length of the longest frame, bytes.
    longest_frame: usize,
    /// Mean time in which a site's coordinator builds its frames, microseconds.
    pub build_us: f64,
    /// Mean time in which a gateway builds its table, microseconds.
    pub table_us: f64,
}

/// Random counts of one interval at one gateway.
fn counts(rng: &mut StdRng) -> LoopCounts {
    let mut by = Vec::new();
    for function in 0..FUNCTIONS {
        let mean = 20.0 / f64::from(function + 1);
        let calls = (mean * rng.random_range(0.0..2.0)) as u32 + u32::from(rng.random_bool(0.05));
        if calls > 0 {
            let total_time = u64::from(calls) * 50_000;
            let in_flight = calls.div_ceil(5);
            by.push(FunctionCounts {
                function,
                calls,
                served: calls,
                total_time,
                warm_starts: calls - u32::from(calls == 1),
                in_flight,
            });
        }
    }
    LoopCounts { span: INTERVAL, in_flight: by.iter().map(|c| c.in_flight).sum(), functions: by, workers: 20 }
}

/// Measures one number of sites and gateways.
///
/// # Errors
/// If the settings are invalid or a frame can't be read.
pub fn measure(sites: Site, gateways: u16) -> Result<GrowthSample, Box<dyn Error>> {
    let site_of: Vec<Site> = (0..gateways).map(|n| (n % u16::from(sites)) as Site).collect();
    let spec = FunctionSpec {
        memory_mb: 256,
        lanes: 4,
        load_time: Some(800_000),
        aim: 400_000,
        deadline: 3_000_000,
    };
    let mut now = 10_000_000;
    let mut routes = Vec::new();
    for own in 0..gateways {
        let site_map = SiteMap::new(site_of.clone(), own).ok_or("no such gateway")?;
        let settings = RoutingSettings::new(site_map, vec![spec; FUNCTIONS as usize], 16_384, u64::from(own));
        let mut route = RoutingController::new(settings, now)?;
        route.set_live(&vec![true; usize::from(gateways)]);
        routes.push(route);
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut bytes = vec![0_u64; usize::from(gateways)];
    let (mut longest_frame, mut build_times, mut table_times) = (0, Vec::new(), Vec::new());
    for tick in 0..TICKS {
        let is_measured = tick >= TICKS / 2;
        let mut frames = Vec::<(MemberId, MemberId, Vec<u8>)>::new();
        for (own, route) in routes.iter_mut().enumerate() {
            route.record_counts(now, 0, &counts(&mut rng));
            let start = Instant::now();
            let built = route.build_frames(now);
            let elapsed = start.elapsed();
            let start = Instant::now();
            let table = route.build_table(now);
            if is_measured {
                table_times.push(start.elapsed().as_nanos() as f64 / 1e3);
                bytes[own] += built.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
                // Only the coordinator of a site sends more than one frame.
                if built.len() > 1 {
                    build_times.push(elapsed.as_nanos() as f64 / 1e3);
                }
            }
            drop(table);
            frames.extend(built.into_iter().map(|(to, bytes)| (own as MemberId, to, bytes)));
        }
        for (from, to, bytes) in frames {
            longest_frame = longest_frame.max(bytes.len());
            let route = &mut routes[usize::from(to)];
            if site_of[usize::from(from)] != site_of[usize::from(to)] {
                route.record_rtt(now + 20_000, from, 20_000);
            }
            route.receive_frame(now + 20_000, from, &bytes)?;
        }
        now += INTERVAL;
    }
    let seconds = (TICKS / 2 * INTERVAL) as f64 / 1e6;
    let mut rates: Vec<_> = bytes.iter().map(|b| *b as f64 / seconds).collect();
    rates.sort_by(f64::total_cmp);
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
    Ok(GrowthSample {
        sites,
        gateways,
        total_bytes_per_s: rates.iter().sum(),
        max_bytes_per_s: rates.last().copied().unwrap_or(0.0),
        median_bytes_per_s: rates[rates.len() / 2],
        longest_frame,
        build_us: mean(&build_times),
        table_us: mean(&table_times),
    })
}

/// Measures all sizes, prints the table and writes the plot to `to`.
///
/// # Errors
/// If a measurement fails or the plot can't be written.
pub fn run(to: &Path) -> Result<(), Box<dyn Error>> {
    println!(
        "{FUNCTIONS} functions called at all gateways, counts published each 250 ms; bytes a second, microseconds"
    );
    println!(
        "sites | gateways | total bytes/s | max of a gateway | median gateway | longest frame | coordinator's build | a table"
    );
    let mut samples = Vec::new();
    for sites in SITES {
        for gateways in GATEWAYS.into_iter().filter(|n| *n >= u16::from(sites)) {
            let sample = measure(sites, gateways)?;
            println!(
                "{} | {} | {:.0} | {:.0} | {:.0} | {} | {:.0} | {:.1}",
                sample.sites,
                sample.gateways,
                sample.total_bytes_per_s,
                sample.max_bytes_per_s,
                sample.median_bytes_per_s,
                sample.longest_frame,
                sample.build_us,
                sample.table_us
            );
            samples.push(sample);
        }
    }
    svg::save(to, &plot(&samples))?;
    Ok(())
}

/// Plot of the bytes a second of the gateway that sends most and of the median one.
fn plot(samples: &[GrowthSample]) -> Document {
    let mut curves = Vec::new();
    for (colour, sites) in SITES.into_iter().enumerate() {
        let curve = |label: String, is_dashed: bool, value: fn(&GrowthSample) -> f64| {
            let samples = samples.iter().filter(|sample| sample.sites == sites);
            let points = samples.map(|sample| (f64::from(sample.gateways), value(sample))).collect();
            Curve { label, points, colour, is_dashed }
        };
        curves.push(curve(format!("{sites} sites"), false, |sample| sample.max_bytes_per_s));
        curves.push(curve(String::new(), true, |sample| sample.median_bytes_per_s));
    }
    let title =
        "Routing bytes by gateways: the site's coordinator (full) and the median gateway (dashed)".into();
    Plot { title, marks: GATEWAYS.map(f64::from).to_vec(), unit: "bytes/s".into(), curves }.draw()
}
