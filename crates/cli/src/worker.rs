use crate::args::Worker;
use crate::records::Records;
use crate::{Failed, demo};
use basaltward_fakes::{Fleet, StoreSpec, WorkerSpec};

/// Runs stand-in workers until interrupted.
pub fn run(options: &Worker) -> Result<(), Failed> {
    let records = Records::open(options.records.as_deref())?;
    let load = (options.load_ms.max(0.0) * 1e3) as u64;
    let spec = WorkerSpec {
        cores: options.cores.max(1),
        memory_mb: options.memory_mb,
        default_work: (options.work_ms.max(0.0) * 1e3) as u64,
        fetch_and_start: (load * 3 / 5, load * 2 / 5),
        load_on_miss: options.load_on_miss,
        ..WorkerSpec::default()
    };
    let specs = vec![spec; options.listen.len()];
    let fleet = Fleet::start(specs, &options.listen, StoreSpec::default(), records.recorder.clone())?;
    for address in fleet.addresses() {
        println!("worker on {address}");
    }
    demo::wait()?;
    fleet.stop()?;
    records.close()
}
