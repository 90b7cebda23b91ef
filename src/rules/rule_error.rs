//! Error in a line of a rules file.

use std::fmt;

/// Error in a line of a rules file, displayed as `line:column: message`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleError {
    /// Line number, from 1.
    pub line: usize,
    /// Column in bytes, from 1.
    pub column: usize,
    /// Description of the error.
    pub message: String,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}
