//! Workers that come, drain and go, the bulletin that tells it, new configurations and planned restarts.

use crate::common::*;
use basaltward_rules::{Observation, Record, check};
use basaltward_standins::{Act, Board, Exec, FrontReply, LineWorker};
use std::time::Duration;

fn serve(_: usize, exec: &Exec) -> Vec<Act> {
    exec.serve()
}

/// Waits until the scheduler was told that a worker has this state.
fn told(bed: &Bed, uid: &str, wanted: &str) {
    bed.wait(
        |what| matches!(what, Observation::WorkerState { worker, state } if worker == uid && state == wanted),
    );
}

/// What was written to a worker after the scheduler was told of its state.
fn written_after<'a>(records: &'a [Record], uid: &str, wanted: &str) -> Vec<&'a Record> {
    let told = |r: &&Record| matches!(&r.observation, Observation::WorkerState { worker, state } if worker == uid && state == wanted);
    let to = |r: &&Record| match &r.observation {
        Observation::Sent { worker, .. } | Observation::Ordered { worker, .. } => worker == uid,
        _ => false,
    };
    records.iter().skip_while(|r| !told(r)).filter(to).collect()
}

#[test]
fn a_draining_worker_gets_nothing_new_and_a_new_one_stands_at_its_address() {
    let mut bed = Bed::new(Limits::default(), 2, serve);
    for number in 0..20 {
        assert!(matches!(bed.call(&call(number, "view")), FrontReply::Served(_)));
    }
    let at = bed.workers[0].address();
    bed.board.tell(&target("s-0", at, "Terminating"));
    told(&bed, "s-0", "leaving");
    // The scheduler ends its connections to it; once the worker has as well, it has read what was on its way.
    closed(at);
    let before = bed.workers[0].lines().len();
    for number in 100..140 {
        assert!(matches!(bed.call(&call(number, "extract")), FrontReply::Served(_)));
    }
    assert_eq!(bed.workers[0].lines().len(), before);
    // Another worker with a name of its own at the same address, and the other one goes.
    bed.board.tell(&target("s-0", at, "Gone"));
    bed.board.tell(&target("s-9", at, "Ready"));
    bed.board.tell(&target("s-1", bed.workers[1].address(), "Gone"));
    told(&bed, "s-1", "gone");
    for number in 200..220 {
        assert!(matches!(bed.call(&call(number, "view")), FrontReply::Served(_)));
    }
    assert!(bed.workers[0].lines().len() > before);
    let records = bed.finish();
    assert_eq!(written_after(&records, "s-0", "leaving"), Vec::<&Record>::new());
    // The stand-in still goes by its old name, so the two are told apart by the scheduler's records alone.
    assert_eq!(check(&records, &rules()), []);
}

#[test]
fn a_bulletin_cut_garbled_or_silent_is_asked_again_and_nothing_is_lost() {
    let mut bed = Bed::new(Limits::default(), 1, serve);
    let new = LineWorker::start("s-7", bed.recorder.clone(), |exec| exec.serve()).expect("a worker");
    bed.board.tell(&target("s-7", new.address(), "Ready"));
    told(&bed, "s-7", "active");
    bed.board.cut();
    bed.board.tell(&target("s-8", new.address(), "Ready"));
    told(&bed, "s-8", "active");
    bed.board.garble("{\"no\":4,\"roster\":{\"rev\":4,\"targ\n");
    bed.board.tell(&target("s-10", new.address(), "Ready"));
    told(&bed, "s-10", "active");
    // Silent while open: left after its bound, and what was missed is told by the next connection.
    bed.board.silence(true);
    bed.board.tell(&target("s-11", new.address(), "Ready"));
    bed.board.silence(false);
    told(&bed, "s-11", "active");
    assert!(matches!(bed.call(&call(1, "view")), FrontReply::Served(_)));
    let asked = bed.board.asked();
    assert!(asked.len() >= 3 && asked[0] == "after 1", "{asked:?}");
    assert_eq!(bed.judge(), []);
}

#[test]
fn a_new_configuration_moves_to_its_bulletin_whole_or_not_at_all() {
    let mut bed = Bed::new(Limits::default(), 1, serve);
    assert!(matches!(bed.call(&call(1, "view")), FrontReply::Served(_)));
    let next = Board::start(2).expect("a bulletin");
    let new = LineWorker::start("s-5", bed.recorder.clone(), |exec| exec.serve()).expect("a worker");
    next.tell(&target("s-5", new.address(), "Ready"));
    let whole = text(Limits::default(), next.address(), "");
    // Half written at the signal, whole a little later; told twice, as signals may be.
    std::fs::write(&bed.config, &whole[..whole.len() / 2]).expect("written");
    bed.control.reload();
    bed.control.reload();
    assert!(matches!(bed.call(&call(2, "view")), FrontReply::Served(_)));
    std::fs::write(&bed.config, &whole).expect("written");
    told(&bed, "s-5", "active");
    assert_eq!(next.asked(), ["after 1"]);
    // The worker known before stands: numbers go on.
    bed.board.cut();
    next.tell(&target("s-5", new.address(), "Gone"));
    told(&bed, "s-5", "gone");
    assert!(matches!(bed.call(&call(3, "view")), FrontReply::Served(_)));
    assert_eq!(bed.judge(), []);
}

#[test]
fn a_planned_restart_answers_all_who_still_come() {
    let script = |_: usize, exec: &Exec| {
        let mut acts = vec![Act::Wait(Duration::from_millis(50))];
        acts.extend(exec.serve());
        acts
    };
    let mut bed = Bed::new(Limits::default(), 2, script);
    let mut kept = bed.client();
    let first = bed.submit(&mut kept, &call(1, "extract"));
    bed.wait(|what| matches!(what, Observation::Sent { .. }));
    bed.control.stop();
    bed.control.reload();
    bed.control.stop();
    bed.wait(|what| matches!(what, Observation::Stopping));
    assert!(matches!(bed.read(&mut kept, &[&first]), Some((_, FrontReply::Served(_)))));
    // On the open connection and on new ones, as for some tenths of a second they come.
    for number in 2..4 {
        let asked = bed.submit(&mut kept, &call(number, "extract"));
        assert!(matches!(bed.read(&mut kept, &[&asked]), Some((_, FrontReply::Served(_)))));
        assert!(matches!(bed.call(&call(100 + number, "view")), FrontReply::Served(_)));
    }
    assert_eq!(bed.judge(), []);
}

#[test]
fn a_kept_connection_does_not_give_way_to_a_crowd_while_it_stops() {
    let script = |_: usize, exec: &Exec| {
        let mut acts = vec![Act::Wait(Duration::from_millis(50))];
        acts.extend(exec.serve());
        acts
    };
    let mut bed = Bed::new(Limits { sockets: 64, ..Limits::default() }, 1, script);
    let mut kept = bed.client();
    kept.heartbeat().and_then(|_| kept.read()).expect("alive");
    // Idle for longer than any other by now, and for as long as makes one give way.
    for number in 0..8 {
        assert!(matches!(bed.call(&call(number, "view")), FrontReply::Served(_)));
    }
    bed.control.stop();
    bed.wait(|what| matches!(what, Observation::Stopping));
    let crowd: Vec<_> = (0..40).map(|_| bed.client()).collect();
    let asked = bed.submit(&mut kept, &call(100, "extract"));
    assert!(matches!(bed.read(&mut kept, &[&asked]), Some((_, FrontReply::Served(_)))));
    drop(crowd);
    assert_eq!(bed.judge(), []);
}
