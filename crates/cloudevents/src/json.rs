use crate::{Attribute, Event, EventError};
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::de::{Deserialize, Deserializer, MapAccess, Visitor};
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::fmt;

/// The members of a JSON object in order; one that stands twice is an error, as parsers differ on it.
pub(crate) struct Members<'a>(Vec<(Cow<'a, str>, &'a RawValue)>);

impl<'de: 'a, 'a> Deserialize<'de> for Members<'a> {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        struct Collect;
        impl<'de> Visitor<'de> for Collect {
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
        from.deserialize_map(Collect)
    }
}

fn unreadable(error: serde_json::Error) -> EventError {
    EventError::MalformedJson(error.to_string())
}

/// Reads one event in the JSON format.
///
/// # Errors
/// Whatever keeps it from being an event.
pub fn from_json(text: &[u8]) -> Result<Event, EventError> {
    event(serde_json::from_slice(text).map_err(unreadable)?)
}

/// Reads a batch of at most `most` events; the first unusable one is an error for all.
pub(crate) fn batch(text: &[u8], most: usize) -> Result<Vec<Event>, EventError> {
    let all: Vec<Members> = serde_json::from_slice(text).map_err(unreadable)?;
    if all.len() > most {
        return Err(EventError::BatchTooLong(most));
    }
    let read = |(index, members)| {
        event(members).map_err(|e| EventError::InvalidEventInBatch { index, error: Box::new(e) })
    };
    all.into_iter().enumerate().map(read).collect()
}

fn event(members: Members) -> Result<Event, EventError> {
    let (mut event, mut version, mut data, mut binary) = (Event::default(), None, None, None);
    for (name, raw) in members.0 {
        match &*name {
            "data" => data = Some(raw),
            "data_base64" => binary = Some(raw),
            _ if raw.get() == "null" => {}
            "specversion" => version = Some(text(&name, raw)?),
            _ => event.set_attribute(&name, attribute(&name, raw)?)?,
        }
    }
    match version.as_deref() {
        Some("1.0") => {}
        Some(_) => return Err(EventError::Version),
        None => return Err(EventError::MissingAttribute("specversion")),
    }
    event.data = match (data, binary) {
        (Some(_), Some(_)) => return Err(EventError::ConflictingData),
        (None, None) => Bytes::new(),
        (None, Some(raw)) => {
            let wrong = |_| EventError::InvalidValue { name: "data_base64".into(), expected: "base64 text" };
            STANDARD.decode(text("data_base64", raw)?).map_err(wrong)?.into()
        }
        // Without a media type a payload given as a JSON value is of the type application/json (JSON format,
        // section 3.1).
        (Some(raw), None) if event.content_type.is_none() => {
            event.content_type = Some("application/json".into());
            Bytes::copy_from_slice(raw.get().as_bytes())
        }
        // Text of a type that is not JSON is the payload itself; anything else is carried as its JSON.
        (Some(raw), None) if !event.is_json() && raw.get().starts_with('"') => text("data", raw)?.into(),
        (Some(raw), None) => Bytes::copy_from_slice(raw.get().as_bytes()),
    };
    event.with_required_attributes()
}

fn text(name: &str, raw: &RawValue) -> Result<String, EventError> {
    serde_json::from_str(raw.get())
        .map_err(|_| EventError::InvalidValue { name: name.into(), expected: "text" })
}

fn attribute(name: &str, raw: &RawValue) -> Result<Attribute, EventError> {
    let wrong =
        EventError::InvalidValue { name: name.into(), expected: "text, a 32-bit integer or a boolean" };
    match raw.get().as_bytes().first() {
        Some(b'"') => text(name, raw).map(Attribute::Text),
        Some(b't') => Ok(Attribute::Boolean(true)),
        Some(b'f') => Ok(Attribute::Boolean(false)),
        Some(b'{' | b'[') | None => Err(wrong),
        Some(_) => raw.get().parse().map(Attribute::Integer).map_err(|_| wrong),
    }
}

/// Writes one event in the JSON format. JSON payloads stand as `data`, text as a string, other bytes as
/// `data_base64`.
pub fn to_json(event: &Event, out: &mut Vec<u8>) {
    let member = |name: &str, value: &str, out: &mut Vec<u8>| {
        out.extend_from_slice(if out.last() == Some(&b'{') { b"" } else { b"," });
        quote(name, out);
        out.push(b':');
        out.extend_from_slice(value.as_bytes());
    };
    let quoted = |text: &str| serde_json::Value::from(text).to_string();
    out.push(b'{');
    member("specversion", "\"1.0\"", out);
    let required = [("id", &event.id), ("source", &event.source), ("type", &event.kind)];
    for (name, value) in required {
        member(name, &quoted(value), out);
    }
    let optional = [
        ("subject", &event.subject),
        ("time", &event.time),
        ("datacontenttype", &event.content_type),
        ("dataschema", &event.schema),
    ];
    for (name, value) in optional {
        if let Some(value) = value {
            member(name, &quoted(value), out);
        }
    }
    for (name, value) in &event.extensions {
        match value {
            Attribute::Text(text) => member(name, &quoted(text), out),
            other => member(name, &other.to_string(), out),
        }
    }
    if !event.data.is_empty() {
        let json = serde_json::from_slice::<&RawValue>(&event.data).ok().filter(|_| event.is_json());
        let text = std::str::from_utf8(&event.data).ok().filter(|_| !event.is_json());
        match (json, text) {
            (Some(raw), _) => member("data", raw.get(), out),
            (None, Some(text)) => member("data", &quoted(text), out),
            (None, None) => member("data_base64", &quoted(&STANDARD.encode(&event.data)), out),
        }
    }
    out.push(b'}');
}

fn quote(text: &str, out: &mut Vec<u8>) {
    out.push(b'"');
    out.extend_from_slice(text.as_bytes());
    out.push(b'"');
}
