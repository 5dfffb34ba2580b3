use crate::{Attribute, BATCH, Event, EventError, STRUCTURED, json};
use basaltward_http::{HeadWriter, Headers};
use bytes::Bytes;
use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};

/// ASCII characters to percent-encode in `ce-` headers; non-ASCII ones always are (HTTP binding, section 3.1.3.2).
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%');

/// Content mode of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The attributes are `ce-` headers, the body is the payload.
    Binary,
    /// The body is one event as a JSON object.
    Structured,
    /// The body is a JSON array of events.
    Batch,
}

/// The events of a message.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// One event.
    One(Event),
    /// A batch of events; may be empty.
    Batch(Vec<Event>),
}

/// Parses the events of an HTTP message; a batch may have at most `max_batch` events.
///
/// # Errors
/// The violation for which the message is rejected. One invalid event rejects the whole batch.
pub fn from_http(headers: &Headers, body: Bytes, max_batch: usize) -> Result<(Mode, Incoming), EventError> {
    let content_type = headers.get("content-type");
    let media_type =
        content_type.and_then(|t| t.split(';').next()).unwrap_or_default().trim().to_ascii_lowercase();
    match media_type.as_str() {
        STRUCTURED => Ok((Mode::Structured, Incoming::One(json::from_json(&body)?))),
        BATCH => Ok((Mode::Batch, Incoming::Batch(json::batch_from_json(&body, max_batch)?))),
        other if other.starts_with("application/cloudevents") => {
            Err(EventError::UnsupportedFormat(other.into()))
        }
        _ => event_from_headers(headers, body).map(|event| (Mode::Binary, Incoming::One(event))),
    }
}

/// Parses an event in binary mode.
fn event_from_headers(headers: &Headers, body: Bytes) -> Result<Event, EventError> {
    let (mut event, mut has_version) = (Event { data: body, ..Event::default() }, false);
    for (name, value) in headers.iter() {
        let Some(prefix) = name.get(..3).filter(|p| p.eq_ignore_ascii_case(b"ce-")) else {
            if name.eq_ignore_ascii_case(b"content-type") {
                event.set_attribute(
                    "datacontenttype",
                    Attribute::Text(as_utf8(value, "datacontenttype")?.to_owned()),
                )?;
            }
            continue;
        };
        let name = as_utf8(&name[prefix.len()..], "name")?.to_ascii_lowercase();
        let value = decode_value(as_utf8(value, &name)?, &name)?;
        match name.as_str() {
            "specversion" if has_version => return Err(EventError::DuplicateAttribute(name)),
            "specversion" if value != "1.0" => return Err(EventError::Version),
            "specversion" => has_version = true,
            // In binary mode the Content-Type header carries this attribute.
            "datacontenttype" => return Err(EventError::DuplicateAttribute(name)),
            _ => event.set_attribute(&name, Attribute::Text(value))?,
        }
    }
    if !has_version {
        return Err(EventError::NotAnEvent);
    }
    event.require_attributes()
}

/// The bytes as text; `name` is the attribute named in the error.
fn as_utf8<'a>(value: &'a [u8], name: &str) -> Result<&'a str, EventError> {
    let invalid =
        |_| EventError::InvalidValue { name: name.into(), expected: "ASCII, others percent-encoded" };
    std::str::from_utf8(value).map_err(invalid)
}

/// Decodes a header value: removes double quotes and backslash escapes, then decodes percent-encoding (HTTP binding,
/// section 3.1.3.2).
fn decode_value(value: &str, name: &str) -> Result<String, EventError> {
    if !value.contains(['"', '%']) {
        return Ok(value.to_owned());
    }
    let (mut unquoted, mut in_quotes) = (String::with_capacity(value.len()), false);
    let mut chars = value.chars();
    while let Some(c) = chars.next() {
        match c {
            '"' => in_quotes = !in_quotes,
            '\\' if in_quotes => unquoted.extend(chars.next()),
            c => unquoted.push(c),
        }
    }
    let decoded = percent_decode_str(&unquoted).decode_utf8();
    let invalid =
        |_| EventError::InvalidValue { name: name.into(), expected: "UTF-8 under the percent-encoding" };
    decoded.map(|text| text.into_owned()).map_err(invalid)
}

/// Writes the attributes of an event as header fields in binary mode. The caller writes the payload as the body.
pub fn write_binary_fields<'a>(event: &Event, head: HeadWriter<'a>) -> HeadWriter<'a> {
    fn put<'a>(head: HeadWriter<'a>, name: &str, value: &str) -> HeadWriter<'a> {
        head.prefixed_field("ce-", name, utf8_percent_encode(value, ENCODED))
    }
    let mut head = head.field("ce-specversion", "1.0");
    head = put(head, "id", &event.id);
    head = put(head, "source", &event.source);
    head = put(head, "type", &event.kind);
    let optional = [("subject", &event.subject), ("time", &event.time), ("dataschema", &event.schema)];
    for (name, value) in optional {
        if let Some(value) = value {
            head = put(head, name, value);
        }
    }
    for (name, value) in &event.extensions {
        head = match value {
            Attribute::Text(text) => put(head, name, text),
            other => head.prefixed_field("ce-", name, other),
        };
    }
    head.optional_field("Content-Type", event.content_type.as_deref())
}

/// The content mode that the `Accept` header requests for the response; `None` if it states no preference. Only the
/// first media type counts: structured mode for the JSON event format, no preference for `*/*` and `application/*`,
/// binary mode for any other type.
pub fn accepted_mode(headers: &Headers) -> Option<Mode> {
    let accept = headers.get("accept")?;
    let first = accept.split(',').next()?.split(';').next()?.trim().to_ascii_lowercase();
    match first.as_str() {
        STRUCTURED => Some(Mode::Structured),
        "*/*" | "application/*" | "" => None,
        _ => Some(Mode::Binary),
    }
}
