//! Settings of the program: an XML file that is validated against the schema `basaltward.xsd`, then checked for
//! constraints that a schema can't express. Every fault names its line and column and the expected value.
#![warn(missing_docs)]

mod error;
mod parse;
mod settings;
mod sites;
pub mod xml;

pub use error::{ConfigError, Fault};
pub use settings::*;
pub use sites::{JournalConfig, ReplicationConfig, SitePeerConfig, SitesConfig, UnreplicatedPolicy};

/// The XML schema that settings are validated against.
pub const SCHEMA: &str = include_str!("../basaltward.xsd");

/// Reads settings from text. `path` is the file's path: it appears in messages, and relative file names in the
/// settings are resolved against its folder.
///
/// # Errors
/// All faults found by the schema or, if there are none, by the further checks.
pub fn read(text: &str, path: &std::path::Path) -> Result<Config, ConfigError> {
    parse::read(text, path)
}

/// Reads settings from a file.
///
/// # Errors
/// As for [`read`], and if the file can't be read.
pub fn load(path: &std::path::Path) -> Result<Config, ConfigError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| ConfigError::File { path: shown, source })?;
    read(&text, path)
}
