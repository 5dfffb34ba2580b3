//! Many processes of the program with faults between them, and faults planted that the judge must find.
use basaltward_trial::{Bed, BedSpec, Change, Fleet, Party, Script, Stream, Verdict, Way, judge, load, run};
use rustix::process::{Pid, Signal, kill_process};
use std::path::Path;
use std::time::Duration;

const EIGHT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/trial/eight.xml");

fn spec(schedulers: usize, workers: usize) -> BedSpec {
    let program = env!("CARGO_BIN_EXE_basaltward").into();
    BedSpec { program, schedulers, workers, work_ms: 5, pause_ms: 5, seed: 1 }
}

fn finished(mut bed: Bed) -> (Bed, Verdict) {
    let records = bed.finish().expect("it ends");
    let verdict = judge(&bed, &records);
    (bed, verdict)
}

/// Waits until workers have begun so many calls.
fn ran(bed: &Bed, count: usize) {
    let calls = |r: &basaltward_rules::Record| matches!(r.what, basaltward_rules::What::Ran { .. });
    let enough = |all: &[_]| all.iter().filter(|r| calls(r)).count() >= count;
    assert!(bed.recorder.wait(Duration::from_secs(20), enough), "{count} calls run");
}

#[test]
fn eight_processes_keep_the_rules_while_parts_fail() {
    let Script { fleet, span, steps } =
        load(Path::new(EIGHT), Path::new(env!("CARGO_BIN_EXE_basaltward")), Some(3)).expect("a good script");
    let bed = run(&Script { fleet, span, steps }).expect("it runs");
    let (bed, verdict) = finished(bed);
    assert!(verdict.is_good(), "{:?} {:?}", verdict.rules, verdict.fleet);
    let (asked, served, ..) = verdict.calls;
    assert!(served * 10 > asked * 8, "{served} of {asked} served");
    let ups = |p: &basaltward_trial::Process| p.changes.iter().filter(|(_, c)| *c == Change::Up).count();
    assert_eq!(
        bed.schedulers.iter().filter(|p| ups(p) == 2).count(),
        2,
        "one killed and one restarted are back"
    );
}

#[test]
fn a_process_that_ends_by_itself_is_found() {
    let mut bed = Bed::start(spec(2, 1)).expect("a bed");
    bed.call();
    ran(&bed, 20);
    // Behind the bed's back.
    let pid = bed.schedulers[1].pid().and_then(|pid| Pid::from_raw(pid as i32)).expect("it runs");
    kill_process(pid, Signal::KILL).expect("killed");
    let now = bed.recorder.wait(Duration::from_millis(300), |_| false);
    assert!(!now);
    let (_, verdict) = finished(bed);
    assert_eq!(verdict.fleet, [Fleet::Crashed("n1".into())]);
}

#[test]
fn an_effect_twice_is_found() {
    let bed = Bed::start_as(spec(1, 1), |exec| {
        let mut acts = vec![basaltward_standins::Act::Run];
        acts.extend(exec.serve());
        acts
    });
    let mut bed = bed.expect("a bed");
    bed.call();
    ran(&bed, 20);
    let (_, verdict) = finished(bed);
    assert!(
        verdict.rules.iter().any(|b| b.rule == 2 && b.what.contains("ran 2 times")),
        "{:?}",
        verdict.rules
    );
    assert!(verdict.rules.iter().all(|b| b.rule == 2), "{:?}", verdict.rules);
}

/// The judge excuses what a stall of the bed's own keeps from its answer, and nothing else.
#[test]
fn a_stall_that_the_bed_knows_nothing_of_breaks_the_rule_on_answers() {
    let verdicts = [true, false].map(|known| {
        let mut bed = Bed::start(spec(2, 1)).expect("a bed");
        bed.call();
        ran(&bed, 20);
        let pid = bed.schedulers[0].pid().and_then(|pid| Pid::from_raw(pid as i32)).expect("it runs");
        if known {
            bed.schedulers[0].stall()
        } else {
            kill_process(pid, Signal::STOP).expect("stopped")
        }
        std::thread::sleep(Duration::from_millis(3_600));
        if known {
            bed.schedulers[0].resume()
        } else {
            kill_process(pid, Signal::CONT).expect("resumed")
        }
        finished(bed).1
    });
    assert!(verdicts[0].is_good() && verdicts[0].excused > 0, "{:?}", verdicts[0]);
    assert!(verdicts[1].rules.iter().any(|b| b.rule == 1), "{:?}", verdicts[1]);
}

#[test]
fn a_cut_worker_holds_up_no_call() {
    let mut bed = Bed::start(spec(2, 3)).expect("a bed");
    bed.call();
    ran(&bed, 100);
    for (number, stream) in [(0, Stream::Stall), (1, Stream::Refuse)] {
        let way = Way { from: Party::Scheduler(number), to: Party::Worker(0) };
        bed.stream(way, stream);
    }
    ran(&bed, 400);
    for number in 0..2 {
        bed.stream(Way { from: Party::Scheduler(number), to: Party::Worker(0) }, Stream::Pass);
    }
    ran(&bed, 500);
    let (bed, verdict) = finished(bed);
    assert!(verdict.is_good(), "{:?} {:?}", verdict.rules, verdict.fleet);
    assert!(bed.leaks.is_empty());
    assert_eq!(verdict.excused, 0);
}
