//! Errors in a settings file, as commands print them.

use std::fmt;

/// One invalid field of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, such as `listen.traffic`; empty for the file's outer
    /// object.
    pub path: String,
    /// Reason for which the value is invalid, as a predicate without a subject,
    /// such as `is required`.
    pub problem: String,
}

impl fmt::Display for FieldError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.path.is_empty() {
            f.write_str(&self.problem)
        } else {
            write!(f, "{}: {}", self.path, self.problem)
        }
    }
}

/// Reason for which a settings file cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SettingsError {
    /// The file cannot be read; holds the error of the system.
    Unreadable(String),
    /// The file is not JSON; holds the error of the parser.
    InvalidJson(String),
    /// Fields are invalid; holds at least one error.
    InvalidFields(Vec<FieldError>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "cannot be read: {reason}"),
            Self::InvalidJson(reason) => write!(f, "invalid JSON: {reason}"),
            Self::InvalidFields(errors) => {
                let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&messages.join("\n"))
            }
        }
    }
}
