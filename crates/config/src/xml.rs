//! XML documents validated against a schema, and access to their attributes with faults that name the line and column.

use crate::{ConfigError, Fault};
use std::str::FromStr;
use uppsala::{Document, NodeId, XmlError, XsdValidator};

/// Elements that were renamed: old name, new name.
const RENAMED_ELEMENTS: [(&str, &str); 1] = [("fellow", "peer")];
/// Maximum number of faults reported for one file.
const MAX_FAULTS: usize = 20;

/// Parses a document, validates it against a schema and passes its root to `convert`, which may add faults. `path` is
/// only used in errors.
///
/// # Errors
/// The faults, ordered by line, at most 20; or [`ConfigError::Schema`] if the schema itself is invalid.
pub fn parse_validated<T>(
    text: &str,
    path: &str,
    schema: &str,
    convert: impl FnOnce(Element, &mut Vec<Fault>) -> T,
) -> Result<T, ConfigError> {
    let schema_error = |error: XmlError| ConfigError::Schema(error.to_string());
    let schema = uppsala::parse(schema).map_err(schema_error)?;
    let validator = XsdValidator::from_schema(&schema).map_err(schema_error)?;
    let invalid = |faults| ConfigError::Faults { path: path.to_owned(), faults };
    let document = uppsala::parse(text).map_err(|error| invalid(vec![not_well_formed(error)]))?;
    let found = validator.validate(&document);
    let mut faults: Vec<_> = found
        .into_iter()
        .map(|e| {
            let (line, column) = (e.line.unwrap_or(0), e.column.unwrap_or(0));
            Fault {
                line,
                column,
                message: format!("{}{}", describe_place(text, line, column, &e.message), e.message),
            }
        })
        .collect();
    if let (false, Some(root)) = (faults.is_empty(), document.document_element()) {
        report_renamed(Element { document: &document, id: root }, &mut faults);
    }
    if let (true, Some(root)) = (faults.is_empty(), document.document_element()) {
        let converted = convert(Element { document: &document, id: root }, &mut faults);
        if faults.is_empty() {
            return Ok(converted);
        }
    }
    faults.sort_by_key(|fault| (fault.line, fault.column));
    faults.dedup();
    faults.truncate(MAX_FAULTS);
    Err(invalid(faults))
}

/// Adds a fault for each element below this one that has an old name. It replaces the schema's faults at that place.
fn report_renamed(node: Element, faults: &mut Vec<Fault>) {
    for child in node.child_elements() {
        let name = child.name();
        if let Some((_, new)) = RENAMED_ELEMENTS.iter().find(|(old, _)| *old == name) {
            let fault = child.fault(format!("<{name}>: this element was renamed to `{new}`"));
            faults.retain(|other| (other.line, other.column) != (fault.line, fault.column));
            faults.push(fault);
        }
        report_renamed(child, faults);
    }
}

/// A prefix for a fault's message: the element at the place, and its attribute whose value the message quotes. The
/// validator names neither. Empty if the place is not in the text.
fn describe_place(text: &str, line: usize, column: usize, message: &str) -> String {
    let tag = || {
        let line = text.lines().nth(line.checked_sub(1)?)?;
        let tag = line.get(column.checked_sub(1)?..)?.strip_prefix('<')?;
        Some(tag.split('>').next().unwrap_or(tag))
    };
    let Some(tag) = tag() else { return String::new() };
    let element = tag.split([' ', '/', '\t']).next().unwrap_or_default();
    let quoted = message.split('\'').nth(1).unwrap_or("\0");
    let attribute = tag.split('"').collect::<Vec<_>>();
    let attribute = attribute.chunks(2).find(|pair| pair.get(1) == Some(&quoted));
    let attribute = attribute.and_then(|pair| pair[0].trim().strip_suffix('=')).map(str::trim);
    match attribute {
        Some(name) => format!("<{element}> {name}: "),
        None => format!("<{element}>: "),
    }
}

fn not_well_formed(error: XmlError) -> Fault {
    let (line, column, message) = match error {
        XmlError::WellFormedness(e) => (e.line, e.column, e.message),
        XmlError::Namespace(e) => (e.line, e.column, e.message),
        XmlError::Parse(e) => (e.line, e.column, e.message),
        other => (0, 0, other.to_string()),
    };
    Fault { line, column, message: format!("not well-formed XML: {message}") }
}

/// An element of a document.
#[derive(Clone, Copy)]
pub struct Element<'a> {
    document: &'a Document<'a>,
    id: NodeId,
}

impl<'a> Element<'a> {
    /// Its name without a namespace prefix.
    pub fn name(&self) -> String {
        self.document.element(self.id).map(|e| e.name.local_name.to_string()).unwrap_or_default()
    }

    /// Its child elements with this name.
    pub fn children_named(&self, name: &str) -> Vec<Element<'a>> {
        self.child_elements().into_iter().filter(|n| n.name() == name).collect()
    }

    /// All its child elements.
    pub fn child_elements(&self) -> Vec<Element<'a>> {
        let all =
            self.document.children(self.id).into_iter().map(|id| Element { document: self.document, id });
        all.filter(|n| n.document.element(n.id).is_some()).collect()
    }

    /// Its first child element with this name.
    pub fn child(&self, name: &str) -> Option<Element<'a>> {
        self.children_named(name).into_iter().next()
    }

    /// The text of an attribute; `None` if it is absent.
    pub fn attribute(&self, name: &str) -> Option<&'a str> {
        self.document.get_attribute(self.id, name)
    }

    /// Parses an attribute; `None` if it is absent. The schema has checked its syntax, so a value that can't be
    /// parsed is reported as out of range.
    pub fn parse_attribute<T: FromStr>(&self, name: &str, faults: &mut Vec<Fault>) -> Option<T> {
        let text = self.attribute(name)?.trim();
        let value = text.parse().ok();
        if value.is_none() {
            faults.push(self.fault(format!("{name}: {text:?} is out of range")));
        }
        value
    }

    /// An attribute as a Boolean; `None` if it is absent.
    pub fn bool_attribute(&self, name: &str) -> Option<bool> {
        self.attribute(name).map(|text| matches!(text.trim(), "true" | "1"))
    }

    /// Creates a fault at this element's place.
    pub fn fault(&self, message: impl Into<String>) -> Fault {
        let (line, column) = (self.document.node_line(self.id), self.document.node_column(self.id));
        Fault { line, column, message: message.into() }
    }
}
