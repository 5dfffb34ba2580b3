//! `serve` and `check`: a gateway, and the check of its settings.

use crate::args::{Check, Serve};
use crate::records::Records;
use crate::{CommandError, demo};
use basaltward_config::{Config, load};
use basaltward_gateway::Gateway;
use std::time::Duration;
use tracing::info;

/// Environment variable by which trials inject a fault, `AT:FOR` in milliseconds: AT after the start, the control
/// thread stalls for FOR.
const STALL_CONTROL: &str = "BASALTWARD_PLANT_STALL_CONTROL_MS";

/// Parses `AT:FOR`; `None` if absent or malformed.
fn parse_stall(text: Option<&str>) -> Option<(Duration, Duration)> {
    let (at, duration) = text?.split_once(':')?;
    let millis = |text: &str| text.parse().ok().map(Duration::from_millis);
    Some((millis(at)?, millis(duration)?))
}

/// Reads a settings file; errors in it are input errors (exit code 2).
pub fn settings(path: &std::path::Path) -> Result<Config, CommandError> {
    load(path).map_err(|error| CommandError::Input(error.to_string()))
}

/// Checks a settings file and prints a summary of it.
pub fn check(options: &Check) -> Result<(), CommandError> {
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

/// Runs a gateway until SIGINT or SIGTERM.
pub fn run(options: &Serve) -> Result<(), CommandError> {
    let config = settings(&options.config)?;
    let records = Records::open(config.records_file.as_deref())?;
    let gateway = Gateway::start(&config, &records.recorder)?;
    println!("listening on {}", gateway.address());
    info!(name = config.name, address = %gateway.address(), loops = config.threads, "serving");
    let stall = parse_stall(std::env::var(STALL_CONTROL).ok().as_deref());
    match stall {
        Some((at, duration)) => {
            demo::wait_for_signal_with_action(Some((at, &|| gateway.stall_control(duration))))?
        }
        None => demo::wait_for_signal()?,
    }
    gateway.stop();
    gateway.join()?;
    records.close()
}
