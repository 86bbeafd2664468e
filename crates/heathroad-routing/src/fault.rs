//! What is wrong with a configuration.

use std::fmt;

/// One thing that is wrong: where, what, why, and what was expected.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// The line, from 1.
    pub line: usize,
    /// The field, as a path such as `pool[1].class[0].aim_ms`.
    pub field: String,
    /// What is wrong with it.
    pub reason: String,
    /// What was expected.
    pub expected: String,
}

/// Everything that is wrong with a file, by line; never empty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Faults {
    /// The file's name, as it was given.
    pub file: String,
    /// What is wrong.
    pub list: Vec<Fault>,
}

impl fmt::Display for Faults {
    /// One line each.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.list.iter().enumerate() {
            let end = if i + 1 == self.list.len() { "" } else { "\n" };
            let Fault {
                line,
                field,
                reason,
                expected,
            } = fault;
            write!(
                f,
                "{}:{line}: {field}: {reason}; expected {expected}{end}",
                self.file
            )?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
