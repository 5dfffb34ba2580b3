use crate::args::Trial as Options;
use crate::{Failed, records};
use basaltward_net::monotonic;
use basaltward_trial::{judge, lanes, load, picture, run as play};
use std::fs::{create_dir_all, write};

/// Runs a fleet of processes of this program by a script and judges it.
pub fn run(options: &Options) -> Result<(), Failed> {
    let program = std::env::current_exe()?;
    let script =
        load(&options.script, &program, options.seed).map_err(|error| Failed::Input(error.to_string()))?;
    let fleet = &script.fleet;
    println!(
        "{}: {} schedulers, {} workers, {} steps, seed {}",
        options.script.display(),
        fleet.schedulers,
        fleet.workers,
        script.steps.len(),
        fleet.seed
    );
    let mut bed = play(&script)?;
    let end = monotonic();
    let all = bed.finish()?;
    let verdict = judge(&bed, &all);
    let lanes = lanes(&bed, end);
    let mut text = String::new();
    for (name, spells) in &lanes {
        text += name;
        for spell in spells {
            text += &format!("  {} {}-{}", spell.what, spell.from / 1_000, spell.until / 1_000);
        }
        text.push('\n');
    }
    if let Some(folder) = &options.records {
        create_dir_all(folder)?;
        records::write(&folder.join("records"), &all)?;
        write(folder.join("timeline.txt"), &text)?;
        write(folder.join("timeline.svg"), picture(&lanes))?;
    }
    print!("{text}");
    let (asked, served, refused, failed) = verdict.calls;
    println!(
        "calls {asked}: served {served}, refused {refused}, failed {failed}, excused {}",
        verdict.excused
    );
    verdict.rules.iter().take(20).for_each(|breach| println!("{breach}"));
    verdict.fleet.iter().take(20).for_each(|fault| println!("{fault}"));
    match verdict.is_good() {
        true => println!("all rules kept, nothing wrong with the fleet"),
        false => return Err(Failed::Run("the run is not good".into())),
    }
    Ok(())
}
