//! A worker, or what stands between, has forgotten an idle connection without a word: it answers nothing on it, and resets
//! it later.

use crate::common::*;
use basaltward_rules::Observation;
use basaltward_standins::{Act, Exec, FrontReply};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long after a request on it a forgotten connection is reset.
const RESETS: Duration = Duration::from_millis(600);

/// The first request on a forgotten connection, of this class; gives its answer and how often it came to a worker.
fn ask(class: &'static str) -> (FrontReply, usize) {
    let forgets = Arc::new(AtomicBool::new(false));
    let script = {
        let forgets = forgets.clone();
        // One that has forgotten the connection takes nothing from it.
        move |_: usize, exec: &Exec| match forgets.swap(false, Ordering::SeqCst) {
            true => vec![Act::Wait(RESETS), Act::Reset],
            false => exec.serve(),
        }
    };
    let mut bed = Bed::new(Limits::default(), 2, script);
    serves(&mut bed);
    forgets.store(true, Ordering::SeqCst);
    let one = call(7 << 40, class);
    let told = bed.call(&one);
    // The next one has a connection that stands.
    serves(&mut bed);
    let records = bed.finish();
    let came = |what: &Observation| matches!(what, Observation::Arrived { event, .. } if *event == one.id);
    let times = records.iter().filter(|record| came(&record.observation)).count();
    assert_eq!(basaltward_rules::check(&records, &rules()), []);
    (told, times)
}

#[test]
fn the_first_request_on_a_forgotten_connection_fails_once_or_goes_elsewhere() {
    // It may have run: told so, and sent nowhere else.
    assert_eq!(ask("extract"), (FrontReply::Crashed, 1));
    // What may be repeated is.
    let (told, times) = ask("view");
    assert!(matches!(told, FrontReply::Served(_)) && times == 2, "{told:?} after {times}");
}
