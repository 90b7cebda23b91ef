//! Parser for the log lines that `logs` writes, in either format.

use std::fmt;
use std::time::Duration;

use chrono::DateTime;
use serde_json::Value;
use winnow::Parser;
use winnow::Result;
use winnow::ascii::space0;
use winnow::combinator::opt;
use winnow::combinator::preceded;
use winnow::token::rest;
use winnow::token::take_until;
use winnow::token::take_while;

/// One parsed line of a process's log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Name of the process that wrote the line.
    pub process: String,
    /// Time since the Unix epoch by the clock of the process's host, in whole
    /// milliseconds.
    pub time: Duration,
    /// Word before the first colon of the message, which names the component
    /// that wrote it, such as `call`; empty if there is none.
    pub component: String,
    /// Rest of the message, after the component.
    pub text: String,
}

/// Reason for which a line is not a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLineError {
    /// The line is neither text nor JSON with a time and a message.
    InvalidFormat,
    /// The time is not a valid RFC 3339 time after 1970.
    InvalidTime,
}

impl fmt::Display for LogLineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidFormat => "the line has no time or no message",
            Self::InvalidTime => "the time is not a valid RFC 3339 time",
        })
    }
}

/// Fields of a line in text format.
#[derive(Debug)]
struct RawLine<'a> {
    process: Option<&'a str>,
    time: &'a str,
    message: &'a str,
}

impl LogLine {
    /// Parses a line in text or JSON format. `process` names the process that
    /// wrote it, unless the line itself does before its time, as in logs that
    /// were collected from several processes.
    ///
    /// # Errors
    ///
    /// The line is not a log line.
    pub fn parse(line: &str, process: &str) -> std::result::Result<Self, LogLineError> {
        if let Ok(value) = serde_json::from_str::<Value>(line) {
            let field = |name: &str| value[name].as_str().ok_or(LogLineError::InvalidFormat);
            return Self::from_parts(process, field("time")?, field("message")?);
        }
        let raw = parse_text_line
            .parse(line)
            .map_err(|_| LogLineError::InvalidFormat)?;
        Self::from_parts(raw.process.unwrap_or(process), raw.time, raw.message)
    }

    fn from_parts(
        process: &str,
        time: &str,
        message: &str,
    ) -> std::result::Result<Self, LogLineError> {
        let time = DateTime::parse_from_rfc3339(time).map_err(|_| LogLineError::InvalidTime)?;
        let millis =
            u64::try_from(time.timestamp_millis()).map_err(|_| LogLineError::InvalidTime)?;
        let (component, text) = message.split_once(": ").unwrap_or(("", message));
        Ok(Self {
            process: process.into(),
            time: Duration::from_millis(millis),
            component: component.into(),
            text: text.into(),
        })
    }

    /// Returns the value of the first word of the form `name=value`.
    pub fn field<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.fields(name).next()
    }

    /// Returns the values of all words of the form `name=value`, in order.
    pub fn fields<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.text
            .split(' ')
            .filter_map(move |word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns the first value of `name` as a number; `None` if it is missing
    /// or not a whole number.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }
}

/// Parses `WORDS time=T level=L message="M"`. The last of the words, if there
/// are any, names the process; the level may be missing.
fn parse_text_line<'a>(input: &mut &'a str) -> Result<RawLine<'a>> {
    let words = take_until(0.., "time=").parse_next(input)?;
    let time =
        preceded("time=", take_while(1.., |c: char| !c.is_whitespace())).parse_next(input)?;
    let (_, _) = (space0, opt(("level=", take_until(1.., " "), space0))).parse_next(input)?;
    let message: &str = preceded("message=\"", rest).parse_next(input)?;
    // The message may contain quotation marks, so it ends at the last one. Only
    // the count of dropped lines can follow it.
    let (message, _) = message.rsplit_once('"').unwrap_or((message, ""));
    Ok(RawLine {
        process: words.split_whitespace().next_back(),
        time,
        message,
    })
}
