use crate::args::{Check, Serve};
use crate::records::Records;
use crate::{Failed, demo};
use basaltward_config::{Config, load};
use basaltward_gateway::Gateway;
use std::time::Duration;
use tracing::info;

/// A fault planted by trials, `AT:FOR` in milliseconds: the control thread stands still.
const STALL_CONTROL: &str = "BASALTWARD_PLANT_STALL_CONTROL_MS";

fn planted(told: Option<&str>) -> Option<(Duration, Duration)> {
    let (at, span) = told?.split_once(':')?;
    let millis = |text: &str| text.parse().ok().map(Duration::from_millis);
    Some((millis(at)?, millis(span)?))
}

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
        config.gateway_count * config.threads
    );
    Ok(())
}

/// Runs a gateway until it is told to stop.
pub fn run(options: &Serve) -> Result<(), Failed> {
    let config = settings(&options.config)?;
    let records = Records::open(config.records_file.as_deref())?;
    let gateway = Gateway::start(&config, &records.recorder)?;
    println!("listening on {}", gateway.address());
    info!(name = config.name, address = %gateway.address(), loops = config.threads, "serving");
    let planted = planted(std::env::var(STALL_CONTROL).ok().as_deref());
    match planted {
        Some((at, span)) => demo::wait_and(Some((at, &|| gateway.stall_control(span))))?,
        None => demo::wait()?,
    }
    gateway.stop();
    gateway.join()?;
    records.close()
}
