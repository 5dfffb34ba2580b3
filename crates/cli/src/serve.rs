use crate::args::{Check, Serve};
use crate::{Failed, demo};
use basaltward_config::{Config, load};
use basaltward_gateway::Gateway;
use basaltward_rules::Recorder;
use tracing::{info, warn};

/// Settings that can't be used are the caller's to mend.
pub fn settings(path: &std::path::Path) -> Result<Config, Failed> {
    load(path).map_err(|error| Failed::Input(error.to_string()))
}

/// Checks a settings file.
pub fn check(options: &Check) -> Result<(), Failed> {
    let config = settings(&options.file)?;
    println!(
        "{}: good; {} functions in {} classes, {} tenants, {} loops of {} schedulers",
        options.file.display(),
        config.functions.len(),
        config.classes.len(),
        config.tenants.len(),
        config.threads,
        config.count * config.threads
    );
    Ok(())
}

/// Runs a gateway until it is told to stop.
pub fn run(options: &Serve) -> Result<(), Failed> {
    let config = settings(&options.config)?;
    let (recorder, writer) = match &config.records {
        Some(path) => {
            let (recorder, writer) = Recorder::file(path)?;
            (recorder, Some(writer))
        }
        None => (Recorder::none(), None),
    };
    let gateway = Gateway::start(&config, &recorder)?;
    println!("listening on {}", gateway.address());
    info!(name = config.name, address = %gateway.address(), loops = config.threads, "serving");
    demo::wait()?;
    gateway.stop();
    gateway.join()?;
    if recorder.lost() > 0 {
        warn!(lost = recorder.lost(), "records were lost: the writer could not keep up");
    }
    drop(recorder);
    if let Some(writer) = writer {
        writer.join().map_err(|_| Failed::Run("the writer of records has panicked".into()))??;
    }
    Ok(())
}
