//! A scheduler that says it is ready serves: after its start, whatever state discovery is in, and after a new
//! configuration. After a stall: in the program's own tests.

use crate::common::*;
use basaltward_rules::check;
use basaltward_standins::{Board, FrontClient, FrontReply};
use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

/// What the front waits for before it takes a scheduler in.
fn is_ready(client: &mut FrontClient) -> bool {
    client.is_ready().expect("told").expect("it stands")
}

fn ready_in_time(client: &mut FrontClient) {
    let until = Instant::now() + PATIENCE;
    while !is_ready(client) {
        assert!(Instant::now() < until, "never ready");
        // A front asks again after a while.
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// It has said that it is ready: the very next call is served, on a connection of its own.
fn serves_at_once(bed: &mut Bed, number: u64, when: &str) {
    let reply = bed.call(&call(number, ["view", "extract"][number as usize % 2]));
    assert!(matches!(reply, FrontReply::Served(_)), "{when}: {reply:?}");
}

/// Nobody listens there.
fn closed() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr()).expect("a port")
}

/// What the bulletin tells of the workers, none of which the configuration knows.
type Tell = fn(&Board, &str);

#[test]
fn one_that_knows_no_worker_is_not_ready_until_it_is_told_of_one_that_takes_calls() {
    let tells: [(&str, Tell); 2] = [
        ("a change", |board, entry| board.tell(entry)),
        ("the whole list", |board, entry| board.tell_whole(entry)),
    ];
    for (what, tell) in tells {
        let nobody = |text: String| {
            let (head, tail) = text.split_once("\"targets\":[").expect("a list");
            let (_, tail) = tail.split_once("]}}]}").expect("its end");
            format!("{head}\"targets\":[]}}}}]}}{tail}")
        };
        let mut bed = Bed::configured(Limits::default(), 1, nobody, |_, exec| exec.serve());
        let mut front = bed.client();
        let until = Instant::now() + Duration::from_millis(200);
        while Instant::now() < until {
            assert!(!is_ready(&mut front), "{what}: it can serve nobody");
            std::thread::sleep(Duration::from_millis(5));
        }
        // One that drains takes no calls.
        let at = bed.workers[0].address();
        bed.board.tell(&target("s-9", closed(), "Terminating"));
        bed.wait(
            |what| matches!(what, basaltward_rules::Observation::WorkerState { worker, .. } if worker == "s-9"),
        );
        assert!(!is_ready(&mut front), "{what}: it can serve nobody yet");
        tell(&bed.board, &target("s-0", at, "Ready"));
        ready_in_time(&mut front);
        serves_at_once(&mut bed, 1, what);
        assert_eq!(bed.judge(), []);
    }
}

#[test]
fn one_that_is_ready_while_discovery_is_down_or_a_worker_has_gone_serves() {
    let mute = TcpListener::bind("127.0.0.1:0").expect("a port");
    for bulletin in [closed(), mute.local_addr().expect("an address")] {
        let down = |text: String| {
            let (head, tail) = text.split_once("\"bulletin\":\"").expect("an address");
            let (_, tail) = tail.split_once('"').expect("its end");
            // One of the workers that it knows has gone.
            let known = format!("\"targets\":[{},", target("s-9", closed(), "Ready"));
            format!("{head}\"bulletin\":\"{bulletin}\"{tail}").replace("\"targets\":[", &known)
        };
        let mut bed = Bed::configured(Limits::default(), 1, down, |_, exec| exec.serve());
        ready_in_time(&mut bed.client());
        for number in 1..5 {
            serves_at_once(&mut bed, number, "discovery is down");
        }
        assert_eq!(check(&bed.finish(), &rules()), []);
    }
}

#[test]
fn one_that_is_ready_after_a_new_configuration_serves() {
    let mut bed = Bed::new(Limits::default(), 2, |_, exec| exec.serve());
    let mut front = bed.client();
    ready_in_time(&mut front);
    let (there, first) =
        (Board::start(2).expect("a bulletin"), std::fs::read_to_string(&bed.config).expect("read"));
    let old = bed.board.address().to_string();
    let moved = |to: SocketAddr| first.replace(&old, &to.to_string());
    // One that follows, one that refuses, one that is cut off in the middle of its file, and the first again.
    let files = [moved(there.address()), moved(closed()), first[..first.len() / 2].to_owned(), first.clone()];
    for (number, file) in files.iter().enumerate() {
        std::fs::write(&bed.config, file).expect("written");
        bed.control.reload();
        for again in 0..5 {
            ready_in_time(&mut front);
            serves_at_once(&mut bed, 10 * number as u64 + again, &format!("configuration {number}"));
        }
    }
    assert_eq!(bed.judge(), []);
}
