//! The worker protocol's messages (`docs/worker-protocol.md`): requests written, responses read.

use basaltward::{Code, CopyStatus, Repeat};
use basaltward_cloudevents::{Attribute, Event, write_binary_fields};
use basaltward_engine::{AttemptEnd, Function};
use basaltward_http::{Body, HeadWriter, Response};
use bytes::BytesMut;
use std::sync::Arc;

/// A worker's reply event, shared by all who wait for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply(pub Arc<Event>);

impl basaltward_engine::Reply for Reply {
    fn bytes(&self) -> usize {
        self.0.data.len() + 512
    }
}

/// Names of the protocol's header fields.
pub mod fields {
    /// Request: names the attempt.
    pub const ATTEMPT: &str = "basaltward-attempt";
    /// Request: `safe`, `keyed` or `unsafe`.
    pub const REPEAT: &str = "basaltward-repeat";
    /// Request, keyed calls: how long the key, `ce-source` with `ce-id`, is to be remembered, in milliseconds.
    pub const WINDOW: &str = "basaltward-window-ms";
    /// Request: after so many milliseconds the answer is of no more use.
    pub const PATIENCE: &str = "basaltward-patience-ms";
    /// Request: memory of one copy, in MB.
    pub const MEMORY: &str = "basaltward-memory-mb";
    /// Request: calls that one copy runs at once.
    pub const LANES: &str = "basaltward-lanes";
    /// Response: `ok`, `miss`, `full` or `error`.
    pub const OUTCOME: &str = "basaltward-outcome";
    /// Response: `stood`, `began`, `waited` or `failed`.
    pub const COPY: &str = "basaltward-copy";
    /// Response: calls of the function that the worker held when this one came.
    pub const CROWD: &str = "basaltward-crowd";
    /// Response: `name=value` pairs, separated by commas.
    pub const LOAD: &str = "basaltward-load";
    /// Response to an order or a question: copies standing.
    pub const COPIES: &str = "basaltward-copies";
}

/// A call to one function: the event and what its function needs.
pub fn call(out: &mut BytesMut, event: &Event, function: &Function, repeat: Repeat, told: &Attempt) {
    let target = ["/functions/", function.name.as_str()].concat();
    let head = HeadWriter::request(out, "POST", &target, told.host).shown(fields::ATTEMPT, &told.name);
    let head = match repeat {
        Repeat::Safe => head.field(fields::REPEAT, "safe"),
        Repeat::Unsafe => head.field(fields::REPEAT, "unsafe"),
        Repeat::Keyed { window, .. } => {
            head.field(fields::REPEAT, "keyed").shown(fields::WINDOW, window.div_ceil(1_000))
        }
    };
    let head = head.shown(fields::PATIENCE, told.patience_ms);
    let head = write_binary_fields(event, function_fields(head, function));
    head.body(Body::Whole(&event.data));
}

/// What an attempt adds to its event.
pub struct Attempt<'a> {
    /// The worker's address.
    pub host: &'a str,
    /// Names the attempt.
    pub name: String,
    /// How long the answer is of use.
    pub patience_ms: u64,
}

fn function_fields<'a>(head: HeadWriter<'a>, function: &Function) -> HeadWriter<'a> {
    head.shown(fields::MEMORY, function.memory_mb).shown(fields::LANES, function.lanes)
}

/// An order to hold copies; with a count of 0 the question how many stand.
pub fn order(out: &mut BytesMut, host: &str, function: &Function, count: u32) {
    let target = format!("/functions/{}/copies", function.name);
    match count {
        0 => HeadWriter::request(out, "GET", &target, host).body(Body::None),
        _ => {
            let target = format!("{target}?count={count}");
            function_fields(HeadWriter::request(out, "PUT", &target, host), function).body(Body::Empty);
        }
    }
}

/// Has idle copies unloaded.
pub fn release(out: &mut BytesMut, host: &str, function: &str) {
    let target = format!("/functions/{function}/copies");
    HeadWriter::request(out, "DELETE", &target, host).body(Body::None);
}

/// Asks for the load.
pub fn probe(out: &mut BytesMut, host: &str) {
    HeadWriter::request(out, "GET", "/load", host).body(Body::None);
}

/// Values of the load report in the order of `names`; what is not told is not a number.
pub fn report(response: &Response, names: &[String]) -> Vec<f64> {
    let Some(told) = response.headers.get(fields::LOAD) else { return Vec::new() };
    let value = |name: &String| {
        let mut pairs = told.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(n, _)| n == name).and_then(|(_, v)| v.parse().ok()).unwrap_or(f64::NAN)
    };
    names.iter().map(value).collect()
}

/// The code of a whole response. Only an outcome that agrees with the status is believed: any other answer
/// proves nothing, so the call may have run.
pub fn code(response: &Response) -> Code {
    match (response.headers.get(fields::OUTCOME), response.status) {
        (Some("ok"), 200 | 204) => Code::Ok,
        (Some("miss"), 404) => Code::Miss,
        (Some("full"), 503) => Code::Full,
        (Some("error"), 400..=599) => Code::Error,
        _ => Code::Unknown,
    }
}

/// What a whole response to a call says.
pub fn attempt_end(response: Response, event: &Event, names: &[String]) -> AttemptEnd<Reply> {
    let code = code(&response);
    let copy = match (code, response.headers.get(fields::COPY)) {
        (Code::Ok, Some("stood")) => CopyStatus::Loaded,
        (Code::Ok, Some("began")) => CopyStatus::LoadStarted,
        (Code::Ok, Some("waited")) => CopyStatus::WaitedForLoad,
        (Code::Miss | Code::Error, Some("failed")) => CopyStatus::LoadFailed,
        _ => CopyStatus::Unknown,
    };
    AttemptEnd {
        code,
        reply: (code == Code::Ok).then(|| reply(&response, event)),
        copy,
        crowd: response.headers.get(fields::CROWD).and_then(|t| t.parse().ok()),
        report: report(&response, names),
    }
}

/// The reply event: what the worker names itself, else named after the event it answers.
pub fn reply(response: &Response, event: &Event) -> Reply {
    let headers = &response.headers;
    let own = |name: &str, absent: &dyn Fn() -> String| headers.get(name).map_or_else(absent, str::to_owned);
    let known = ["ce-id", "ce-source", "ce-type", "ce-specversion", "ce-subject", "ce-time", "ce-dataschema"];
    let mut reply = Event::new(
        own("ce-id", &|| event.id.clone()),
        own("ce-source", &|| event.source.clone()),
        own("ce-type", &|| format!("{}.reply", event.kind)),
    );
    reply.subject = headers.get("ce-subject").map(str::to_owned);
    reply.time = headers.get("ce-time").map(str::to_owned);
    reply.schema = headers.get("ce-dataschema").map(str::to_owned);
    reply.content_type = headers.get("content-type").map(str::to_owned);
    for (name, value) in headers.iter() {
        let (Ok(name), Ok(value)) = (std::str::from_utf8(name), std::str::from_utf8(value)) else { continue };
        let name = name.to_ascii_lowercase();
        let fits =
            |n: &&str| n.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit()) && !n.is_empty();
        if let Some(extension) = name.strip_prefix("ce-").filter(fits).filter(|_| !known.contains(&&*name)) {
            reply.extensions.push((extension.to_owned(), Attribute::Text(value.to_owned())));
        }
    }
    reply.data = response.body.clone();
    Reply(Arc::new(reply))
}
