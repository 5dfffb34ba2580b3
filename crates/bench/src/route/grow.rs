//! Bytes told and time taken as sites and gateways grow: the state machines alone, on figures of 200 functions.

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
const EVERY: Micros = 250_000;
const TICKS: u64 = 20;
const SITES: [Site; 3] = [2, 8, 32];
const GATEWAYS: [u16; 5] = [10, 32, 100, 320, 1_000];

/// What one size came to.
pub struct Grown {
    sites: Site,
    gateways: u16,
    /// Bytes a second: by all, by the gateway that tells most, by the median one.
    all: f64,
    pub most: f64,
    pub median: f64,
    /// Longest frame.
    longest: usize,
    /// Microseconds: of a teller to work out and tell, of any gateway to make a table.
    pub work: f64,
    pub table: f64,
}

fn counts(rng: &mut StdRng) -> LoopCounts {
    let mut by = Vec::new();
    for function in 0..FUNCTIONS {
        let mean = 20.0 / f64::from(function + 1);
        let calls = (mean * rng.random_range(0.0..2.0)) as u32 + u32::from(rng.random_bool(0.05));
        if calls > 0 {
            let took = u64::from(calls) * 50_000;
            let in_hand = calls.div_ceil(5);
            by.push(FunctionCounts {
                function,
                calls,
                served: calls,
                total_time: took,
                warm_starts: calls - u32::from(calls == 1),
                in_flight: in_hand,
            });
        }
    }
    LoopCounts { span: EVERY, in_flight: by.iter().map(|c| c.in_flight).sum(), functions: by, workers: 20 }
}

/// Measures one size.
pub fn measure(sites: Site, gateways: u16) -> Result<Grown, Box<dyn Error>> {
    let of: Vec<Site> = (0..gateways).map(|n| (n % u16::from(sites)) as Site).collect();
    let told = FunctionSpec {
        memory_mb: 256,
        lanes: 4,
        load_time: Some(800_000),
        aim: 400_000,
        deadline: 3_000_000,
    };
    let mut now = 10_000_000;
    let mut routes = Vec::new();
    for own in 0..gateways {
        let places = SiteMap::new(of.clone(), own).ok_or("no such gateway")?;
        let settings = RoutingSettings::new(places, vec![told; FUNCTIONS as usize], 16_384, u64::from(own));
        let mut route = RoutingController::new(settings, now)?;
        route.set_live(&vec![true; usize::from(gateways)]);
        routes.push(route);
    }
    let mut rng = StdRng::seed_from_u64(1);
    let mut bytes = vec![0_u64; usize::from(gateways)];
    let (mut longest, mut works, mut tables) = (0, Vec::new(), Vec::new());
    for tick in 0..TICKS {
        let settled = tick >= TICKS / 2;
        let mut frames = Vec::<(MemberId, MemberId, Vec<u8>)>::new();
        for (own, route) in routes.iter_mut().enumerate() {
            route.record_counts(now, 0, &counts(&mut rng));
            let began = Instant::now();
            let told = route.build_frames(now);
            let took = began.elapsed();
            let began = Instant::now();
            let table = route.build_table(now);
            if settled {
                tables.push(began.elapsed().as_nanos() as f64 / 1e3);
                bytes[own] += told.iter().map(|(_, bytes)| bytes.len() as u64).sum::<u64>();
                if told.len() > 1 {
                    works.push(took.as_nanos() as f64 / 1e3);
                }
            }
            drop(table);
            frames.extend(told.into_iter().map(|(to, bytes)| (own as MemberId, to, bytes)));
        }
        for (from, to, bytes) in frames {
            longest = longest.max(bytes.len());
            let route = &mut routes[usize::from(to)];
            if of[usize::from(from)] != of[usize::from(to)] {
                route.record_rtt(now + 20_000, from, 20_000);
            }
            route.receive_frame(now + 20_000, from, &bytes)?;
        }
        now += EVERY;
    }
    let seconds = (TICKS / 2 * EVERY) as f64 / 1e6;
    let mut rates: Vec<_> = bytes.iter().map(|b| *b as f64 / seconds).collect();
    rates.sort_by(f64::total_cmp);
    let mean = |all: &[f64]| all.iter().sum::<f64>() / all.len().max(1) as f64;
    Ok(Grown {
        sites,
        gateways,
        all: rates.iter().sum(),
        most: rates.last().copied().unwrap_or(0.0),
        median: rates[rates.len() / 2],
        longest,
        work: mean(&works),
        table: mean(&tables),
    })
}

/// Measures, prints and draws.
pub fn run(to: &Path) -> Result<(), Box<dyn Error>> {
    println!("{FUNCTIONS} functions called at all gateways, told each 250 ms; bytes a second, microseconds");
    println!(
        "sites | gateways | all bytes/s | most of one | median of one | longest frame | work of a teller | a table"
    );
    let mut grown = Vec::new();
    for sites in SITES {
        for gateways in GATEWAYS.into_iter().filter(|n| *n >= u16::from(sites)) {
            let g = measure(sites, gateways)?;
            println!(
                "{} | {} | {:.0} | {:.0} | {:.0} | {} | {:.0} | {:.1}",
                g.sites, g.gateways, g.all, g.most, g.median, g.longest, g.work, g.table
            );
            grown.push(g);
        }
    }
    svg::save(to, &picture(&grown))?;
    Ok(())
}

/// Bytes a second of the gateway that tells most and of the median one.
fn picture(grown: &[Grown]) -> Document {
    let mut curves = Vec::new();
    for (colour, sites) in SITES.into_iter().enumerate() {
        let curve = |label: String, is_dashed: bool, value: fn(&Grown) -> f64| {
            let of = grown.iter().filter(|g| g.sites == sites);
            let points = of.map(|g| (f64::from(g.gateways), value(g))).collect();
            Curve { label, points, colour, is_dashed }
        };
        curves.push(curve(format!("{sites} sites"), false, |g| g.most));
        curves.push(curve(String::new(), true, |g| g.median));
    }
    let title = "Told over gateways: the site's teller (full) and the median gateway (dashed)".into();
    Plot { title, marks: GATEWAYS.map(f64::from).to_vec(), unit: "bytes/s".into(), curves }.draw()
}
