//! The three content modes of CloudEvents over sockets, from the client's side.
mod common;

use basaltward_cloudevents::{BATCH, STRUCTURED, from_json};
use basaltward_http::Response;
use common::*;

fn post(fields: &str, body: &str) -> String {
    format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn header<'a>(answer: &'a Response, name: &str) -> &'a str {
    answer.headers.get(name).unwrap_or_default()
}

#[test]
fn the_reply_uses_the_content_mode_of_the_request_or_of_its_accept_header() {
    let harness = start_harness(&config(), 2);
    let mut client = Client::new(harness.addresses[0]);
    let one = |id: &str| {
        format!(
            r#"{{"specversion":"1.0","id":"{id}","source":"/clients","type":"t","subject":"view","data":{{"a":[1, 2]}}}}"#
        )
    };
    let structured = format!("Content-Type: {STRUCTURED}; charset=utf-8\r\n");
    client.send(&post(&structured, &one("1")));
    let answer = client.answer().expect("answer received");
    assert_eq!((answer.status, header(&answer, "content-type")), (200, STRUCTURED));
    let reply = from_json(&answer.body).expect("valid event");
    assert_eq!(
        (reply.id.as_str(), reply.kind.as_str(), &reply.data[..]),
        ("1", "t.reply", &b"{\"a\":[1, 2]}"[..])
    );

    client.send(&post(&format!("{structured}Accept: text/plain\r\n"), &one("2")));
    let answer = client.answer().expect("answer received");
    assert_eq!((header(&answer, "ce-id"), &answer.body[..]), ("2", &b"{\"a\":[1, 2]}"[..]));

    client.send(&event_request(
        "view",
        "3",
        &format!("Accept: {STRUCTURED}\r\nContent-Type: text/plain\r\n"),
        "plain",
    ));
    let answer = client.answer().expect("answer received");
    let reply = from_json(&answer.body).expect("valid event");
    assert_eq!((reply.content_type.as_deref(), &reply.data[..]), (Some("text/plain"), &b"plain"[..]));
    assert_eq!(judge(harness).1, []);
}

#[test]
fn each_event_of_a_batch_gets_its_own_answer_in_request_order() {
    let harness = start_harness(&config(), 2);
    let mut client = Client::new(harness.addresses[0]);
    let item = |id: &str, extra: &str| {
        format!(
            r#"{{"specversion":"1.0","id":"{id}","source":"/clients","type":"t","subject":"stamp"{extra}}}"#
        )
    };
    let body = format!("[{},{},{}]", item("a", ""), item("b", r#","timeoutms":1"#), item("a", ""));
    client.send(&post(&format!("Content-Type: {BATCH}\r\n"), &body));
    let answer = client.answer().expect("answer received");
    assert_eq!((answer.status, header(&answer, "content-type")), (200, BATCH));
    let body_text = String::from_utf8_lossy(&answer.body).into_owned();
    let outcomes: Vec<_> =
        body_text.match_indices("\"outcome\":\"").map(|(at, m)| &body_text[at + m.len()..][..6]).collect();
    let ids: Vec<_> =
        body_text.match_indices("\"id\":\"").map(|(at, m)| &body_text[at + m.len()..][..1]).collect();
    assert_eq!(ids, ["a", "b", "a"], "{body_text}");
    assert_eq!((outcomes[0], outcomes.last()), ("served", Some(&"served")), "{body_text}");
    assert!(body_text.contains("basaltward.problem"), "{body_text}");
    client.send(&post(&format!("Content-Type: {BATCH}\r\n"), "[]"));
    assert_eq!(client.answer().map(|a| a.body.to_vec()), Some(b"[]".to_vec()));
    // Event "a" is in the batch twice and runs once.
    let (records, breaches) = judge(harness);
    assert_eq!((run_count(&records, "a"), breaches), (1, Vec::new()));
}
