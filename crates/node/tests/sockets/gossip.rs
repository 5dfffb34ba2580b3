//! What other schedulers tell of copies, in place of questions to workers.

use crate::common::*;
use basaltward_standins::{Exec, FrontReply};
use std::net::UdpSocket;

/// A word as it goes: a copy of the function stands at the worker, seen just now.
fn word(function: &str, worker: &str) -> Vec<u8> {
    let marks = [function, worker].map(|name| crc32fast::hash(name.as_bytes()).to_le_bytes());
    [&[3, 1], &marks.concat()[..], &[0, 1]].concat()
}

fn lines(harness: &Harness, word: &str, function: &str) -> Vec<usize> {
    let of = |line: &&String| line.starts_with(word) && line.contains(function);
    harness.workers.iter().map(|worker| worker.lines().iter().filter(of).count()).collect()
}

#[test]
fn a_fellows_word_takes_the_place_of_questions_and_a_strangers_does_not() {
    let fellow = UdpSocket::bind("127.0.0.1:0").expect("bound");
    fellow.set_read_timeout(Some(TEST_TIMEOUT)).expect("set");
    let limits = Limits { peer: fellow.local_addr().ok(), ..Limits::default() };
    let mut harness = Harness::new(limits, 3, |_: usize, exec: &Exec| exec.serve());
    let of = |number, function: &str| Call { function: function.into(), ..call(number, "view") };
    let (first, second, third) = ("00000000000000aa", "00000000000000bb", "00000000000000cc");

    // Nobody has told of it: the workers are asked, and what is found is told on.
    assert!(matches!(harness.call(&of(1, first)), FrontReply::Served(_)));
    assert!(lines(&harness, "ensure", first).iter().sum::<usize>() > 0);
    let mut told = [0; 300];
    let (length, from) = fellow.recv_from(&mut told).expect("a datagram");
    let holder = lines(&harness, "exec", first).iter().position(|n| *n > 0).expect("it went somewhere");
    let marks = &word(first, &format!("s-{holder}"))[2..10];
    assert!(length <= 256 && told[..length].windows(8).any(|part| part == marks), "{:?}", &told[..length]);

    // Told of by a fellow: no worker is asked, and the call goes there.
    fellow.send_to(&word(second, "s-2"), from).expect("sent");
    assert!(matches!(harness.call(&of(2, second)), FrontReply::Served(_)));
    assert_eq!(lines(&harness, "exec", second), [0, 0, 1]);
    assert_eq!(lines(&harness, "ensure", second), [0, 0, 0]);

    let stranger = UdpSocket::bind("127.0.0.1:0").expect("bound");
    stranger.send_to(&word(third, "s-2"), from).expect("sent");
    assert!(matches!(harness.call(&of(3, third)), FrontReply::Served(_)));
    assert!(lines(&harness, "ensure", third).iter().sum::<usize>() > 0);
    assert_eq!(harness.check_rules(), []);
}
