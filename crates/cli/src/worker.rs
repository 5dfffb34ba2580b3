use crate::args::Worker;
use crate::{Failed, demo};
use basaltward_rules::Recorder;
use basaltward_standins::{Fleet, StoreSpec, WorkerSpec};

/// Runs stand-in workers until interrupted.
pub fn run(options: &Worker) -> Result<(), Failed> {
    let (recorder, writer) = match &options.records {
        Some(path) => {
            let (recorder, writer) = Recorder::file(path)?;
            (recorder, Some(writer))
        }
        None => (Recorder::none(), None),
    };
    let load = (options.load_ms.max(0.0) * 1e3) as u64;
    let spec = WorkerSpec {
        cores: options.cores.max(1),
        memory_mb: options.memory_mb,
        work: (options.work_ms.max(0.0) * 1e3) as u64,
        load: (load * 3 / 5, load * 2 / 5),
        load_on_miss: options.load_on_miss,
        ..WorkerSpec::default()
    };
    let specs = vec![spec; options.listen.len()];
    let fleet = Fleet::start(specs, &options.listen, StoreSpec::default(), recorder)?;
    for address in fleet.addresses() {
        println!("worker on {address}");
    }
    demo::wait()?;
    fleet.stop()?;
    if let Some(writer) = writer {
        writer.join().map_err(|_| Failed::Run("the writer of records has panicked".into()))??;
    }
    Ok(())
}
