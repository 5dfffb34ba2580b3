use crate::{Attribute, BATCH, Event, EventError, STRUCTURED, json};
use basaltward_http::{HeadWriter, Headers};
use bytes::Bytes;
use percent_encoding::{AsciiSet, CONTROLS, percent_decode_str, utf8_percent_encode};

/// What must be percent-encoded in a `ce-` header besides everything beyond ASCII (HTTP binding 3.1.3.2).
const ENCODED: &AsciiSet = &CONTROLS.add(b' ').add(b'"').add(b'%');

/// The content mode of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Attributes in `ce-` headers, the payload as the body.
    Binary,
    /// One JSON object.
    Structured,
    /// A JSON array.
    Batch,
}

/// What a message held.
#[derive(Clone, Debug, PartialEq)]
pub enum Incoming {
    /// One event.
    One(Event),
    /// A batch; may be empty.
    Batch(Vec<Event>),
}

/// Reads the event or events of an HTTP message; `most` bounds a batch.
///
/// # Errors
/// Whatever keeps the message from being events; of a batch with one bad event none is given.
pub fn from_http(headers: &Headers, body: Bytes, most: usize) -> Result<(Mode, Incoming), EventError> {
    let told = headers.get("content-type");
    let media = told.and_then(|t| t.split(';').next()).unwrap_or_default().trim().to_ascii_lowercase();
    match media.as_str() {
        STRUCTURED => Ok((Mode::Structured, Incoming::One(json::from_json(&body)?))),
        BATCH => Ok((Mode::Batch, Incoming::Batch(json::batch(&body, most)?))),
        other if other.starts_with("application/cloudevents") => {
            Err(EventError::UnsupportedFormat(other.into()))
        }
        _ => binary(headers, body).map(|event| (Mode::Binary, Incoming::One(event))),
    }
}

fn binary(headers: &Headers, body: Bytes) -> Result<Event, EventError> {
    let (mut event, mut version) = (Event { data: body, ..Event::default() }, false);
    for (name, value) in headers.iter() {
        let Some(prefix) = name.get(..3).filter(|p| p.eq_ignore_ascii_case(b"ce-")) else {
            if name.eq_ignore_ascii_case(b"content-type") {
                event.set_attribute(
                    "datacontenttype",
                    Attribute::Text(plain(value, "datacontenttype")?.to_owned()),
                )?;
            }
            continue;
        };
        let name = plain(&name[prefix.len()..], "name")?.to_ascii_lowercase();
        let value = decode(plain(value, &name)?, &name)?;
        match name.as_str() {
            "specversion" if version => return Err(EventError::DuplicateAttribute(name)),
            "specversion" if value != "1.0" => return Err(EventError::Version),
            "specversion" => version = true,
            // Told by Content-Type in this mode.
            "datacontenttype" => return Err(EventError::DuplicateAttribute(name)),
            _ => event.set_attribute(&name, Attribute::Text(value))?,
        }
    }
    if !version {
        return Err(EventError::NotAnEvent);
    }
    event.with_required_attributes()
}

fn plain<'a>(value: &'a [u8], name: &str) -> Result<&'a str, EventError> {
    let wrong = |_| EventError::InvalidValue { name: name.into(), expected: "ASCII, others percent-encoded" };
    std::str::from_utf8(value).map_err(wrong)
}

/// Undoes double quotes with their backslashes, then percent-encoding (HTTP binding 3.1.3.2).
fn decode(value: &str, name: &str) -> Result<String, EventError> {
    if !value.contains(['"', '%']) {
        return Ok(value.to_owned());
    }
    let (mut unquoted, mut within) = (String::with_capacity(value.len()), false);
    let mut letters = value.chars();
    while let Some(letter) = letters.next() {
        match letter {
            '"' => within = !within,
            '\\' if within => unquoted.extend(letters.next()),
            letter => unquoted.push(letter),
        }
    }
    let decoded = percent_decode_str(&unquoted).decode_utf8();
    let wrong =
        |_| EventError::InvalidValue { name: name.into(), expected: "UTF-8 under the percent-encoding" };
    decoded.map(|text| text.into_owned()).map_err(wrong)
}

/// Writes an event's attributes as fields of a message in binary mode; the payload is the caller's to write.
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

/// The mode that `Accept` asks for: structured where it names that media type and nothing before it asks
/// for anything else, binary where it names another type, else none in particular.
pub fn accepted_mode(headers: &Headers) -> Option<Mode> {
    let told = headers.get("accept")?;
    let first = told.split(',').next()?.split(';').next()?.trim().to_ascii_lowercase();
    match first.as_str() {
        STRUCTURED => Some(Mode::Structured),
        "*/*" | "application/*" | "" => None,
        _ => Some(Mode::Binary),
    }
}
