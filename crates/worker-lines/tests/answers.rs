//! Tests of written commands, of decoded answers and of the errors for malformed ones.
use basaltward_worker_lines::*;
use bytes::BytesMut;

const LIMITS: LineLimits = LineLimits { max_line: 256, max_body: 1_024 };

fn decode_all(pieces: &[&[u8]]) -> (Vec<Reply>, Option<LinesError>) {
    let (mut decoder, mut input, mut replies) = (AnswerDecoder::new(LIMITS), BytesMut::new(), Vec::new());
    for piece in pieces {
        input.extend_from_slice(piece);
        loop {
            match decoder.next(&mut input) {
                Ok(Some(reply)) => replies.push(reply),
                Ok(None) => break,
                Err(error) => return (replies, Some(error)),
            }
        }
        assert!(input.len() <= LIMITS.max_line.max(LIMITS.max_body + 2) + piece.len());
    }
    (replies, None)
}

#[test]
fn commands_have_the_published_form() {
    let mut out = BytesMut::new();
    let fields = ExecFields { queue: "call", path: "7f3a9c21e0b4d655", budget_ms: 900, key: None };
    exec(&mut out, "9b1f03aa5c7e2d41", fields, b"ab\r\n");
    exec(&mut out, "01", ExecFields { key: Some("2bf9a7ea"), ..fields }, b"");
    drop_request(&mut out, "9b1f03aa5c7e2d41");
    health(&mut out, "t1");
    load(&mut out, "t2");
    ensure(&mut out, "t3", "7f3a9c21e0b4d655", 2);
    release(&mut out, "7f3a9c21e0b4d655");
    let expected = "exec 9b1f03aa5c7e2d41 queue=call,path=7f3a9c21e0b4d655,budget=900 4\r\nab\r\n\r\n\
        exec 01 queue=call,path=7f3a9c21e0b4d655,budget=900,uniq=2bf9a7ea 0\r\n\r\n\
        drop 9b1f03aa5c7e2d41\r\nhealth t1\r\nload t2\r\nensure t3 path=7f3a9c21e0b4d655,slots_up=2\r\n\
        release 7f3a9c21e0b4d655\r\n";
    assert_eq!(out, expected.as_bytes());
}

#[test]
fn answers_carry_copy_state_crowd_and_load_report() {
    let wire = b"a1 OK detail=up,company=3 5\r\nab\r\nc\r\nb2 BUSY - 0\r\n\r\nt1 UP use=inflight:7;util:0.61 0\r\n\r\n\
        o1 OK slots_up=2 0\r\n\r\nc3 MISS detail=crashed 0\r\n\r\n";
    let (replies, error) = decode_all(&[wire]);
    assert_eq!(error, None);
    let [a, b, t, o, c] = &replies[..] else { panic!("five answers") };
    assert_eq!(
        (a.status, a.copy, a.crowd, &a.body[..]),
        (Status::Ok, Some(CopyDetail::Up), 3, &b"ab\r\nc"[..])
    );
    assert_eq!((b.status, b.copy, b.crowd), (Status::Busy, None, 0));
    assert_eq!(
        (t.status, t.report_value("util"), t.report_value("inflight"), t.report_value("x")),
        (Status::Up, Some(0.61), Some(7.0), None)
    );
    assert_eq!((o.copies, c.status, c.copy), (Some(2), Status::Miss, Some(CopyDetail::Crashed)));
}

#[test]
fn malformed_answers_are_reported_as_early_as_possible() {
    let cases: [(&[u8], LinesError); 10] = [
        (&[b'x'; 300], LinesError::LineTooLong),
        (b"a1 OK - 3000000000\r\n", LinesError::InvalidLength),
        (b"a1 OK - -1\r\n", LinesError::InvalidLength),
        (b"a1 OK - 1025\r\n", LinesError::InvalidLength),
        (b"a1 OK - 2\r\nabc", LinesError::MissingBodyEnd),
        (b"a1 OK - 2\r\nab\rx", LinesError::MissingBodyEnd),
        (b"a1 WELL - 0\r\n", LinesError::UnknownStatus),
        (b"a1 OK 0\r\n", LinesError::MalformedLine),
        (b"a1 OK - 0\n", LinesError::MalformedLine),
        (b"a1 OK company=many 0\r\n", LinesError::MalformedFields),
    ];
    for (wire, expected) in cases {
        assert_eq!(decode_all(&[wire]), (vec![], Some(expected)), "{}", String::from_utf8_lossy(wire));
    }
    // Complete answers before the malformed one are returned.
    assert_eq!(decode_all(&[b"a1 OK - 1\r\nx\r\n\xff\xfe\r\n"]).0.len(), 1);
}

#[test]
fn mutated_answers_decode_alike_however_the_input_is_split() {
    let valid =
        b"9b1f03aa5c7e2d41 OK detail=up,company=3 5\r\nhello\r\nt9 UP use=backlog:7 0\r\n\r\n".repeat(4);
    let mut state = 5u64;
    let mut draw = |below: usize| {
        state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (state >> 33) as usize % below.max(1)
    };
    for _ in 0..4_000 {
        let mut bytes = valid.clone();
        for _ in 0..draw(4) {
            let at = draw(bytes.len());
            bytes[at] = draw(256) as u8;
        }
        let (a, b) = (draw(bytes.len()), draw(bytes.len()));
        let (a, b) = (a.min(b), a.max(b));
        assert_eq!(decode_all(&[&bytes]), decode_all(&[&bytes[..a], &bytes[a..b], &bytes[b..]]));
    }
}
