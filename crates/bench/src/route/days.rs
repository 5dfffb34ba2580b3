//! The five days, a minute each.

use basaltward_membership::{Micros, Site};
use basaltward_site_routing::{
    FunctionSpec, ModelFunction, Policy, RoutingError, Simulation, SimulationSettings,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const S: Micros = 1_000_000;
const SITES: Site = 4;
const FUNCTIONS: u32 = 80;
const END: u64 = 60;

/// A day.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Day {
    /// Half of what all can do, at all sites.
    Calm,
    /// Two and a half times what a site can do, each fifteen seconds at another.
    HotSpot,
    /// One site of four vanishes for twenty seconds; its clients go to the next.
    SiteLost,
    /// A hot spot, and the way to its neighbour takes 400 ms.
    SlowLink,
    /// No copy stands anywhere, and four in five functions are called once in some seconds.
    ColdStart,
}

pub const DAYS: [(&str, Day); 5] = [
    ("calm", Day::Calm),
    ("hot-spot", Day::HotSpot),
    ("site-lost", Day::SiteLost),
    ("slow-link", Day::SlowLink),
    ("cold-start", Day::ColdStart),
];

/// Functions of some tens of milliseconds, with copies of a quarter to one gigabyte.
pub fn functions(count: u32, seed: u64) -> Vec<ModelFunction> {
    let mut rng = StdRng::seed_from_u64(seed);
    let function = |_| {
        let service = rng.random_range(20_000..80_000);
        let load = rng.random_range(500_000..1_500_000);
        let (aim, deadline) = (400_000, 3_000_000);
        let memory_mb = rng.random_range(2..=8) * 128;
        let told = FunctionSpec { memory_mb, lanes: 4, load_time: Some(load), aim, deadline };
        ModelFunction { spec: told, service_time: service, load_time: load }
    };
    (0..count).map(function).collect()
}

/// Calls a second of all functions at a site, by how often each is called.
fn load(world: &mut Simulation, site: Site, calls: f64, rare: bool) {
    let weight = |f: u32| if rare && f >= FUNCTIONS / 5 { 0.0 } else { 1.0 / f64::from(f + 1) };
    let all: f64 = (0..FUNCTIONS).map(weight).sum();
    for f in 0..FUNCTIONS {
        let rate = if weight(f) > 0.0 { calls * weight(f) / all } else { 0.08 };
        world.set_call_rate(site, f, rate);
    }
}

/// Plays a day.
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
    // By Zipf's weights and a mean of 50 ms, 24 cores do some 480 calls a second.
    let whole = f64::from(settings.workers * settings.cores) / 0.05;
    let mut world = Simulation::new(settings)?;
    let base = match day {
        Day::Calm | Day::ColdStart => 0.5,
        Day::HotSpot | Day::SlowLink => 0.4,
        Day::SiteLost => 0.6,
    };
    (0..SITES).for_each(|site| load(&mut world, site, whole * base, day == Day::ColdStart));
    for second in 1..=END {
        world.run_until(second * S);
        match (day, second) {
            (Day::HotSpot, 5 | 20 | 35 | 50) => {
                let hot = (second / 15) as Site % SITES;
                (0..SITES).for_each(|site| {
                    load(&mut world, site, whole * if site == hot { 2.0 } else { 0.4 }, false)
                });
            }
            (Day::SlowLink, 10) => load(&mut world, 0, whole * 1.6, false),
            (Day::SlowLink, 20 | 40) => {
                let delay = if second == 20 { 400_000 } else { 10_000 };
                world.update_link(0, 1, |leg| leg.delay = delay);
                world.update_link(1, 0, |leg| leg.delay = delay);
            }
            (Day::SiteLost, 20) => world.set_site_up(2, false),
            (Day::SiteLost, 40) => world.set_site_up(2, true),
            _ => {}
        }
    }
    Ok(world)
}
