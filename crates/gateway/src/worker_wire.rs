//! Messages of the worker protocol (`docs/worker-protocol.md`): writes requests and reads responses.

use basaltward::{Code, CopyStatus, Repeat};
use basaltward_cloudevents::{Attribute, Event, write_binary_fields};
use basaltward_engine::{AttemptEnd, Function};
use basaltward_http::{Body, HeadWriter, Response};
use bytes::BytesMut;
use std::sync::Arc;

/// A worker's reply event, shared by all clients that wait for it.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply(pub Arc<Event>);

impl basaltward_engine::Reply for Reply {
    fn bytes(&self) -> usize {
        self.0.data.len() + 512
    }
}

/// Header fields of the worker protocol.
pub mod fields {
    /// Request: name of the attempt.
    pub const ATTEMPT: &str = "basaltward-attempt";
    /// Request: `safe`, `keyed` or `unsafe`.
    pub const REPEAT: &str = "basaltward-repeat";
    /// Request of a keyed call: how long the worker must remember the key (`ce-source` and `ce-id`), in milliseconds.
    pub const WINDOW: &str = "basaltward-window-ms";
    /// Request: milliseconds after which the answer is no longer useful.
    pub const PATIENCE: &str = "basaltward-patience-ms";
    /// Request: memory of one copy, in MB.
    pub const MEMORY: &str = "basaltward-memory-mb";
    /// Request: number of calls that one copy runs concurrently.
    pub const LANES: &str = "basaltward-lanes";
    /// Response: `ok`, `miss`, `full` or `error`.
    pub const OUTCOME: &str = "basaltward-outcome";
    /// Response: `stood`, `began`, `waited` or `failed`.
    pub const COPY: &str = "basaltward-copy";
    /// Response: number of calls of the function at the worker when this one arrived.
    pub const CROWD: &str = "basaltward-crowd";
    /// Response: `name=value` pairs, separated by commas.
    pub const LOAD: &str = "basaltward-load";
    /// Response to an order or a query: number of loaded copies.
    pub const COPIES: &str = "basaltward-copies";
}

/// Writes an attempt of a call: the event and the requirements of its function.
pub fn call(out: &mut BytesMut, event: &Event, function: &Function, repeat: Repeat, attempt: &Attempt) {
    let target = ["/functions/", function.name.as_str()].concat();
    let head =
        HeadWriter::request(out, "POST", &target, attempt.host).display_field(fields::ATTEMPT, &attempt.name);
    let head = match repeat {
        Repeat::Safe => head.field(fields::REPEAT, "safe"),
        Repeat::Unsafe => head.field(fields::REPEAT, "unsafe"),
        Repeat::Keyed { window, .. } => {
            head.field(fields::REPEAT, "keyed").display_field(fields::WINDOW, window.div_ceil(1_000))
        }
    };
    let head = head.display_field(fields::PATIENCE, attempt.patience_ms);
    let head = write_binary_fields(event, function_fields(head, function));
    head.body(Body::Whole(&event.data));
}

/// The fields of an attempt beyond those of its event and function.
pub struct Attempt<'a> {
    /// The worker's address.
    pub host: &'a str,
    /// The attempt's name.
    pub name: String,
    /// Time for which the answer is useful, in milliseconds.
    pub patience_ms: u64,
}

/// Adds the requirements of a function.
fn function_fields<'a>(head: HeadWriter<'a>, function: &Function) -> HeadWriter<'a> {
    head.display_field(fields::MEMORY, function.memory_mb).display_field(fields::LANES, function.lanes)
}

/// Writes an order to load `count` copies, or a query for the number of loaded copies if `count` is 0.
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

/// Writes a release of the idle copies of a function.
pub fn release(out: &mut BytesMut, host: &str, function: &str) {
    let target = format!("/functions/{function}/copies");
    HeadWriter::request(out, "DELETE", &target, host).body(Body::None);
}

/// Writes a probe, which queries the load report.
pub fn probe(out: &mut BytesMut, host: &str) {
    HeadWriter::request(out, "GET", "/load", host).body(Body::None);
}

/// Values of the load report in the order of `names`, NaN for values that it lacks. Empty without a report.
pub fn report(response: &Response, names: &[String]) -> Vec<f64> {
    let Some(pairs) = response.headers.get(fields::LOAD) else { return Vec::new() };
    let value = |name: &String| {
        let mut pairs = pairs.split(',').filter_map(|pair| pair.trim().split_once('='));
        pairs.find(|(n, _)| n == name).and_then(|(_, v)| v.parse().ok()).unwrap_or(f64::NAN)
    };
    names.iter().map(value).collect()
}

/// The code of a complete response. Only an outcome that agrees with the status is trusted: any other response proves
/// nothing, so the call may have run.
pub fn code(response: &Response) -> Code {
    match (response.headers.get(fields::OUTCOME), response.status) {
        (Some("ok"), 200 | 204) => Code::Ok,
        (Some("miss"), 404) => Code::Miss,
        (Some("full"), 503) => Code::Full,
        (Some("error"), 400..=599) => Code::Error,
        _ => Code::Unknown,
    }
}

/// The end of an attempt for a complete response.
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

/// The reply event. Attributes that the worker doesn't set are derived from the event it answers.
pub fn reply(response: &Response, event: &Event) -> Reply {
    let headers = &response.headers;
    let attribute =
        |name: &str, default: &dyn Fn() -> String| headers.get(name).map_or_else(default, str::to_owned);
    let core_attributes =
        ["ce-id", "ce-source", "ce-type", "ce-specversion", "ce-subject", "ce-time", "ce-dataschema"];
    let mut reply = Event::new(
        attribute("ce-id", &|| event.id.clone()),
        attribute("ce-source", &|| event.source.clone()),
        attribute("ce-type", &|| format!("{}.reply", event.kind)),
    );
    reply.subject = headers.get("ce-subject").map(str::to_owned);
    reply.time = headers.get("ce-time").map(str::to_owned);
    reply.schema = headers.get("ce-dataschema").map(str::to_owned);
    reply.content_type = headers.get("content-type").map(str::to_owned);
    for (name, value) in headers.iter() {
        let (Ok(name), Ok(value)) = (std::str::from_utf8(name), std::str::from_utf8(value)) else { continue };
        let name = name.to_ascii_lowercase();
        let is_valid =
            |n: &&str| n.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit()) && !n.is_empty();
        if let Some(extension) =
            name.strip_prefix("ce-").filter(is_valid).filter(|_| !core_attributes.contains(&&*name))
        {
            reply.extensions.push((extension.to_owned(), Attribute::Text(value.to_owned())));
        }
    }
    reply.data = response.body.clone();
    Reply(Arc::new(reply))
}
