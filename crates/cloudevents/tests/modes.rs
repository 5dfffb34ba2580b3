//! Events in all three content modes, as clients send them.
use basaltward_cloudevents::*;
use basaltward_http::{Body, Decoded, HeadWriter, Limits, Request, RequestDecoder};
use bytes::BytesMut;

fn request(fields: &[(&str, &str)], body: &[u8]) -> Request {
    let mut bytes = BytesMut::new();
    let mut head = HeadWriter::request(&mut bytes, "POST", "/", "h");
    for (name, value) in fields {
        head = head.field(name, value);
    }
    head.body(Body::Whole(body));
    match RequestDecoder::new(Limits::default()).decode(&mut bytes) {
        Ok(Decoded::Message(request)) => request,
        other => panic!("not a complete request: {other:?}"),
    }
}

fn parse(fields: &[(&str, &str)], body: &[u8]) -> Result<(Mode, Incoming), EventError> {
    let request = request(fields, body);
    from_http(&request.headers, request.body.clone(), 3)
}

const REQUIRED: [(&str, &str); 4] =
    [("ce-specversion", "1.0"), ("CE-ID", "7"), ("ce-source", "/notary"), ("ce-type", "render")];

#[test]
fn binary_mode_decodes_headers_and_keeps_unknown_extensions() {
    let mut fields = REQUIRED.to_vec();
    fields.extend([
        ("ce-subject", "%C3%91and%C3%BA%20%25"),
        ("ce-Fleet", "\"a \\\"b\""),
        ("Content-Type", "text/plain"),
    ]);
    let Ok((Mode::Binary, Incoming::One(event))) = parse(&fields, b"hello") else { panic!("one event") };
    assert_eq!((event.id.as_str(), event.subject.as_deref()), ("7", Some("Ñandú %")));
    assert_eq!(event.extension("fleet"), Some(&Attribute::Text("a \"b".into())));
    let mut bytes = BytesMut::new();
    write_binary_fields(&event, HeadWriter::request(&mut bytes, "POST", "/", "h"))
        .body(Body::Whole(&event.data));
    let Ok(Decoded::Message(rewritten)) = RequestDecoder::new(Limits::default()).decode(&mut bytes) else {
        panic!("a complete request")
    };
    let (_, Incoming::One(reparsed)) = from_http(&rewritten.headers, rewritten.body, 1).expect("an event")
    else {
        panic!("one event")
    };
    assert_eq!(reparsed, event);
}

#[test]
fn a_json_value_without_a_media_type_has_the_type_json() {
    let event_json =
        |data: &str| format!(r#"{{"specversion":"1.0","id":"1","source":"s","type":"t"{data}}}"#);
    for (data, content_type) in [
        (r#","data":{"a":1}"#, Some("application/json")),
        (r#","data":"text""#, Some("application/json")),
        (r#","data_base64":"/wA=""#, None),
        ("", None),
    ] {
        let event = from_json(event_json(data).as_bytes()).expect(data);
        assert_eq!(event.content_type.as_deref(), content_type, "{data}");
    }
    assert_eq!(from_json(event_json(r#","data":"text""#).as_bytes()).expect("an event").data, "\"text\"");
}

#[test]
fn json_round_trips_keep_payloads_and_attribute_types() {
    let cases = [
        (
            r#"{"specversion":"1.0","id":"1","source":"s","type":"t","data":{"a":[1, 2]},"n":5,"b":true}"#,
            r#"{"a":[1, 2]}"#,
        ),
        (
            r#"{"specversion":"1.0","id":"1","source":"s","type":"t","datacontenttype":"text/xml","data":"<é/>"}"#,
            "<é/>",
        ),
        (
            r#"{"specversion":"1.0","id":"1","source":"s","type":"t","datacontenttype":"image/png","data_base64":"/wA="}"#,
            "\u{fffd}\0",
        ),
        (
            r#"{"specversion":"1.0","id":"1","source":"s","type":"t","subject":null,"time":"2026-12-01T10:00:00Z"}"#,
            "",
        ),
    ];
    for (text, payload) in cases {
        let event = from_json(text.as_bytes()).expect(text);
        assert_eq!(String::from_utf8_lossy(&event.data), payload);
        let mut out = Vec::new();
        to_json(&event, &mut out);
        assert_eq!(from_json(&out).expect("the written event"), event);
    }
}

#[test]
fn batches_are_limited_and_rejected_as_a_whole() {
    let one = r#"{"specversion":"1.0","id":"1","source":"s","type":"t"}"#;
    let batch = |text: String| parse(&[("Content-Type", BATCH)], text.as_bytes());
    assert!(
        matches!(batch(format!("[{one},{one}]")), Ok((Mode::Batch, Incoming::Batch(all))) if all.len() == 2)
    );
    assert_eq!(batch(format!("[{one},{one},{one},{one}]")), Err(EventError::BatchTooLong(3)));
    let bad = batch(format!("[{one},{{\"specversion\":\"1.0\"}}]"));
    assert!(matches!(bad, Err(EventError::InvalidEventInBatch { index: 1, .. })), "{bad:?}");
}

#[test]
fn invalid_messages_are_rejected_with_a_status() {
    let structured = |text: &str| parse(&[("Content-Type", STRUCTURED)], text.as_bytes()).unwrap_err();
    let cases = [
        (structured("{"), 400),
        (structured(r#"{"specversion":"0.3","id":"1","source":"s","type":"t"}"#), 400),
        (structured(r#"{"specversion":"1.0","id":"1","id":"2","source":"s","type":"t"}"#), 400),
        (
            structured(
                r#"{"specversion":"1.0","id":"1","source":"s","type":"t","data":1,"data_base64":"AA=="}"#,
            ),
            400,
        ),
        (structured(r#"{"specversion":"1.0","id":"1","source":"s","type":"t","Up":"x"}"#), 400),
        (structured(r#"{"specversion":"1.0","id":"1","source":"s","type":"t","n":5000000000}"#), 400),
        (structured(r#"{"specversion":"1.0","id":"1","source":"s","type":"t","time":"noon"}"#), 400),
        (parse(&[("Content-Type", "application/cloudevents+avro")], b"").unwrap_err(), 415),
        (parse(&[], b"x").unwrap_err(), 415),
        (parse(&REQUIRED[..3], b"").unwrap_err(), 400),
        (parse(&[REQUIRED.as_slice(), &[("ce-id", "8")]].concat(), b"").unwrap_err(), 400),
        (parse(&[REQUIRED.as_slice(), &[("ce-x", "%FF")]].concat(), b"").unwrap_err(), 400),
    ];
    for (error, status) in cases {
        assert_eq!(error.status(), status, "{error}");
    }
}
