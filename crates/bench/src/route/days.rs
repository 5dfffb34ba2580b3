//! The five scenarios, called days, of a minute of virtual time each.

use basaltward_membership::{Micros, Site};
use basaltward_site_routing::{
    FunctionSpec, ModelFunction, Policy, RoutingError, Simulation, SimulationSettings,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SECOND_US: Micros = 1_000_000;
const SITES: Site = 4;
const FUNCTIONS: u32 = 80;
const END_S: u64 = 60;

/// A scenario of load and faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Day {
    /// Half of the capacity at all sites.
    Calm,
    /// Twice the capacity of a site at one site, which changes every fifteen seconds; 0.4 of it at the others.
    HotSpot,
    /// One site of four fails for twenty seconds; its clients go to the next.
    SiteLost,
    /// One site at 1.6 times its capacity, while its link to a neighbour has a delay of 400 ms for twenty seconds.
    SlowLink,
    /// No copy is loaded anywhere, and four in five functions are called only once in some seconds.
    ColdStart,
}

/// All days with their names on the command line.
pub const DAYS: [(&str, Day); 5] = [
    ("calm", Day::Calm),
    ("hot-spot", Day::HotSpot),
    ("site-lost", Day::SiteLost),
    ("slow-link", Day::SlowLink),
    ("cold-start", Day::ColdStart),
];

/// Random functions with service times of some tens of milliseconds and copies of a quarter to one gigabyte.
pub fn functions(count: u32, seed: u64) -> Vec<ModelFunction> {
    let mut rng = StdRng::seed_from_u64(seed);
    let function = |_| {
        let service_time = rng.random_range(20_000..80_000);
        let load_time = rng.random_range(500_000..1_500_000);
        let (aim, deadline) = (400_000, 3_000_000);
        let memory_mb = rng.random_range(2..=8) * 128;
        let spec = FunctionSpec { memory_mb, lanes: 4, load_time: Some(load_time), aim, deadline };
        ModelFunction { spec, service_time, load_time }
    };
    (0..count).map(function).collect()
}

/// Sets the call rates of all functions at a site: `calls` a second, distributed by Zipf's law. With `rare`, four in
/// five functions get only a small rate instead.
fn set_load(simulation: &mut Simulation, site: Site, calls: f64, rare: bool) {
    let weight = |f: u32| if rare && f >= FUNCTIONS / 5 { 0.0 } else { 1.0 / f64::from(f + 1) };
    let all: f64 = (0..FUNCTIONS).map(weight).sum();
    for f in 0..FUNCTIONS {
        let rate = if weight(f) > 0.0 { calls * weight(f) / all } else { 0.08 };
        simulation.set_call_rate(site, f, rate);
    }
}

/// Simulates a day.
///
/// # Errors
/// If the settings are invalid.
pub fn play(day: Day, policy: Policy, seed: u64) -> Result<Simulation, RoutingError> {
    let settings = SimulationSettings {
        sites: SITES,
        gateways: 2,
        workers: 6,
        cores: 4,
        worker_mb: 16_384,
        functions: functions(FUNCTIONS, seed),
        link_delay: 10_000,
        policy,
        seed,
    };
    // With Zipf weights and a mean service time of 50 ms, 24 cores serve some 480 calls a second.
    let capacity = f64::from(settings.workers * settings.cores) / 0.05;
    let mut simulation = Simulation::new(settings)?;
    let base = match day {
        Day::Calm | Day::ColdStart => 0.5,
        Day::HotSpot | Day::SlowLink => 0.4,
        Day::SiteLost => 0.6,
    };
    (0..SITES).for_each(|site| set_load(&mut simulation, site, capacity * base, day == Day::ColdStart));
    for second in 1..=END_S {
        simulation.run_until(second * SECOND_US);
        match (day, second) {
            (Day::HotSpot, 5 | 20 | 35 | 50) => {
                let hot = (second / 15) as Site % SITES;
                (0..SITES).for_each(|site| {
                    set_load(&mut simulation, site, capacity * if site == hot { 2.0 } else { 0.4 }, false)
                });
            }
            (Day::SlowLink, 10) => set_load(&mut simulation, 0, capacity * 1.6, false),
            (Day::SlowLink, 20 | 40) => {
                let delay = if second == 20 { 400_000 } else { 10_000 };
                simulation.update_link(0, 1, |leg| leg.delay = delay);
                simulation.update_link(1, 0, |leg| leg.delay = delay);
            }
            (Day::SiteLost, 20) => simulation.set_site_up(2, false),
            (Day::SiteLost, 40) => simulation.set_site_up(2, true),
            _ => {}
        }
    }
    Ok(simulation)
}
