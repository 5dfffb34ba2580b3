use crate::EventError;
use bytes::Bytes;
use std::fmt;

/// The value of an extension attribute (specification, "Type System"). Over HTTP headers all are text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attribute {
    /// Text; also URIs, times and base64 bytes, which are carried as they came.
    Text(String),
    /// A 32-bit integer.
    Integer(i32),
    /// A boolean.
    Boolean(bool),
}

impl fmt::Display for Attribute {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Text(text) => f.write_str(text),
            Self::Integer(number) => write!(f, "{number}"),
            Self::Boolean(value) => write!(f, "{value}"),
        }
    }
}

/// An event. `source` and `id` together name it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// `id`, unique within the source.
    pub id: String,
    /// `source`, a URI reference.
    pub source: String,
    /// `type`.
    pub kind: String,
    /// `subject`.
    pub subject: Option<String>,
    /// `time`, RFC 3339.
    pub time: Option<String>,
    /// `datacontenttype`.
    pub content_type: Option<String>,
    /// `dataschema`.
    pub schema: Option<String>,
    /// All other attributes, in the order received.
    pub extensions: Vec<(String, Attribute)>,
    /// The payload; empty where there is none.
    pub data: Bytes,
}

impl Event {
    /// An event with the required attributes.
    pub fn new(id: impl Into<String>, source: impl Into<String>, kind: impl Into<String>) -> Self {
        Self { id: id.into(), source: source.into(), kind: kind.into(), ..Self::default() }
    }

    /// An extension's value.
    pub fn extension(&self, name: &str) -> Option<&Attribute> {
        self.extensions.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    /// Adds an extension.
    pub fn with_extension(mut self, name: &str, value: Attribute) -> Self {
        self.extensions.push((name.into(), value));
        self
    }

    /// Takes one attribute other than `specversion`.
    pub(crate) fn set_attribute(&mut self, name: &str, value: Attribute) -> Result<(), EventError> {
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit()) {
            return Err(EventError::InvalidName(name.into()));
        }
        let known =
            matches!(name, "id" | "source" | "type" | "subject" | "time" | "datacontenttype" | "dataschema");
        if !known {
            if self.extension(name).is_some() {
                return Err(EventError::DuplicateAttribute(name.into()));
            }
            self.extensions.push((name.into(), value));
            return Ok(());
        }
        let Attribute::Text(text) = value else {
            return Err(EventError::InvalidValue { name: name.into(), expected: "text" });
        };
        if text.is_empty() {
            return Err(EventError::InvalidValue { name: name.into(), expected: "text that is not empty" });
        }
        if name == "time" && text.parse::<jiff::Timestamp>().is_err() {
            return Err(EventError::InvalidValue { name: name.into(), expected: "a time by RFC 3339" });
        }
        let slot = match name {
            "id" => return set_once(&mut self.id, name, text),
            "source" => return set_once(&mut self.source, name, text),
            "type" => return set_once(&mut self.kind, name, text),
            "subject" => &mut self.subject,
            "time" => &mut self.time,
            "datacontenttype" => &mut self.content_type,
            _ => &mut self.schema,
        };
        match slot.replace(text) {
            Some(_) => Err(EventError::DuplicateAttribute(name.into())),
            None => Ok(()),
        }
    }

    /// Whether everything required is there.
    pub(crate) fn with_required_attributes(self) -> Result<Self, EventError> {
        let required = [("id", &self.id), ("source", &self.source), ("type", &self.kind)];
        match required.iter().find(|(_, value)| value.is_empty()) {
            Some((name, _)) => Err(EventError::MissingAttribute(name)),
            None => Ok(self),
        }
    }

    /// Whether the payload is JSON by its content type; without one it is (JSON format, section 3.1).
    pub fn is_json(&self) -> bool {
        self.content_type.as_deref().is_none_or(|told| {
            let media = told.split(';').next().unwrap_or_default().trim().to_ascii_lowercase();
            let subtype = media.split('/').nth(1).unwrap_or_default();
            subtype == "json" || subtype.ends_with("+json")
        })
    }
}

fn set_once(slot: &mut String, name: &str, text: String) -> Result<(), EventError> {
    if !slot.is_empty() {
        return Err(EventError::DuplicateAttribute(name.into()));
    }
    *slot = text;
    Ok(())
}
