//! What is wrong with a line of a rules file.

use std::fmt;

/// What is wrong with a line of a rules file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RuleError {
    /// Number of the line, from 1.
    pub line: usize,
    /// Number of the column, from 1.
    pub column: usize,
    /// What is wrong.
    pub message: String,
}

impl fmt::Display for RuleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)
    }
}
