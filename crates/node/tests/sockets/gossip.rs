//! Gossip between schedulers about loaded copies, which replaces probes of workers.

use crate::common::*;
use basaltward_fakes::{ExecRequest, ThriftReply};
use std::net::UdpSocket;

/// The datagram that reports a copy of the function at the worker, seen just now.
fn copy_report(function: &str, worker: &str) -> Vec<u8> {
    let hashes = [function, worker].map(|name| crc32fast::hash(name.as_bytes()).to_le_bytes());
    [&[3, 1], &hashes.concat()[..], &[0, 1]].concat()
}

fn lines(harness: &Harness, command: &str, function: &str) -> Vec<usize> {
    let matching = |line: &&String| line.starts_with(command) && line.contains(function);
    harness.workers.iter().map(|worker| worker.received_lines().iter().filter(matching).count()).collect()
}

#[test]
fn a_report_from_a_peer_replaces_probes_and_one_from_a_stranger_does_not() {
    let peer = UdpSocket::bind("127.0.0.1:0").expect("socket bound");
    peer.set_read_timeout(Some(TEST_TIMEOUT)).expect("timeout set");
    let limits = Limits { peer: peer.local_addr().ok(), ..Limits::default() };
    let mut harness = Harness::new(limits, 3, |_: usize, exec: &ExecRequest| exec.serve());
    let call_of = |number, function: &str| Call { function: function.into(), ..call(number, "view") };
    let (first, second, third) = ("00000000000000aa", "00000000000000bb", "00000000000000cc");

    // No report of a copy: the scheduler probes the workers and passes on what it finds.
    assert!(matches!(harness.call(&call_of(1, first)), ThriftReply::Served(_)));
    assert!(lines(&harness, "ensure", first).iter().sum::<usize>() > 0);
    let mut datagram = [0; 300];
    let (length, from) = peer.recv_from(&mut datagram).expect("datagram received");
    let holder = lines(&harness, "exec", first).iter().position(|n| *n > 0).expect("call reached a worker");
    let hashes = &copy_report(first, &format!("s-{holder}"))[2..10];
    assert!(
        length <= 256 && datagram[..length].windows(8).any(|part| part == hashes),
        "{:?}",
        &datagram[..length]
    );

    // Reported by a peer: no worker is probed, and the call goes to the reported one.
    peer.send_to(&copy_report(second, "s-2"), from).expect("bytes sent");
    assert!(matches!(harness.call(&call_of(2, second)), ThriftReply::Served(_)));
    assert_eq!(lines(&harness, "exec", second), [0, 0, 1]);
    assert_eq!(lines(&harness, "ensure", second), [0, 0, 0]);

    let stranger = UdpSocket::bind("127.0.0.1:0").expect("socket bound");
    stranger.send_to(&copy_report(third, "s-2"), from).expect("bytes sent");
    assert!(matches!(harness.call(&call_of(3, third)), ThriftReply::Served(_)));
    assert!(lines(&harness, "ensure", third).iter().sum::<usize>() > 0);
    assert_eq!(harness.check_rules(), []);
}
