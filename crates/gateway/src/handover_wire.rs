//! Calls handed over to a gateway of another site: an HTTP request with a CloudEvent, as any client sends it.

use crate::front::extensions;
use crate::worker_wire::{Reply, reply};
use basaltward::{Code, Micros};
use basaltward_cloudevents::{Attribute, Event, write_binary_fields};
use basaltward_engine::{AttemptEnd, Function};
use basaltward_http::{Body, HeadWriter, Response};
use bytes::BytesMut;

/// Time reserved for the answer's path back; the timeout sent to the other gateway is shorter by this.
const ANSWER_RESERVE_US: Micros = 5_000;

/// Writes the request. Its timeout comes from `left`, the client's remaining time. The `hops` extension keeps the other
/// gateway from handing the call over again, and `handedby` names this gateway, `by`.
pub fn call(out: &mut BytesMut, host: &str, event: &Event, function: &Function, left: Micros, by: &str) {
    let is_set_here =
        |name: &str| [extensions::TIMEOUT, extensions::HOPS, extensions::HANDED_BY].contains(&name);
    let mut event = event.clone();
    event.extensions.retain(|(name, _)| !is_set_here(name));
    let timeout_ms = (left.saturating_sub(ANSWER_RESERVE_US) / 1_000).max(1);
    let event = event
        .with_extension(extensions::TIMEOUT, Attribute::Text(timeout_ms.to_string()))
        .with_extension(extensions::HOPS, Attribute::Integer(1))
        .with_extension(extensions::HANDED_BY, Attribute::Text(by.to_owned()));
    let target = ["/functions/", function.name.as_str()].concat();
    let head = HeadWriter::request(out, "POST", &target, host).field("Accept", "*/*");
    write_binary_fields(&event, head).body(Body::Whole(&event.data));
}

/// The end of the call for a complete response. A gateway answers 503 for a refusal: nothing of the call has run.
pub fn attempt_end(response: &Response, event: &Event) -> AttemptEnd<Reply> {
    match response.status {
        200 => AttemptEnd { reply: Some(reply(response, event)), ..AttemptEnd::from_code(Code::Ok) },
        503 => AttemptEnd::from_code(Code::Full),
        // The other gateway doesn't know the function, as its settings differ. Nothing has run.
        400..=499 => AttemptEnd::from_code(Code::Miss),
        // A complete response that reports a failure; a broken connection never yields this code.
        _ => AttemptEnd::from_code(Code::Unknown),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_remaining_time_and_the_hop_replace_the_extensions_of_the_client() {
        let event = Event::new("1", "/s", "t")
            .with_extension(extensions::HOPS, Attribute::Integer(0))
            .with_extension(extensions::TIMEOUT, Attribute::Text("9000".into()))
            .with_extension("tenant", Attribute::Text("cusco".into()));
        let function =
            Function { name: "parcels".into(), class: 0, memory_mb: 1.0, lanes: 1, load_time: None };
        let mut out = BytesMut::new();
        call(&mut out, "127.0.0.1:1", &event, &function, 205_000, "c0");
        let text = String::from_utf8_lossy(&out).to_ascii_lowercase();
        for line in [
            "post /functions/parcels",
            "ce-timeoutms: 200",
            "ce-hops: 1",
            "ce-handedby: c0",
            "ce-tenant: cusco",
        ] {
            assert_eq!(text.matches(line).count(), 1, "{line} in {text}");
        }
        assert_eq!(text.matches("ce-hops").count() + text.matches("ce-timeoutms").count(), 2, "{text}");
    }
}
