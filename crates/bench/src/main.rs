//! Benchmarks of the gateway and its parts. Each command compares its variants within one run, alternates between them
//! over several rounds and prints the spread. `docs/measurements.md` lists the results.

mod agreed;
mod capacity;
mod echo;
mod fleet;
mod jam;
mod load;
mod memory;
mod module;
mod overload;
mod parse;
mod path;
mod peers;
mod pending;
mod plot;
mod processes;
mod proxy;
mod route;
mod scale;
mod shed;

use clap::{Parser, Subcommand};
use std::error::Error;

/// Measure the gateway.
#[derive(Parser)]
#[command(name = "basaltward-bench")]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Latency and throughput of calls directly to a worker, through the gateway and through a plain proxy
    Path {
        /// Number of rounds of all three
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Calls in each measurement
        #[arg(long, default_value_t = 40_000)]
        calls: u64,
        /// Connections for the throughput measurement; latency is measured with one
        #[arg(long, default_value_t = 64)]
        connections: usize,
    },
    /// Processor time of the decision module per call
    Module {
        /// Number of workers
        #[arg(long, default_value_t = 60)]
        workers: usize,
        /// Number of functions
        #[arg(long, default_value_t = 2_000)]
        functions: usize,
        /// Calls in each round
        #[arg(long, default_value_t = 100_000)]
        calls: u64,
        /// Number of rounds
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Processor time of the decision module per call and per event while calls wait, with a digest of its decisions
    Jam {
        /// Use a fleet of 120 workers, of which 40 are silent, and waiting calls for functions that no worker can load
        #[arg(long)]
        large: bool,
        /// Numbers of waiting calls, one run for each
        #[arg(long, value_delimiter = ',', default_value = "0,1000,20000")]
        waiting: Vec<u64>,
        /// Number of rounds
        #[arg(long, default_value_t = 3)]
        rounds: usize,
        /// Seed of all random draws
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Membership in virtual time: times until all members agree, live members declared gone, bytes
    Fleet {
        /// Numbers of members, one run for each
        #[arg(long, value_delimiter = ',', default_value = "3,10,50,300")]
        sizes: Vec<u16>,
        /// Share of datagrams lost
        #[arg(long, default_value_t = 0.05)]
        lost: f64,
        /// Number of seeds
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Bytes that a member may send in a second
        #[arg(long, default_value_t = 1_000)]
        rate: u64,
        /// Bytes that a member may send at once after a quiet time
        #[arg(long)]
        burst: Option<u64>,
        /// Virtual hours over which live members declared gone are counted
        #[arg(long, default_value_t = 0.0)]
        hours: f64,
    },
    /// Membership of up to thousands of members in zones and regions, in virtual time: times until all agree, bytes,
    /// processor time, memory
    Scale(scale::Args),
    /// Membership between processes of the program, which has to be built in the same folder as this one
    Processes {
        /// Numbers of processes, one run for each
        #[arg(long, value_delimiter = ',', default_value = "8,40")]
        counts: Vec<usize>,
        /// Share of datagrams lost
        #[arg(long, default_value_t = 0.05)]
        lost: f64,
        /// Rounds of a death, a restart, a leave and a partition
        #[arg(long, default_value_t = 5)]
        rounds: usize,
    },
    /// Permits by quorum in virtual time: times from a request to a permit, until a halt reaches all, until a new
    /// leader
    Agreed {
        /// Numbers of members, one run for each
        #[arg(long, value_delimiter = ',', default_value = "8,50,300")]
        sizes: Vec<u16>,
        /// Share of datagrams lost
        #[arg(long, default_value_t = 0.05)]
        lost: f64,
        /// Number of seeds
        #[arg(long, default_value_t = 5)]
        seeds: u64,
        /// Measure between this many processes of the program, built in the same folder, instead of in virtual time
        #[arg(long)]
        processes: Option<usize>,
    },
    /// Goodput at multiples of the workers' capacity: calls offered, served, refused and failed, times, loop lag
    Overload {
        /// Multiples of the workers' capacity
        #[arg(long, value_delimiter = ',', default_value = "0.5,0.8,1,1.5,2,5,10")]
        multiples: Vec<f64>,
        /// Duration of each load in seconds
        #[arg(long, default_value_t = 10.0)]
        seconds: f64,
        /// Work of a call in milliseconds
        #[arg(long, default_value_t = 20.0)]
        work_ms: f64,
        /// Idle connections held open during the load
        #[arg(long, default_value_t = 0)]
        idle: usize,
        /// How often a client retries a call that was refused
        #[arg(long, default_value_t = 0)]
        retries: u32,
        /// Run two tenants within their quotas and a third at the multiples of its own
        #[arg(long)]
        tenants: bool,
        /// Seed of all random draws
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Admission control under overload in virtual time: four sites with shared admission, and gateways that decide
    /// alone
    Shed {
        /// Multiples of the workers' capacity
        #[arg(long, value_delimiter = ',', default_value = "1,2,5,10")]
        multiples: Vec<f64>,
        /// Number of seeds
        #[arg(long, default_value_t = 20)]
        seeds: u64,
        /// Duration of each load in seconds
        #[arg(long, default_value_t = 20)]
        seconds: usize,
    },
    /// Links between peers: delivery time of a frame, processor time per frame, cost of idle links
    Peers {
        /// How often a link is opened
        #[arg(long, default_value_t = 500)]
        rounds: usize,
        /// Number of frames of each size
        #[arg(long, default_value_t = 500_000)]
        frames: usize,
        /// Number of open idle links
        #[arg(long, default_value_t = 1_000)]
        links: u16,
    },
    /// Site routing: value and latency of calls on five days in virtual time under several policies, how much the load
    /// swings between sites, and bytes and time as the number of sites grows
    Route {
        /// Number of seeds of each day
        #[arg(long, default_value_t = 3)]
        seeds: u64,
        /// Names of the days; all if none is given
        #[arg(long, value_delimiter = ',')]
        days: Vec<String>,
        /// Measure growth instead of the days, and draw it into this file
        #[arg(long)]
        grow: Option<std::path::PathBuf>,
    },
    /// Memory of an idle connection
    Memory {
        /// Number of connections
        #[arg(long, default_value_t = 5_000)]
        connections: usize,
    },
    /// Journaled events: bytes on the wire, added latency, memory per event, events a second
    Pending {
        /// Number of events in each measurement
        #[arg(long, default_value_t = 51_200)]
        events: u64,
        /// Number of rounds of measurements on this host
        #[arg(long, default_value_t = 5)]
        rounds: usize,
        /// Number of seeds of measurements in virtual time
        #[arg(long, default_value_t = 3)]
        seeds: u64,
    },
    /// Needs of each role at the size of the users' plan: measures slopes, writes the capacity page and its plots
    Capacity(capacity::Options),
    /// Part of `capacity`: measures the memory of one state in a process of its own
    #[command(hide = true)]
    CapacityProbe {
        /// The state to build
        probe: capacity::Probe,
        /// The size of the state
        size: u32,
    },
    /// Decode a typical event repeatedly, for a tool that counts instructions
    Parse {
        /// How many times to decode it
        #[arg(long, default_value_t = 10_000)]
        times: u64,
    },
}

fn main() -> Result<(), Box<dyn Error>> {
    match Args::parse().command {
        Command::Path { rounds, calls, connections } => path::run(rounds, calls, connections),
        Command::Module { workers, functions, calls, rounds } => {
            module::run(workers, functions, calls, rounds)
        }
        Command::Overload { multiples, seconds, work_ms, idle, retries, tenants, seed } => {
            let work = (work_ms * 1e3) as u64;
            let load = overload::Load { multiples, seconds, work, idle, retries, seed };
            if tenants { overload::run_tenants(&load) } else { overload::run(&load) }
        }
        Command::Jam { large, waiting, rounds, seed } => jam::run(&waiting, rounds, seed, large),
        Command::Fleet { sizes, lost, seeds, rate, burst, hours } => {
            fleet::run(&sizes, lost, seeds, (rate, burst), hours)
        }
        Command::Scale(args) => scale::run(&args),
        Command::Agreed { sizes, lost, seeds, processes: None } => agreed::run(&sizes, lost, seeds),
        Command::Agreed { lost, seeds, processes: Some(count), .. } => {
            agreed::processes(count, lost, seeds as usize * 10)
        }
        Command::Peers { rounds, frames, links } => peers::run(rounds, frames, links),
        Command::Processes { counts, lost, rounds } => processes::run(&counts, lost, rounds),
        Command::Shed { multiples, seeds, seconds } => shed::run(&multiples, seeds, seconds),
        Command::Route { seeds, days, grow } => route::run(seeds, &days, grow.as_deref()),
        Command::Memory { connections } => memory::run(connections),
        Command::Pending { events, rounds, seeds } => pending::run(events, rounds, seeds),
        Command::Capacity(options) => capacity::run(&options),
        Command::CapacityProbe { probe, size } => probe.run(size),
        Command::Parse { times } => parse::run(times),
    }
}

/// Median with minimum and maximum as text; `-` for no values.
pub fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    match values.as_slice() {
        [] => "-".into(),
        all => format!("{:.2} ({:.2} to {:.2})", all[all.len() / 2], all[0], all[all.len() - 1]),
    }
}
