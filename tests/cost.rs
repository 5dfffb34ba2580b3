//! Cost of decisions, counted in evaluated workers: unlike time, the count is reproducible.
mod common;

use basaltward::*;
use common::*;

const WORKERS: usize = 120;

/// One of many schedulers with a fleet of 120 workers and this number of functions whose calls wait for loads that
/// never end.
fn with_waiting(functions: u64) -> TestBed {
    let mut settings = settings(Repeat::Safe);
    settings.schedulers = 300;
    settings.classes[0].deadline = 60 * S;
    settings.classes[0].aim = 30 * S;
    let mut bed = TestBed::new(settings, WORKERS);
    for id in 0..functions {
        let name = format!("stuck{id}");
        let request = Request { load_time: Some(20 * S), ..Request::new(id, &name, 400.0, 2, 60 * S) };
        let queries = bed.event(Event::Request(request));
        let ordered = bed.answer_queries(&queries, "nobody", 0);
        assert_eq!(loads(&ordered).len(), 1, "the call waits for a load");
    }
    bed
}

/// Evaluations during two seconds of calls that are served at once, query answers and sweeps.
fn evaluations(functions: u64) -> u64 {
    let mut bed = with_waiting(functions);
    let queries = bed.request(1_000, "hot", 60 * S);
    let holder = queries.iter().find_map(|a| match a {
        Action::Load { worker, .. } => Some(worker.to_string()),
        _ => None,
    });
    let holder = holder.expect("a query");
    let sent = bed.answer_queries(&queries, &holder, 1);
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

/// While a zone was cut off, the busiest few of 300 schedulers fell behind by seconds: each query answer made them
/// evaluate all 120 workers for each waiting function, and their own calls got no answer.
#[test]
fn waiting_calls_do_not_evaluate_the_fleet_repeatedly() {
    let (none, many) = (evaluations(0), evaluations(100));
    assert!(none > 0, "sent calls are evaluated");
    assert!(many <= none * 2, "{none} with no waiting function, {many} with a hundred");
}

#[test]
fn waiting_calls_are_sent_once_their_copy_is_loaded() {
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
