//! What is logged and how.

use serde::Deserialize;

use super::Section;

/// Least important kind of line that is logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that need an operator.
    Error,
    /// Failures that the process deals with.
    Warn,
    /// Changes of state.
    Info,
    /// Single requests and connections.
    Debug,
}

/// Shape of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text with key=value pairs.
    Text,
    /// One JSON object a line.
    Json,
}

/// What is logged and how.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Least important kind of line that is logged.
    pub level: LogLevel,
    /// Shape of log lines.
    pub format: LogFormat,
}

impl LogSettings {
    /// Reads the section.
    pub fn read(section: &mut Section) -> Self {
        Self {
            level: section.take("level", LogLevel::Info),
            format: section.take("format", LogFormat::Text),
        }
    }
}
