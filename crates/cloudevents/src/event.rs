use crate::EventError;
use bytes::Bytes;
use std::fmt;

/// Value of an extension attribute (specification, "Type System"). Values from HTTP headers are always text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Attribute {
    /// Text; also URIs, timestamps and base64 binary values, which are passed on unchanged.
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

/// An event; `source` and `id` together identify it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Event {
    /// Attribute `id`, unique within the source.
    pub id: String,
    /// Attribute `source`, a URI reference.
    pub source: String,
    /// Attribute `type`.
    pub kind: String,
    /// Attribute `subject`.
    pub subject: Option<String>,
    /// Attribute `time`, a timestamp in RFC 3339 format.
    pub time: Option<String>,
    /// Attribute `datacontenttype`, the media type of the payload.
    pub content_type: Option<String>,
    /// Attribute `dataschema`, the URI of the payload's schema.
    pub schema: Option<String>,
    /// Extension attributes in the order received.
    pub extensions: Vec<(String, Attribute)>,
    /// The payload; empty if there is none.
    pub data: Bytes,
}

impl Event {
    /// Creates an event with the required attributes only.
    pub fn new(id: impl Into<String>, source: impl Into<String>, kind: impl Into<String>) -> Self {
        Self { id: id.into(), source: source.into(), kind: kind.into(), ..Self::default() }
    }

    /// Value of an extension attribute.
    pub fn extension(&self, name: &str) -> Option<&Attribute> {
        self.extensions.iter().find(|(n, _)| n == name).map(|(_, v)| v)
    }

    /// Appends an extension attribute; neither its name nor its uniqueness is checked.
    pub fn with_extension(mut self, name: &str, value: Attribute) -> Self {
        self.extensions.push((name.into(), value));
        self
    }

    /// Checks and sets any attribute other than `specversion`.
    pub(crate) fn set_attribute(&mut self, name: &str, value: Attribute) -> Result<(), EventError> {
        if name.is_empty() || !name.bytes().all(|b| b.is_ascii_lowercase() || b.is_ascii_digit()) {
            return Err(EventError::InvalidName(name.into()));
        }
        let is_core =
            matches!(name, "id" | "source" | "type" | "subject" | "time" | "datacontenttype" | "dataschema");
        if !is_core {
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
        let field = match name {
            "id" => return set_once(&mut self.id, name, text),
            "source" => return set_once(&mut self.source, name, text),
            "type" => return set_once(&mut self.kind, name, text),
            "subject" => &mut self.subject,
            "time" => &mut self.time,
            "datacontenttype" => &mut self.content_type,
            _ => &mut self.schema,
        };
        match field.replace(text) {
            Some(_) => Err(EventError::DuplicateAttribute(name.into())),
            None => Ok(()),
        }
    }

    /// Returns the event if all required attributes are present.
    pub(crate) fn require_attributes(self) -> Result<Self, EventError> {
        let required = [("id", &self.id), ("source", &self.source), ("type", &self.kind)];
        match required.iter().find(|(_, value)| value.is_empty()) {
            Some((name, _)) => Err(EventError::MissingAttribute(name)),
            None => Ok(self),
        }
    }

    /// Whether the content type declares the payload as JSON; a payload without a content type is JSON (JSON format,
    /// section 3.1).
    pub fn is_json(&self) -> bool {
        self.content_type.as_deref().is_none_or(|content_type| {
            let media_type = content_type.split(';').next().unwrap_or_default().trim().to_ascii_lowercase();
            let subtype = media_type.split('/').nth(1).unwrap_or_default();
            subtype == "json" || subtype.ends_with("+json")
        })
    }
}

/// Sets a required attribute that must still be empty.
fn set_once(field: &mut String, name: &str, text: String) -> Result<(), EventError> {
    if !field.is_empty() {
        return Err(EventError::DuplicateAttribute(name.into()));
    }
    *field = text;
    Ok(())
}
