//! `worker`: stand-in workers.

use crate::args::Worker;
use crate::records::Records;
use crate::{CommandError, demo};
use basaltward_fakes::{Fleet, StoreSpec, WorkerSpec};

/// Runs stand-in workers until SIGINT or SIGTERM.
pub fn run(options: &Worker) -> Result<(), CommandError> {
    let records = Records::open(options.records.as_deref())?;
    let load_us = (options.load_ms.max(0.0) * 1e3) as u64;
    let spec = WorkerSpec {
        cores: options.cores.max(1),
        memory_mb: options.memory_mb,
        default_work: (options.work_ms.max(0.0) * 1e3) as u64,
        fetch_and_start: (load_us * 3 / 5, load_us * 2 / 5),
        load_on_miss: options.load_on_miss,
        ..WorkerSpec::default()
    };
    let specs = vec![spec; options.listen.len()];
    let fleet = Fleet::start(specs, &options.listen, StoreSpec::default(), records.recorder.clone())?;
    for address in fleet.addresses() {
        println!("worker on {address}");
    }
    demo::wait_for_signal()?;
    fleet.stop()?;
    records.close()
}
