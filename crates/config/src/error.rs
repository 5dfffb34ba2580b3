use std::fmt;
use thiserror::Error;

/// An error at one place of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its line, from 1; 0 if the place is unknown.
    pub line: usize,
    /// Its column, from 1; 0 if the place is unknown.
    pub column: usize,
    /// Description of the fault and of the expected value.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Why a settings file can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("{path}: {source}")]
    File {
        /// Path of the file.
        path: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The file is not well-formed, does not conform to the schema, or contradicts itself.
    #[error("{}", fault_lines(path, faults))]
    Faults {
        /// Path of the file.
        path: String,
        /// The faults, ordered by line.
        faults: Vec<Fault>,
    },
    /// The schema that is built into the program is invalid.
    #[error("the built-in schema is invalid: {0}")]
    Schema(String),
}

fn fault_lines(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{path}:{fault}")).collect();
    lines.join("\n")
}
