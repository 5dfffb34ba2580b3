//! Decoding of requests and responses, received whole and split at arbitrary points.
use basaltward_http::{Decoded, Error, Limits, Method, Request, RequestDecoder, ResponseDecoder};
use bytes::BytesMut;

fn limits() -> Limits {
    Limits { start_line: 64, head: 256, fields: 8, body: 32 }
}

/// Decodes all requests in `text`, fed to the decoder in pieces of `piece_len` bytes.
fn decode_requests(text: &[u8], piece_len: usize) -> Result<Vec<Request>, Error> {
    let (mut decoder, mut input, mut out) = (RequestDecoder::new(limits()), BytesMut::new(), Vec::new());
    for piece in text.chunks(piece_len) {
        input.extend_from_slice(piece);
        while let Decoded::Message(request) = decoder.decode(&mut input)? {
            out.push(request);
        }
    }
    Ok(out)
}

#[test]
fn requests_decode_alike_for_every_split_of_the_input() {
    let text = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello\
        GET /b HTTP/1.1\r\nhOST:  h \r\n\r\n\
        POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=1\r\nabc\r\n02\r\nde\r\n0\r\nT: 1\r\n\r\n";
    for piece_len in 1..=text.len() {
        let all = decode_requests(text, piece_len).expect("valid requests");
        let received: Vec<_> = all.iter().map(|r| (r.target(), &r.body[..])).collect();
        assert_eq!(received, [("/a", &b"hello"[..]), ("/b", b""), ("/c", b"abcde")], "pieces of {piece_len}");
        assert_eq!(all[1].headers.get("host"), Some("h"));
    }
}

#[test]
fn ambiguous_malformed_or_oversized_requests_are_rejected() {
    let post = "POST / HTTP/1.1\r\nHost: h\r\n";
    let long = "x".repeat(70);
    let cases: Vec<(String, Error)> = vec![
        (format!("{post}Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"), Error::ConflictingLengths),
        (format!("{post}Content-Length: 3\r\nContent-Length: 3\r\n\r\n"), Error::ContentLength),
        (format!("{post}Content-Length: 3, 3\r\n\r\n"), Error::ContentLength),
        (format!("{post}Content-Length: +3\r\n\r\n"), Error::ContentLength),
        (format!("{post}Content-Length: 99999999999999999999\r\n\r\n"), Error::ContentLength),
        (format!("{post}Content-Length: 33\r\n\r\n"), Error::BodyTooLong),
        (format!("{post}Content-Length : 3\r\n\r\n"), Error::InvalidField),
        (format!("{post}: 3\r\n\r\n"), Error::InvalidField),
        (format!("{post}A: b\0\r\n\r\n"), Error::InvalidField),
        (format!("{post}A: b\r\n c\r\n\r\n"), Error::LineFolding),
        (format!("{post}A: b\n\r\n"), Error::BareLineEnd),
        (format!("{post}A: b\rc\r\n\r\n"), Error::BareLineEnd),
        (format!("{post}Transfer-Encoding: gzip, chunked\r\n\r\n"), Error::UnsupportedTransferCoding),
        (
            format!("{post}Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"),
            Error::UnsupportedTransferCoding,
        ),
        (format!("{post}Transfer-Encoding: chunked\r\n\r\nx\r\n"), Error::InvalidChunk),
        (format!("{post}Transfer-Encoding: chunked\r\n\r\n 3\r\nabc"), Error::InvalidChunk),
        (format!("{post}Transfer-Encoding: chunked\r\n\r\n3\nabc"), Error::InvalidChunk),
        (format!("{post}Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n"), Error::InvalidChunk),
        (format!("{post}Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n"), Error::InvalidChunk),
        (format!("{post}Transfer-Encoding: chunked\r\n\r\n21\r\n"), Error::BodyTooLong),
        (format!("{post}Expect: miracles\r\n\r\n"), Error::UnsupportedExpectation),
        ("POST / HTTP/1.1\r\n\r\n".into(), Error::Host),
        (format!("{post}Host: h\r\n\r\n"), Error::Host),
        ("POST  / HTTP/1.1\r\n\r\n".into(), Error::StartLine),
        ("POST / HTTP/2.0\r\n\r\n".into(), Error::Version),
        ("\r\nPOST / HTTP/1.1\r\n".into(), Error::StartLine),
        (format!("POST /{long}"), Error::LineTooLong),
        (format!("{post}{}\r\n", "A: b\r\n".repeat(9)), Error::TooManyFields),
        (format!("{post}A: {}", "b".repeat(300)), Error::HeadTooLong),
    ];
    for (text, expected) in cases {
        for piece_len in [1, 7, text.len()] {
            assert_eq!(
                decode_requests(text.as_bytes(), piece_len).err(),
                Some(expected),
                "{text:?} in pieces of {piece_len}"
            );
        }
    }
}

#[test]
fn expect_100_continue_is_reported_once() {
    let (mut decoder, mut input) = (RequestDecoder::new(limits()), BytesMut::new());
    input
        .extend_from_slice(b"PUT / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n");
    assert!(matches!(decoder.decode(&mut input), Ok(Decoded::Continue)));
    assert!(matches!(decoder.decode(&mut input), Ok(Decoded::Incomplete)));
    input.extend_from_slice(b"ok");
    assert!(matches!(decoder.decode(&mut input), Ok(Decoded::Message(r)) if &r.body[..] == b"ok"));
}

#[test]
fn every_response_body_framing_decodes_and_truncation_is_an_error() {
    let cases: [(&[u8], Method, &[u8], bool); 5] = [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Method::Post, b"ok", true),
        (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 \r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n", Method::Post, b"x", true),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", Method::Head, b"", true),
        (b"HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n", Method::Post, b"", false),
        (b"HTTP/1.0 200 OK\r\n\r\nall of it", Method::Post, b"all of it", false),
    ];
    for (text, method, body, reusable) in cases {
        let (mut decoder, mut input) = (ResponseDecoder::new(limits()), BytesMut::from(text));
        let response = match decoder.decode(&mut input, method).expect("a valid response") {
            Decoded::Message(response) => response,
            _ => decoder.finish(&mut input).expect("a body that ends with the connection"),
        };
        assert_eq!((&response.body[..], response.keep_alive()), (body, reusable));
    }
    let mut cut = BytesMut::from(&b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"[..]);
    let mut decoder = ResponseDecoder::new(limits());
    assert!(matches!(decoder.decode(&mut cut, Method::Post), Ok(Decoded::Incomplete)));
    assert_eq!(decoder.finish(&mut cut).err(), Some(Error::Truncated));
    assert!(decoder.response_started());
}
