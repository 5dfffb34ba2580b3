//! Settings of the program: an XML file checked by the schema `basaltward.xsd`, then for what a schema can't
//! say. Every fault names its line and column and what was expected.
#![warn(missing_docs)]

mod error;
mod parse;
mod settings;
mod sites;
pub mod xml;

pub use error::{ConfigError, Fault};
pub use settings::*;
pub use sites::{JournalConfig, ReplicationConfig, SitePeerConfig, SitesConfig, UnreplicatedPolicy};

/// The schema that settings are checked by.
pub const SCHEMA: &str = include_str!("../basaltward.xsd");

/// Reads settings from text; `path` is for messages, and relative files in it start at its folder.
///
/// # Errors
/// All faults found, by the schema or beyond it.
pub fn read(text: &str, path: &std::path::Path) -> Result<Config, ConfigError> {
    parse::read(text, path)
}

/// Reads settings from a file.
///
/// # Errors
/// As [`read`], and where the file can't be read.
pub fn load(path: &std::path::Path) -> Result<Config, ConfigError> {
    let told = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::File { path: told, source })?;
    read(&text, path)
}
