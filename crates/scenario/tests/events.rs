//! The three content modes over sockets, as a client sees them.
mod common;

use basaltward_cloudevents::{BATCH, STRUCTURED, from_json};
use basaltward_http::Response;
use common::*;

fn post(fields: &str, body: &str) -> String {
    format!("POST / HTTP/1.1\r\nHost: h\r\n{fields}Content-Length: {}\r\n\r\n{body}", body.len())
}

fn text<'a>(answer: &'a Response, name: &str) -> &'a str {
    answer.headers.get(name).unwrap_or_default()
}

#[test]
fn a_reply_comes_in_the_mode_of_its_request_or_as_accepted() {
    let bed = bed(&config(), 2);
    let mut client = Client::new(bed.addresses[0]);
    let one = |id: &str| {
        format!(
            r#"{{"specversion":"1.0","id":"{id}","source":"/clients","type":"t","subject":"view","data":{{"a":[1, 2]}}}}"#
        )
    };
    let structured = format!("Content-Type: {STRUCTURED}; charset=utf-8\r\n");
    client.send(&post(&structured, &one("1")));
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status, text(&answer, "content-type")), (200, STRUCTURED));
    let reply = from_json(&answer.body).expect("an event");
    assert_eq!(
        (reply.id.as_str(), reply.kind.as_str(), &reply.data[..]),
        ("1", "t.reply", &b"{\"a\":[1, 2]}"[..])
    );

    client.send(&post(&format!("{structured}Accept: text/plain\r\n"), &one("2")));
    let answer = client.answer().expect("an answer");
    assert_eq!((text(&answer, "ce-id"), &answer.body[..]), ("2", &b"{\"a\":[1, 2]}"[..]));

    client.send(&event(
        "view",
        "3",
        &format!("Accept: {STRUCTURED}\r\nContent-Type: text/plain\r\n"),
        "plain",
    ));
    let answer = client.answer().expect("an answer");
    let reply = from_json(&answer.body).expect("an event");
    assert_eq!((reply.content_type.as_deref(), &reply.data[..]), (Some("text/plain"), &b"plain"[..]));
    assert_eq!(judge(bed).1, []);
}

#[test]
fn each_event_of_a_batch_gets_its_own_answer_in_order() {
    let bed = bed(&config(), 2);
    let mut client = Client::new(bed.addresses[0]);
    let item = |id: &str, more: &str| {
        format!(
            r#"{{"specversion":"1.0","id":"{id}","source":"/clients","type":"t","subject":"stamp"{more}}}"#
        )
    };
    let body = format!("[{},{},{}]", item("a", ""), item("b", r#","timeoutms":1"#), item("a", ""));
    client.send(&post(&format!("Content-Type: {BATCH}\r\n"), &body));
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status, text(&answer, "content-type")), (200, BATCH));
    let told = String::from_utf8_lossy(&answer.body).into_owned();
    let outcomes: Vec<_> =
        told.match_indices("\"outcome\":\"").map(|(at, m)| &told[at + m.len()..][..6]).collect();
    let ids: Vec<_> = told.match_indices("\"id\":\"").map(|(at, m)| &told[at + m.len()..][..1]).collect();
    assert_eq!(ids, ["a", "b", "a"], "{told}");
    assert_eq!((outcomes[0], outcomes.last()), ("served", Some(&"served")), "{told}");
    assert!(told.contains("basaltward.problem"), "{told}");
    client.send(&post(&format!("Content-Type: {BATCH}\r\n"), "[]"));
    assert_eq!(client.answer().map(|a| a.body.to_vec()), Some(b"[]".to_vec()));
    // Twice in the batch, run once.
    let (records, breaches) = judge(bed);
    assert_eq!((runs(&records, "a"), breaches), (1, Vec::new()));
}
