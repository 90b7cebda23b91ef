//! What is wrong with a settings file.

use std::fmt;

/// One fault of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field, such as `listen.traffic`; empty for the whole file.
    pub path: String,
    /// What is wrong with it.
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
    /// The file cannot be read.
    Unreadable(String),
    /// The file is not JSON.
    InvalidJson(String),
    /// Fields are faulty; at least one.
    InvalidFields(Vec<FieldError>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable(reason) => write!(f, "cannot be read: {reason}"),
            Self::InvalidJson(reason) => write!(f, "not JSON: {reason}"),
            Self::InvalidFields(errors) => {
                let messages: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&messages.join("\n"))
            }
        }
    }
}
