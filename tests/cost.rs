//! What decisions cost, counted in workers weighed: a figure that repeats, where time does not.
mod common;

use basaltward::*;
use common::*;

const WORKERS: usize = 120;

/// A scheduler of many at a fleet of 120, with so many functions whose calls wait for loads that never end.
fn with_waiting(functions: u64) -> Bed {
    let mut settings = settings(Repeat::Safe);
    settings.schedulers = 300;
    settings.classes[0].deadline = 60 * S;
    settings.classes[0].aim = 30 * S;
    let mut bed = Bed::new(settings, WORKERS);
    for id in 0..functions {
        let name = format!("stuck{id}");
        let request = Request { load_time: Some(20 * S), ..Request::new(id, &name, 400.0, 2, 60 * S) };
        let asked = bed.event(Event::Request(request));
        let ordered = bed.answer_asks(&asked, "nobody", 0);
        assert_eq!(loads(&ordered).len(), 1, "the call waits for a load");
    }
    bed
}

/// Weighed in two seconds of calls that are served at once, of answers to questions, and of sweeps.
fn looks(functions: u64) -> u64 {
    let mut bed = with_waiting(functions);
    let asked = bed.request(1_000, "hot", 60 * S);
    let holder = asked.iter().find_map(|a| match a {
        Action::Load { worker, .. } => Some(worker.to_string()),
        _ => None,
    });
    let holder = holder.expect("a question");
    let sent = bed.answer_asks(&asked, &holder, 1);
    assert_eq!(sends(&sent), [(1_000, holder.clone())]);
    bed.outcome(1_000, 0, &holder, Code::Ok, 5 * MS);
    let before = bed.controller.placements_evaluated();
    for id in 1_001..1_041 {
        bed.request(id, "hot", 60 * S);
        bed.advance(5 * MS);
        bed.outcome(id, 0, &holder, Code::Ok, 5 * MS);
        bed.loaded(&"w1".into(), "cool", 0, Code::Ok);
        bed.advance(45 * MS);
    }
    bed.controller.placements_evaluated() - before
}

/// Of 300 schedulers the few with most calls fell behind for seconds while a zone was cut off: each answer to
/// a question weighed all 120 workers for each function that waited, and their own calls got no answer.
#[test]
fn calls_that_can_go_nowhere_weigh_no_worker_again_and_again() {
    let (none, many) = (looks(0), looks(100));
    assert!(none > 0, "calls that go are weighed");
    assert!(many <= none * 2, "{none} with none that waits, {many} with a hundred");
}

#[test]
fn what_waits_goes_as_soon_as_its_copy_stands() {
    let mut bed = with_waiting(5);
    bed.advance(700 * MS);
    let home = |a: &(Micros, Action)| match &a.1 {
        Action::Load { worker, function, count } if *count > 0 && function.as_str() == "stuck3" => {
            Some(worker.clone())
        }
        _ => None,
    };
    let worker = bed.log.iter().find_map(home).expect("an order");
    let out = bed.loaded(&worker, "stuck3", 1, Code::Ok);
    assert_eq!(sends(&out), [(3, worker.to_string())]);
}
