use crate::args::{Judge, Play};
use crate::serve::settings;
use crate::{Failed, records, report};
use basaltward_rules::{check, read_records, service};
use basaltward_scenario::{load, rule_settings, run_scenario};

/// Plays a scripted day and judges it.
pub fn run(options: &Play) -> Result<(), Failed> {
    let mut script = load(&options.script).map_err(|error| Failed::Input(error.to_string()))?;
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

/// Judges records of earlier runs.
pub fn judge(options: &Judge) -> Result<(), Failed> {
    let config = settings(&options.config)?;
    let mut records = Vec::new();
    for path in &options.records {
        let all =
            read_records(path).map_err(|error| Failed::Input(format!("{}: {error}", path.display())))?;
        records.extend(all);
    }
    records.sort_by_key(|record| record.time);
    println!("{} records", records.len());
    let rules = rule_settings(&config, &[]);
    report::verdict(&records, &check(&records, &rules), &service(&records, &rules))
}
