use crate::{Attribute, Event, EventError};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// The members of a JSON object in the order received. A duplicate name is an error, because parsers handle it
/// differently.
pub(crate) struct Members<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct MembersVisitor;
        impl<'de> Visitor<'de> for MembersVisitor {
            type Value = Members<'de>;
            fn expecting(&self, f: &mut fmt::Formatter) -> fmt::Result {
                f.write_str("an object")
            }
            fn visit_map<M: MapAccess<'de>>(self, mut map: M) -> Result<Self::Value, M::Error> {
                let mut all: Vec<(Cow<'de, str>, &'de RawValue)> = Vec::new();
                while let Some((name, value)) = map.next_entry::<String, &'de RawValue>()? {
                    if all.iter().any(|(n, _)| *n == name) {
                        return Err(serde::de::Error::custom(format_args!("member {name:?} stands twice")));
                    }
                    all.push((name.into(), value));
                }
                Ok(Members(all))
            }
        }
        from.deserialize_map(MembersVisitor)
    }
}

fn malformed(error: serde_json::Error) -> EventError {
    EventError::MalformedJson(error.to_string())
}

/// Parses one event in the JSON format.
///
/// # Errors
/// The violation for which the event is rejected.
pub fn from_json(text: &[u8]) -> Result<Event, EventError> {
    event_from_members(serde_json::from_slice(text).map_err(malformed)?)
}

/// Parses a batch of at most `max` events. The first invalid event rejects the whole batch.
pub(crate) fn batch_from_json(text: &[u8], max: usize) -> Result<Vec<Event>, EventError> {
    let all: Vec<Members> = serde_json::from_slice(text).map_err(malformed)?;
    if all.len() > max {
        return Err(EventError::BatchTooLong(max));
    }
    let parse = |(index, members)| {
        event_from_members(members).map_err(|e| EventError::InvalidEventInBatch { index, error: Box::new(e) })
    };
    all.into_iter().enumerate().map(parse).collect()
}

fn event_from_members(members: Members) -> Result<Event, EventError> {
    let (mut event, mut version, mut data, mut data_base64) = (Event::default(), None, None, None);
    for (name, raw) in members.0 {
        match &*name {
            "data" => data = Some(raw),
            "data_base64" => data_base64 = Some(raw),
            // An attribute with the value null counts as absent.
            _ if raw.get() == "null" => {}
            "specversion" => version = Some(parse_text(&name, raw)?),
            _ => event.set_attribute(&name, parse_attribute(&name, raw)?)?,
        }
    }
    match version.as_deref() {
        Some("1.0") => {}
        Some(_) => return Err(EventError::Version),
        None => return Err(EventError::MissingAttribute("specversion")),
    }
    event.data = match (data, data_base64) {
        (Some(_), Some(_)) => return Err(EventError::ConflictingData),
        (None, None) => Bytes::new(),
        (None, Some(raw)) => {
            let invalid =
                |_| EventError::InvalidValue { name: "data_base64".into(), expected: "base64 text" };
            STANDARD.decode(parse_text("data_base64", raw)?).map_err(invalid)?.into()
        }
        // A JSON value without a declared media type has the type application/json (JSON format, section 3.1).
        (Some(raw), None) if event.content_type.is_none() => {
            event.content_type = Some("application/json".into());
            Bytes::copy_from_slice(raw.get().as_bytes())
        }
        // A string of a media type other than JSON is the payload itself; any other value is passed on as JSON text.
        (Some(raw), None) if !event.is_json() && raw.get().starts_with('"') => {
            parse_text("data", raw)?.into()
        }
        (Some(raw), None) => Bytes::copy_from_slice(raw.get().as_bytes()),
    };
    event.require_attributes()
}

/// Parses a string value; `name` is the attribute named in the error.
fn parse_text(name: &str, raw: &RawValue) -> Result<String, EventError> {
    serde_json::from_str(raw.get())
        .map_err(|_| EventError::InvalidValue { name: name.into(), expected: "text" })
}

fn parse_attribute(name: &str, raw: &RawValue) -> Result<Attribute, EventError> {
    let invalid =
        EventError::InvalidValue { name: name.into(), expected: "text, a 32-bit integer or a boolean" };
    match raw.get().as_bytes().first() {
        Some(b'"') => parse_text(name, raw).map(Attribute::Text),
        Some(b't') => Ok(Attribute::Boolean(true)),
        Some(b'f') => Ok(Attribute::Boolean(false)),
        Some(b'{' | b'[') | None => Err(invalid),
        Some(_) => raw.get().parse().map(Attribute::Integer).map_err(|_| invalid),
    }
}

/// Writes one event in the JSON format. A JSON payload is written as the value of `data`, other text as a string in
/// `data`, other bytes as `data_base64`.
pub fn to_json(event: &Event, out: &mut Vec<u8>) {
    let write_member = |name: &str, value: &str, out: &mut Vec<u8>| {
        out.extend_from_slice(if out.last() == Some(&b'{') { b"" } else { b"," });
        write_quoted(name, out);
        out.push(b':');
        out.extend_from_slice(value.as_bytes());
    };
    let quoted = |text: &str| serde_json::Value::from(text).to_string();
    out.push(b'{');
    write_member("specversion", "\"1.0\"", out);
    let required = [("id", &event.id), ("source", &event.source), ("type", &event.kind)];
    for (name, value) in required {
        write_member(name, &quoted(value), out);
    }
    let optional = [
        ("subject", &event.subject),
        ("time", &event.time),
        ("datacontenttype", &event.content_type),
        ("dataschema", &event.schema),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            write_member(name, &quoted(value), out);
        }
    }
    for (name, value) in &event.extensions {
        match value {
            Attribute::Text(text) => write_member(name, &quoted(text), out),
            other => write_member(name, &other.to_string(), out),
        }
    }
    if !event.data.is_empty() {
        let json = serde_json::from_slice::<&RawValue>(&event.data).ok().filter(|_| event.is_json());
        let text = std::str::from_utf8(&event.data).ok().filter(|_| !event.is_json());
        match (json, text) {
            (Some(raw), _) => write_member("data", raw.get(), out),
            (None, Some(text)) => write_member("data", &quoted(text), out),
            (None, None) => write_member("data_base64", &quoted(&STANDARD.encode(&event.data)), out),
        }
    }
    out.push(b'}');
}

/// Writes text that needs no escaping as a JSON string.
fn write_quoted(text: &str, out: &mut Vec<u8>) {
    out.push(b'"');
    out.extend_from_slice(text.as_bytes());
    out.push(b'"');
}
