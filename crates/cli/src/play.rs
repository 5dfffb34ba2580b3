//! `play` and `judge`: a scripted run on loopback, and the check of records against the five rules.

use crate::args::{Judge, Play};
use crate::serve::settings;
use crate::{CommandError, records, report};
use basaltward_rules::{check, read_records, service};
use basaltward_scenario::{load, rule_settings, run_scenario};

/// Runs a script and checks the result.
pub fn run(options: &Play) -> Result<(), CommandError> {
    let mut script = load(&options.script).map_err(|error| CommandError::Input(error.to_string()))?;
    script.seed = options.seed.unwrap_or(script.seed);
    println!(
        "{}: {} gateways, {} workers, {} steps, seed {}",
        options.script.display(),
        script.gateways,
        script.workers.len(),
        script.steps.len(),
        script.seed
    );
    let verdict = run_scenario(&script)?;
    if let Some(path) = &options.records {
        records::write(path, &verdict.records)?;
    }
    report::tally(&verdict.client_stats);
    report::verdict(&verdict.records, &verdict.breaches, &verdict.service)
}

/// Checks records of earlier runs.
pub fn judge(options: &Judge) -> Result<(), CommandError> {
    let config = settings(&options.config)?;
    let mut records = Vec::new();
    for path in &options.records {
        let file_records = read_records(path)
            .map_err(|error| CommandError::Input(format!("{}: {error}", path.display())))?;
        records.extend(file_records);
    }
    records.sort_by_key(|record| record.time);
    println!("{} records", records.len());
    let rules = rule_settings(&config, &[]);
    report::verdict(&records, &check(&records, &rules), &service(&records, &rules))
}
