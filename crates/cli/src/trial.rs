use crate::args::Trial as Options;
use crate::{Failed, records};
use basaltward_faulttest::{
    CSV_HEADER, FleetScript, HollowScript, LoadedScript, Party, SitesScript, SitesVerdict, Verdict,
    check_cluster, check_sites, csv_rows, load_script, run_fleet as play, run_hollow, run_sites,
    timeline_lanes, timeline_svg,
};
use basaltward_net::monotonic;
use basaltward_rules::Record;
use std::fs::{OpenOptions, create_dir_all, write};
use std::io::Write;

/// Runs processes of this program by a script and judges them.
pub fn run(options: &Options) -> Result<(), Failed> {
    let program = std::env::current_exe()?;
    let told = load_script(&options.script, &program, options.seed)
        .map_err(|error| Failed::Input(error.to_string()))?;
    match told {
        LoadedScript::Fleet(script) => fleet(options, &script),
        LoadedScript::Sites(script) => sites(options, &script),
        LoadedScript::Hollow(script) => hollow(options, &script),
    }
}

fn hollow(options: &Options, script: &HollowScript) -> Result<(), Failed> {
    let report = run_hollow(script, &mut |line| println!("{line}"))?;
    let command = format!("basaltward trial {}", options.script.display());
    let lines = csv_rows(&report, &command);
    lines.iter().for_each(|line| println!("{line}"));
    if let Some(path) = &options.csv {
        let fresh = !path.exists();
        let mut file = OpenOptions::new().create(true).append(true).open(path)?;
        let header = fresh.then(|| CSV_HEADER.to_owned());
        for line in header.into_iter().chain(lines) {
            writeln!(file, "{line}")?;
        }
    }
    report.failed_processes.iter().for_each(|failed| println!("{failed} did not end as it should"));
    report.overloaded_steps.iter().for_each(|step| println!("void, as the machine was too busy: {step}"));
    report.unsettled_steps.iter().for_each(|step| println!("unsettled: {step}"));
    if report.passed() { Ok(()) } else { Err(Failed::Run("the run is not good".into())) }
}

fn fleet(options: &Options, script: &FleetScript) -> Result<(), Failed> {
    let fleet = &script.spec;
    println!(
        "{}: {} schedulers, {} workers, {} steps, seed {}",
        options.script.display(),
        fleet.schedulers,
        fleet.workers,
        script.steps.len(),
        fleet.seed
    );
    let mut bed = play(script)?;
    let end = monotonic();
    let all = bed.finish()?;
    let verdict = check_cluster(&bed, &all);
    let parties = bed.schedulers.iter().enumerate().map(|(i, process)| (Party::Scheduler(i), process));
    keep(options, &all, &timeline_lanes(parties, &bed.network.fault_log, (bed.started_at, end)))?;
    tell(&verdict)
}

fn sites(options: &Options, script: &SitesScript) -> Result<(), Failed> {
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
    let mut bed = run_sites(script)?;
    let end = monotonic();
    let (all, _) = bed.finish()?;
    let told = check_sites(&bed, &all);
    let gateways = bed.gateways.iter().enumerate().map(|(i, process)| (Party::Scheduler(i), process));
    let workers = bed.workers.iter().enumerate().map(|(w, process)| (Party::Worker(w), process));
    keep(
        options,
        &all,
        &timeline_lanes(gateways.chain(workers), &bed.network.fault_log, (bed.clients_started_at, end)),
    )?;
    if let Some(folder) = &options.records {
        for (number, process) in bed.gateways.iter().enumerate() {
            write(folder.join(format!("n{number}.log")), process.output().join("\n"))?;
        }
        let noted: Vec<_> =
            bed.network.relay.captured().journal_messages.iter().map(|noted| format!("{noted}\n")).collect();
        write(folder.join("kept.txt"), noted.concat())?;
    }
    shares(script, &told);
    tell(&told.verdict)
}

/// What was asked at each site, and where it ran.
fn shares(script: &SitesScript, told: &SitesVerdict) {
    let names: Vec<&str> = script.spec.sites.iter().map(|site| site.name.as_str()).collect();
    for (name, site) in names.iter().zip(&told.sites) {
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
        let (came, taken) = site.retried;
        println!("  came again {came}, not refused {taken}; served each second {}", seconds.join(" "));
    }
    let (kept, ends) = &told.kept_events;
    let ends: Vec<_> = ends.iter().map(|(how, count)| format!(", {how} {count}")).collect();
    println!("kept events acknowledged {kept}{}", ends.concat());
}

/// The timeline, and files of it and of all records where they are wanted.
fn keep(
    options: &Options,
    all: &[Record],
    lanes: &[basaltward_faulttest::TimelineLane],
) -> Result<(), Failed> {
    let mut text = String::new();
    for (name, spells) in lanes {
        text += name;
        for spell in spells {
            text += &format!("  {} {}-{}", spell.state, spell.from / 1_000, spell.until / 1_000);
        }
        text.push('\n');
    }
    if let Some(folder) = &options.records {
        create_dir_all(folder)?;
        records::write(&folder.join("records"), all)?;
        write(folder.join("timeline.txt"), &text)?;
        write(folder.join("timeline.svg"), timeline_svg(lanes))?;
    }
    print!("{text}");
    Ok(())
}

fn tell(verdict: &Verdict) -> Result<(), Failed> {
    let (asked, served, refused, failed) = verdict.calls;
    println!(
        "calls {asked}: served {served}, refused {refused}, failed {failed}, excused {}",
        verdict.excused
    );
    verdict.rule_breaches.iter().take(20).for_each(|breach| println!("{breach}"));
    verdict.violations.iter().take(20).for_each(|fault| println!("{fault}"));
    match verdict.passed() {
        true => println!("all rules kept, nothing wrong with the fleet"),
        false => return Err(Failed::Run("the run is not good".into())),
    }
    Ok(())
}
