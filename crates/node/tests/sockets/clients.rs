//! Clients that send what can't be used: each gets a refusal, an error or an end, and harms nobody.

use crate::common::*;
use basaltward_standins::FrontReply;
use std::time::{Duration, Instant};

const OWED: Duration = Duration::from_secs(3);

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
fn what_cannot_be_used_is_refused_and_reaches_no_worker() {
    let mut bed = Bed::new(Limits::default(), 1, |_, exec| exec.serve());
    let wrong = [
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
    for (name, to) in wrong {
        let mut client = bed.client();
        client.submit(&fields(name, to), b"x").expect("sent");
        assert_eq!(client.read().expect("told"), Some((1, FrontReply::Rejected(None))), "{name} {to:?}");
    }
    let mut client = bed.client();
    client.submit(&fields("", None), &[0; (16 << 10) + 1]).expect("sent");
    assert_eq!(client.read().expect("told"), Some((1, FrontReply::Rejected(None))));
    assert!(bed.workers[0].lines().iter().all(|line| !line.starts_with("exec")));
    assert_eq!(bed.judge(), []);
}

#[test]
fn what_cannot_be_read_ends_the_connection_in_time() {
    let mut bed = Bed::new(Limits::default(), 1, |_, exec| exec.serve());
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
    let mut clients: Vec<_> = bad.iter().map(|_| bed.client()).collect();
    let began = Instant::now();
    for (client, bytes) in clients.iter_mut().zip(bad) {
        client.raw(bytes).expect("sent");
    }
    for (client, bytes) in clients.iter_mut().zip(bad) {
        assert_eq!(client.read().expect("an end"), None, "{bytes:?}");
    }
    assert!(began.elapsed() < OWED, "{:?}", began.elapsed());
    assert_eq!(bed.judge(), []);
}

#[test]
fn numbers_and_ids_used_twice_and_too_many_at_once_are_not_served() {
    let bed = Bed::new(Limits::default(), 1, |_, _| vec![]);
    // An id that is open, from another connection and with another body.
    let (mut first, mut second) = (bed.client(), bed.client());
    first.submit(&fields("", None), b"mine").expect("sent");
    bed.wait(|what| matches!(what, basaltward_rules::Observation::Accepted { .. }));
    second.submit(&fields("", None), b"another").expect("sent");
    assert_eq!(second.read().expect("told"), Some((1, FrontReply::Crashed)));
    // The same number again.
    let mut client = bed.client();
    let mut wire = bytes::BytesMut::new();
    for id in ["00000000000000ab", "00000000000000ac"] {
        basaltward_thrift::write::submit(&mut wire, 7, &fields("req", Some(id)), b"x");
    }
    client.raw(&wire).expect("sent");
    assert_eq!(client.read().expect("an end"), None);
    // More than may be open.
    let mut client = bed.client();
    for n in 0..200 {
        let id = format!("{:016x}", 0x1000 + n);
        // It may have been ended already.
        let _ = client.submit(&fields("req", Some(&id)), b"x");
    }
    assert_eq!(client.read().unwrap_or(None), None);
    bed.control.stop();
}

#[test]
fn usual_clients_are_served_beside_a_crowd_that_says_nothing_or_nonsense() {
    let mut bed = Bed::new(Limits { sockets: 64, ..Limits::default() }, 1, |_, exec| exec.serve());
    let mut crowd = Vec::new();
    for number in 0..150 {
        // Silent ones, kept; and such as come again at once on each refusal.
        crowd.push(bed.client());
        let mut rude = bed.client();
        for _ in 0..3 {
            let _ = rude.submit(&fields("kind", Some("nobody")), b"x");
        }
        let call = call(number, "view");
        assert!(matches!(bed.call(&call), FrontReply::Served(_)), "{number}");
    }
    assert_eq!(bed.judge(), []);
}
