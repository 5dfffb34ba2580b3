//! Clients that send invalid input: each gets a rejection, an error or a closed connection, and other clients are not
//! affected.

use crate::common::*;
use basaltward_fakes::ThriftReply;
use std::time::{Duration, Instant};

const CLOSED_WITHIN: Duration = Duration::from_secs(3);

/// Valid header fields, of which `changed` has another value or, for `None`, is left out.
fn fields<'a>(changed: &'a str, to: Option<&'a str>) -> Vec<(&'a str, &'a str)> {
    let all = [
        ("kind", "view"),
        ("req", "00000000000000aa"),
        ("timeout", "900"),
        ("subject", "7f3a9c21e0b4d655"),
        ("props", "memory_mb:64;lanes:8;load_ms:20"),
    ];
    let one = |(name, value)| match to {
        _ if name != changed => Some((name, value)),
        to => to.map(|to| (name, to)),
    };
    all.into_iter().filter_map(one).collect()
}

#[test]
fn invalid_requests_are_rejected_and_reach_no_worker() {
    let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
    let invalid = [
        ("kind", None),
        ("kind", Some("nobody")),
        ("req", None),
        ("req", Some("xyz")),
        ("req", Some("00000000000000AA")),
        ("timeout", None),
        ("timeout", Some("0")),
        ("timeout", Some("-5")),
        ("timeout", Some("soon")),
        ("timeout", Some("18446744073709551615")),
        ("subject", None),
        ("subject", Some("7f3a")),
        ("props", None),
        ("props", Some("memory_mb:NaN;lanes:8")),
        ("props", Some("memory_mb:inf;lanes:8")),
        ("props", Some("memory_mb:-1;lanes:8")),
        ("props", Some("memory_mb:64;lanes:0")),
        ("props", Some("memory_mb:1e300;lanes:8")),
        ("props", Some("lanes:8")),
    ];
    for (name, to) in invalid {
        let mut client = harness.client();
        client.submit(&fields(name, to), b"x").expect("bytes sent");
        assert_eq!(
            client.read().expect("reply read"),
            Some((1, ThriftReply::Rejected(None))),
            "{name} {to:?}"
        );
    }
    let mut client = harness.client();
    client.submit(&fields("", None), &[0; (16 << 10) + 1]).expect("bytes sent");
    assert_eq!(client.read().expect("reply read"), Some((1, ThriftReply::Rejected(None))));
    assert!(harness.workers[0].received_lines().iter().all(|line| !line.starts_with("exec")));
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn unparsable_input_closes_the_connection_within_a_bound() {
    let mut harness = Harness::new(Limits::default(), 1, |_, exec| exec.serve());
    let bad: [&[u8]; 9] = [
        b"GET / HTTP/1.1\r\n\r\n",
        b"\xff\xff\xff\xff",
        b"\0\0\0\0",
        b"\x03\x93\x87\x00and sixty megabytes that nobody waits for",
        b"\0\0\0\x05\x80\x01\0\x01\0",
        b"\0\0\0\x10\x80\x01\0\x02\0\0\0\0\0\0\0\x01\0\0\0\0",
        // Half a request, a length alone, nothing at all.
        b"\0\0\0\x40\x80\x01\0\x01\0\0\0\x06sub",
        b"\0\0",
        b"",
    ];
    let mut clients: Vec<_> = bad.iter().map(|_| harness.client()).collect();
    let began = Instant::now();
    for (client, bytes) in clients.iter_mut().zip(bad) {
        client.send_raw_bytes(bytes).expect("bytes sent");
    }
    for (client, bytes) in clients.iter_mut().zip(bad) {
        assert_eq!(client.read().expect("connection closed cleanly"), None, "{bytes:?}");
    }
    assert!(began.elapsed() < CLOSED_WITHIN, "{:?}", began.elapsed());
    assert_eq!(harness.check_rules(), []);
}

#[test]
fn duplicate_ids_and_too_many_open_requests_are_not_served() {
    let harness = Harness::new(Limits::default(), 1, |_, _| vec![]);
    // An id that is already open, from another connection and with another body.
    let (mut first, mut second) = (harness.client(), harness.client());
    first.submit(&fields("", None), b"mine").expect("bytes sent");
    harness.wait_for(|what| matches!(what, basaltward_rules::Observation::Accepted { .. }));
    second.submit(&fields("", None), b"another").expect("bytes sent");
    assert_eq!(second.read().expect("reply read"), Some((1, ThriftReply::Crashed)));
    // The same sequence id twice.
    let mut client = harness.client();
    let mut wire = bytes::BytesMut::new();
    for id in ["00000000000000ab", "00000000000000ac"] {
        basaltward_thrift::write::submit(&mut wire, 7, &fields("req", Some(id)), b"x");
    }
    client.send_raw_bytes(&wire).expect("bytes sent");
    assert_eq!(client.read().expect("connection closed cleanly"), None);
    // More requests than may be open on a connection.
    let mut client = harness.client();
    for n in 0..200 {
        let id = format!("{:016x}", 0x1000 + n);
        // The scheduler may have closed the connection already.
        let _ = client.submit(&fields("req", Some(&id)), b"x");
    }
    assert_eq!(client.read().unwrap_or(None), None);
    harness.control.stop();
}

#[test]
fn valid_clients_are_served_despite_many_silent_or_invalid_ones() {
    let mut harness = Harness::new(Limits { sockets: 64, ..Limits::default() }, 1, |_, exec| exec.serve());
    let mut silent_clients = Vec::new();
    for number in 0..150 {
        // Some connect and stay silent; others retry at once after each rejection.
        silent_clients.push(harness.client());
        let mut invalid = harness.client();
        for _ in 0..3 {
            let _ = invalid.submit(&fields("kind", Some("nobody")), b"x");
        }
        let call = call(number, "view");
        assert!(matches!(harness.call(&call), ThriftReply::Served(_)), "{number}");
    }
    assert_eq!(harness.check_rules(), []);
}
