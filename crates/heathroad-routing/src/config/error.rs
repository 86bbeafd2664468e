//! Configuration errors, with their position in the file and what was expected there.

use std::fmt;

/// One error of a configuration file.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{line}: {field}: {reason}; expected {expected}")]
pub struct ConfigError {
    /// The line, counted from 1.
    pub line: usize,
    /// The path of the key, such as `pool[1].class[0].aim_ms`.
    pub field: String,
    /// What is wrong with the value.
    pub reason: String,
    /// What was expected instead.
    pub expected: String,
}

/// All errors of one file, sorted by line. The list is never empty.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub struct ConfigErrors {
    /// The file name that the caller gave.
    pub file: String,
    /// The errors, without duplicates.
    pub list: Vec<ConfigError>,
}

impl fmt::Display for ConfigErrors {
    /// Writes one line per error, prefixed with the file name.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.list.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{}:{error}", self.file)?;
        }
        Ok(())
    }
}
