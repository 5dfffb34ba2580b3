//! Tests that frames and messages are written and read correctly, and of the errors for malformed bytes.
use basaltward_thrift::*;
use bytes::{BufMut, BytesMut};

const LIMITS: FrameLimits = FrameLimits { max_bytes: 32 << 10 };

/// A linear congruential generator in place of a random source.
struct Lcg(u64);

impl Lcg {
    fn below(&mut self, below: usize) -> usize {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as usize % below.max(1)
    }
}

#[test]
fn requests_and_replies_round_trip() {
    let mut wire = BytesMut::new();
    let fields = [("kind", "call"), ("req", "9b1f03aa5c7e2d41"), ("props", "lanes:2")];
    write::submit(&mut wire, 1, &fields, b"any \0 bytes");
    write::revoke(&mut wire, 2, 1);
    write::heartbeat(&mut wire, 3);
    let mut next = || next_frame(LIMITS, &mut wire).unwrap().unwrap();
    let frame = next();
    let (header, request) = read_request(&frame).unwrap();
    assert_eq!((header.kind, header.method, header.seqid), (MessageKind::Call, "submit", 1));
    assert_eq!(request, ClientRequest::Submit(Submit { fields: fields.to_vec(), body: b"any \0 bytes" }));
    let frame = next();
    let (header, request) = read_request(&frame).unwrap();
    assert_eq!((header.kind, request), (MessageKind::Oneway, ClientRequest::Revoke(1)));
    assert_eq!(read_request(&next()).unwrap().1, ClientRequest::Heartbeat);
    assert!(wire.is_empty());
    let replies = [
        ServerReply::Answer(b"body", true),
        ServerReply::Rejected(Some(250)),
        ServerReply::Rejected(None),
        ServerReply::Crashed,
        ServerReply::UnknownMethod,
        ServerReply::ProtocolError,
    ];
    for (seqid, reply) in replies.iter().enumerate() {
        write::reply(&mut wire, "submit", seqid as i32, reply);
        let frame = next_frame(LIMITS, &mut wire).unwrap().unwrap();
        assert_eq!(read_reply(&frame), Ok((seqid as i32, reply.clone())));
    }
}

#[test]
fn a_strict_message_has_the_published_bytes() {
    let mut wire = BytesMut::new();
    write::reply(&mut wire, "heartbeat", 7, &ServerReply::Answer(b"", true));
    let expected = b"\0\0\0\x2e\x80\x01\0\x02\0\0\0\x09heartbeat\0\0\0\x07\x0c\0\0\x0b\0\x01\0\0\0\0\
        \x0d\0\x02\x0b\x0b\0\0\0\0\x02\0\x03\x01\0\0";
    assert_eq!(&wire[..], expected);
}

#[test]
fn an_invalid_frame_length_is_reported_before_the_frame_is_complete() {
    for (length, bad) in
        [(-1i32, true), (0, true), (32 << 10, false), ((32 << 10) + 1, true), (i32::MAX, true)]
    {
        let mut wire = BytesMut::from(&length.to_be_bytes()[..]);
        assert_eq!(next_frame(LIMITS, &mut wire).is_err(), bad, "{length}");
    }
}

#[test]
fn unknown_fields_are_skipped_by_type_and_malformed_values_are_errors() {
    let whole = |fields: &[u8]| {
        let mut frame = BytesMut::new();
        frame.put_slice(b"\x80\x01\0\x01\0\0\0\x09heartbeat\0\0\0\x01");
        frame.put_slice(fields);
        read_request(&frame).map(|(_, request)| request == ClientRequest::Heartbeat)
    };
    // A list of two structs, a map of i32 to string, a double.
    let valid =
        b"\x0f\0\x09\x0c\0\0\0\x02\x02\0\x01\x01\0\0\x0d\0\x0a\x08\x0b\0\0\0\x01\0\0\0\x05\0\0\0\x01x\
        \x04\0\x0b\0\0\0\0\0\0\0\0\0";
    assert_eq!(whole(valid), Ok(true));
    let deep: Vec<u8> = [0x0c, 0, 1].repeat(1_000);
    assert_eq!(whole(&deep), Err(ThriftError::Depth));
    assert_eq!(whole(b"\x0f\0\x01\x02\x7f\xff\xff\xff\0"), Err(ThriftError::Length(i32::MAX)));
    assert_eq!(whole(b"\x0b\0\x01\xff\xff\xff\xff\0"), Err(ThriftError::Length(-1)));
    assert_eq!(whole(b"\x07\0\x01\0"), Err(ThriftError::Type(7)));
    assert_eq!(whole(b""), Err(ThriftError::Truncated));
    assert_eq!(whole(b"\0\0"), Err(ThriftError::TrailingBytes(1)));
}

#[test]
fn mutated_bytes_decode_alike_however_the_input_is_split() {
    let mut random = Lcg(11);
    let mut valid = BytesMut::new();
    for seqid in 0..6 {
        let id = format!("{seqid:016x}");
        write::submit(&mut valid, seqid, &[("kind", "call"), ("req", &id), ("timeout", "90")], &[7; 40]);
        write::revoke(&mut valid, seqid, seqid);
    }
    let decode_all = |pieces: &[&[u8]]| {
        let (mut input, mut decoded, mut max_buffered) = (BytesMut::new(), Vec::new(), 0);
        for piece in pieces {
            input.extend_from_slice(piece);
            loop {
                match next_frame(LIMITS, &mut input) {
                    Ok(Some(frame)) => decoded.push(format!("{:?}", read_request(&frame))),
                    Ok(None) => break,
                    Err(error) => return (decoded, Some(error), max_buffered),
                }
            }
            max_buffered = max_buffered.max(input.len());
        }
        (decoded, None, max_buffered)
    };
    for _ in 0..3_000 {
        let mut bytes = valid.to_vec();
        for _ in 0..random.below(4) {
            let at = random.below(bytes.len());
            bytes[at] = random.below(256) as u8;
        }
        bytes.truncate(bytes.len() - random.below(8));
        let whole = decode_all(&[&bytes]);
        let (a, b) = (random.below(bytes.len()), random.below(bytes.len()));
        let (a, b) = (a.min(b), a.max(b));
        let split = decode_all(&[&bytes[..a], &bytes[a..b], &bytes[b..]]);
        assert_eq!((&whole.0, &whole.1), (&split.0, &split.1));
        assert!(split.2 <= LIMITS.max_bytes + 4);
        let _ = bytes.get(4..).map(read_reply);
    }
}
