//! Many processes of the program with faults between them, and faults planted that the judge must find.
use basaltward_membership::{FleetShare, MemberState};
use basaltward_trial::{
    Bed, BedSpec, Change, Fleet, Loss, Party, Script, Stream, Told, Verdict, Way, judge, load, run,
};
use rustix::process::{Pid, Signal, kill_process};
use std::path::Path;
use std::time::Duration;

const EIGHT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/trial/eight.xml");

fn spec(schedulers: usize, workers: usize) -> BedSpec {
    let program = env!("CARGO_BIN_EXE_basaltward").into();
    BedSpec { program, schedulers, workers, work_ms: 5, pause_ms: 5, seed: 1, bounds: None }
}

fn finished(mut bed: Bed) -> (Bed, Verdict) {
    let records = bed.finish().expect("it ends");
    let verdict = judge(&bed, &records);
    (bed, verdict)
}

/// Waits until workers have begun so many calls.
fn ran(bed: &Bed, count: usize) {
    let calls =
        |r: &basaltward_rules::Record| matches!(r.observation, basaltward_rules::Observation::Ran { .. });
    let enough = |all: &[_]| all.iter().filter(|r| calls(r)).count() >= count;
    assert!(bed.recorder.wait_until(Duration::from_secs(20), enough), "{count} calls run");
}

#[test]
fn eight_processes_keep_the_rules_while_parts_fail() {
    let told = load(Path::new(EIGHT), Path::new(env!("CARGO_BIN_EXE_basaltward")), Some(3));
    let Told::Fleet(Script { fleet, span, steps }) = told.expect("a good script") else {
        panic!("a script of a fleet");
    };
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
    let now = bed.recorder.wait_until(Duration::from_millis(300), |_| false);
    assert!(!now);
    let (_, verdict) = finished(bed);
    assert_eq!(verdict.fleet, [Fleet::Crashed("n1".into())]);
}

#[test]
fn an_effect_twice_is_found() {
    let bed = Bed::start_as(spec(1, 1), |exec| {
        let mut acts = vec![basaltward_fakes::WorkerAction::Run];
        acts.extend(exec.serve());
        acts
    });
    let mut bed = bed.expect("a bed");
    bed.call();
    ran(&bed, 20);
    let (_, verdict) = finished(bed);
    assert!(
        verdict.rules.iter().any(|b| b.rule == 2 && b.message.contains("ran 2 times")),
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
    assert!(bed.ways.leaks.is_empty());
    assert_eq!(verdict.excused, 0);
}

/// What a fault leads to: all that run and reach one another agree again, in this time.
const AGREE: Duration = Duration::from_secs(20);

fn all(bed: &Bed) -> Vec<usize> {
    (0..bed.schedulers.len()).collect()
}

#[test]
fn eight_processes_agree_on_deaths_stalls_cuts_and_returns_with_calls_in_flight() {
    let mut bed = Bed::start(spec(8, 3)).expect("a bed");
    bed.call();
    let everybody = all(&bed);
    assert!(bed.agreement(&everybody, AGREE).is_some(), "start");
    // What all have served is told to each, by the board.
    let until = std::time::Instant::now() + AGREE;
    let told =
        |bed: &Bed| bed.view(5).is_ok_and(|view| view.calls.first().is_some_and(|served| *served > 500));
    while !told(&bed) {
        assert!(std::time::Instant::now() < until, "{:?}", bed.view(5));
        std::thread::sleep(Duration::from_millis(50));
    }
    bed.loss_of_all(Loss { loss_rate: 0.05, duplicate_rate: 0.02, ..Loss::default() });
    bed.kill(2);
    assert!(bed.agreement(&everybody, AGREE).is_some(), "a death");
    bed.up(2).expect("it comes up");
    assert!(bed.agreement(&everybody, AGREE).is_some(), "a return");
    bed.schedulers[3].stall();
    assert!(bed.agreement(&everybody, AGREE).is_some(), "one stands still");
    bed.schedulers[3].resume();
    assert!(bed.agreement(&everybody, AGREE).is_some(), "it goes on");
    let refuted = bed.view(3).expect("it answers").members[3].incarnation.bump;
    assert!(refuted > 0, "it was taken for gone and has said otherwise");
    bed.cut(&[5, 6, 7], true);
    assert!(bed.agreement(&[0, 1, 2, 3, 4], AGREE).is_some(), "the larger part");
    assert!(bed.agreement(&[5, 6, 7], AGREE).is_some(), "the smaller part");
    let parts = [0, 6].map(|i| bed.view(i).expect("it answers").part);
    assert_eq!(parts, [FleetShare::Majority, FleetShare::Minority]);
    bed.cut(&[5, 6, 7], false);
    assert!(bed.agreement(&everybody, AGREE).is_some(), "healed");
    bed.stop(1).expect("it ends");
    assert!(bed.agreement(&everybody, AGREE).is_some(), "one has left");
    let left = bed.view(0).expect("it answers").members[1].state;
    assert_eq!(left, MemberState::Stopped);
    let (bed, verdict) = finished(bed);
    assert!(verdict.is_good(), "{:?} {:?}", verdict.rules, verdict.fleet);
    let crossed: u64 = bed.ways.relay.counts().values().map(|c| c.datagrams.0).sum();
    assert!(crossed > 500, "{crossed} datagrams crossed the relays");
}

/// A planted fault: one member's word comes to another as a third one's.
#[test]
fn a_word_from_anothers_place_is_found_by_the_judge() {
    let bed = Bed::start(spec(3, 1)).expect("a bed");
    let everybody = all(&bed);
    assert!(bed.agreement(&everybody, AGREE).is_some(), "start");
    let reached = bed.reach(0, 1);
    let stranger = std::net::UdpSocket::bind("127.0.0.1:0").expect("bound");
    stranger.send_to(b"\x01 not of us", reached).expect("sent");
    let strange = |bed: &Bed| bed.ways.relay.counts().values().map(|c| c.strange).sum::<u64>();
    let until = std::time::Instant::now() + AGREE;
    while strange(&bed) == 0 && std::time::Instant::now() < until {
        std::thread::sleep(Duration::from_millis(5));
    }
    let (_, verdict) = finished(bed);
    let way = Way { from: Party::Scheduler(0), to: Party::Scheduler(1) };
    assert_eq!(verdict.fleet, [Fleet::Strange(way, 1)]);
}
