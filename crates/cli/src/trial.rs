//! `trial`: scripted runs of many processes of this program, with faults between them.

use crate::args::Trial as Options;
use crate::{CommandError, records};
use basaltward_faulttest::{
    CSV_HEADER, FleetScript, HollowScript, LoadedScript, Party, SitesScript, SitesVerdict, Verdict,
    check_cluster, check_sites, csv_rows, load_script, run_fleet as run_script, run_hollow, run_sites,
    timeline_lanes, timeline_svg,
};
use basaltward_net::monotonic;
use basaltward_rules::Record;
use std::fs::{OpenOptions, create_dir_all, write};
use std::io::Write;

/// Runs processes of this program as a script prescribes and checks the result.
pub fn run(options: &Options) -> Result<(), CommandError> {
    let program = std::env::current_exe()?;
    let script = load_script(&options.script, &program, options.seed)
        .map_err(|error| CommandError::Input(error.to_string()))?;
    match script {
        LoadedScript::Fleet(script) => run_fleet_trial(options, &script),
        LoadedScript::Sites(script) => run_sites_trial(options, &script),
        LoadedScript::Hollow(script) => run_hollow_trial(options, &script),
    }
}

fn run_hollow_trial(options: &Options, script: &HollowScript) -> Result<(), CommandError> {
    let report = run_hollow(script, &mut |line| println!("{line}"))?;
    let command = format!("basaltward trial {}", options.script.display());
    let lines = csv_rows(&report, &command);
    lines.iter().for_each(|line| println!("{line}"));
    if let Some(path) = &options.csv {
        let is_new = !path.exists();
        let mut file = OpenOptions::new().create(true).append(true).open(path)?;
        let header = is_new.then(|| CSV_HEADER.to_owned());
        for line in header.into_iter().chain(lines) {
            writeln!(file, "{line}")?;
        }
    }
    report.failed_processes.iter().for_each(|failed| println!("{failed} did not exit as expected"));
    report.overloaded_steps.iter().for_each(|step| println!("void, as the machine was too busy: {step}"));
    report.unsettled_steps.iter().for_each(|step| println!("unsettled: {step}"));
    if report.passed() { Ok(()) } else { Err(CommandError::Run("the trial failed".into())) }
}

fn run_fleet_trial(options: &Options, script: &FleetScript) -> Result<(), CommandError> {
    let fleet = &script.spec;
    println!(
        "{}: {} schedulers, {} workers, {} steps, seed {}",
        options.script.display(),
        fleet.schedulers,
        fleet.workers,
        script.steps.len(),
        fleet.seed
    );
    let mut cluster = run_script(script)?;
    let ended_at = monotonic();
    let records = cluster.finish()?;
    let verdict = check_cluster(&cluster, &records);
    let parties = cluster.schedulers.iter().enumerate().map(|(i, process)| (Party::Scheduler(i), process));
    write_timeline(
        options,
        &records,
        &timeline_lanes(parties, &cluster.network.fault_log, (cluster.started_at, ended_at)),
    )?;
    print_verdict(&verdict)
}

fn run_sites_trial(options: &Options, script: &SitesScript) -> Result<(), CommandError> {
    let spec = &script.spec;
    println!(
        "{}: {} sites, {} gateways, {} workers, {} steps, seed {}",
        options.script.display(),
        spec.sites.len(),
        spec.gateways().len(),
        spec.workers().len(),
        script.steps.len(),
        spec.seed
    );
    let mut cluster = run_sites(script)?;
    let ended_at = monotonic();
    let (records, _) = cluster.finish()?;
    let verdict = check_sites(&cluster, &records);
    let gateways = cluster.gateways.iter().enumerate().map(|(i, process)| (Party::Scheduler(i), process));
    let workers = cluster.workers.iter().enumerate().map(|(w, process)| (Party::Worker(w), process));
    write_timeline(
        options,
        &records,
        &timeline_lanes(
            gateways.chain(workers),
            &cluster.network.fault_log,
            (cluster.clients_started_at, ended_at),
        ),
    )?;
    if let Some(folder) = &options.records {
        for (number, process) in cluster.gateways.iter().enumerate() {
            write(folder.join(format!("n{number}.log")), process.output().join("\n"))?;
        }
        let notes: Vec<_> = cluster
            .network
            .relay
            .captured()
            .journal_messages
            .iter()
            .map(|note| format!("{note}\n"))
            .collect();
        write(folder.join("kept.txt"), notes.concat())?;
    }
    print_site_shares(script, &verdict);
    print_verdict(&verdict.verdict)
}

/// Prints how many calls each site received, their outcomes, and at which sites they ran.
fn print_site_shares(script: &SitesScript, verdict: &SitesVerdict) {
    let names: Vec<&str> = script.spec.sites.iter().map(|site| site.name.as_str()).collect();
    for (name, site) in names.iter().zip(&verdict.sites) {
        let ran: Vec<_> =
            names.iter().zip(&site.ran_at).map(|(at, count)| format!("{count} at {at}")).collect();
        println!(
            "asked at {name}: {}, served {}, refused {}, failed {}; ran {}; handed over {}; \
             p50 {:.1} ms, p99 {:.1} ms",
            site.attempts,
            site.served,
            site.refused,
            site.failed,
            ran.join(", "),
            site.forwarded,
            site.latency(0.5) as f64 / 1e3,
            site.latency(0.99) as f64 / 1e3
        );
        let seconds: Vec<_> = site.served_per_second.iter().map(u64::to_string).collect();
        let (retries, not_refused) = site.retried;
        println!(
            "  retries after a refusal {retries}, not refused {not_refused}; served each second {}",
            seconds.join(" ")
        );
    }
    let (acknowledged, ends) = &verdict.journaled_events;
    let ends: Vec<_> = ends.iter().map(|(how, count)| format!(", {how} {count}")).collect();
    println!("kept events acknowledged {acknowledged}{}", ends.concat());
}

/// Prints the timeline; with `--records`, also writes it and all records to files.
fn write_timeline(
    options: &Options,
    records: &[Record],
    lanes: &[basaltward_faulttest::TimelineLane],
) -> Result<(), CommandError> {
    let mut text = String::new();
    for (name, intervals) in lanes {
        text += name;
        for interval in intervals {
            text += &format!("  {} {}-{}", interval.state, interval.from / 1_000, interval.until / 1_000);
        }
        text.push('\n');
    }
    if let Some(folder) = &options.records {
        create_dir_all(folder)?;
        records::write(&folder.join("records"), records)?;
        write(folder.join("timeline.txt"), &text)?;
        write(folder.join("timeline.svg"), timeline_svg(lanes))?;
    }
    print!("{text}");
    Ok(())
}

fn print_verdict(verdict: &Verdict) -> Result<(), CommandError> {
    let (calls, served, refused, failed) = verdict.calls;
    println!(
        "calls {calls}: served {served}, refused {refused}, failed {failed}, excused {}",
        verdict.excused
    );
    verdict.rule_breaches.iter().take(20).for_each(|breach| println!("{breach}"));
    verdict.violations.iter().take(20).for_each(|fault| println!("{fault}"));
    match verdict.passed() {
        true => println!("all rules kept, nothing wrong with the fleet"),
        false => return Err(CommandError::Run("the trial failed".into())),
    }
    Ok(())
}
