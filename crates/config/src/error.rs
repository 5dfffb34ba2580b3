use std::fmt;
use thiserror::Error;

/// One thing wrong in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its line, from 1; 0 where it concerns the whole file.
    pub line: usize,
    /// Its column, from 1.
    pub column: usize,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}

/// Why a file can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// It can't be read.
    #[error("{path}: {source}")]
    File {
        /// Which.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// It is not what the schema says, or contradicts itself.
    #[error("{}", list(path, faults))]
    Faults {
        /// Which file.
        path: String,
        /// What is wrong in it, in the order of lines.
        faults: Vec<Fault>,
    },
    /// The schema that ships with the program is broken.
    #[error("the built-in schema can't be used: {0}")]
    Schema(String),
}

fn list(path: &str, faults: &[Fault]) -> String {
    let lines: Vec<_> = faults.iter().map(|fault| format!("{path}:{fault}")).collect();
    lines.join("\n")
}
