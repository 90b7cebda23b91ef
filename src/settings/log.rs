//! Level and format of the log.

use serde::Deserialize;

use super::Section;

/// Lowest level of the lines that are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogLevel {
    /// Failures that an operator must deal with.
    Error,
    /// Failures that the process recovers from by itself.
    Warn,
    /// Changes of state.
    Info,
    /// Details of single requests and connections.
    Debug,
}

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum LogFormat {
    /// Text of `key=value` pairs for time, level and message.
    Text,
    /// One JSON object per line, with time, level and message.
    Json,
}

/// Level and format of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LogSettings {
    /// Lowest level of the lines that are written.
    pub level: LogLevel,
    /// Format of each line.
    pub format: LogFormat,
}

impl LogSettings {
    /// Reads the section `log`.
    pub fn read(section: &mut Section) -> Self {
        Self {
            level: section.take("level", LogLevel::Info),
            format: section.take("format", LogFormat::Text),
        }
    }
}
