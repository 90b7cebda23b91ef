//! One line of a process's log.

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

/// One line of a process's log, as text or JSON.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogLine {
    /// Process that wrote it.
    pub process: String,
    /// When, since the epoch, by the clock of its host.
    pub time: Duration,
    /// Part of the process that it is about, such as `call`.
    pub component: String,
    /// What it says, without the part.
    pub text: String,
}

/// Reason for which a line is no line of a log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogLineError {
    /// It is neither text nor JSON with a time and a message.
    InvalidFormat,
    /// Its time is no time.
    InvalidTime,
}

impl fmt::Display for LogLineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InvalidFormat => "no line with time and message",
            Self::InvalidTime => "the time is malformed",
        })
    }
}

/// What a line holds before its message is split.
#[derive(Debug)]
struct RawLine<'a> {
    process: Option<&'a str>,
    time: &'a str,
    message: &'a str,
}

impl LogLine {
    /// Reads a line. `process` names who wrote it, unless words before the
    /// time do, as where the logs of several processes were collected.
    ///
    /// # Errors
    ///
    /// It is no line of a log.
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

    /// Returns the first value named so, as in `name=value`.
    pub fn field<'a>(&'a self, name: &'a str) -> Option<&'a str> {
        self.fields(name).next()
    }

    /// Returns all values named so.
    pub fn fields<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.text
            .split(' ')
            .filter_map(move |word| word.strip_prefix(name)?.strip_prefix('='))
    }

    /// Returns a number named so.
    pub fn number(&self, name: &str) -> Option<i64> {
        self.field(name)?.parse().ok()
    }
}

/// Parses `WORDS time=T level=L message="M"`, where the last word, if there
/// is one, names the process.
fn parse_text_line<'a>(input: &mut &'a str) -> Result<RawLine<'a>> {
    let words = take_until(0.., "time=").parse_next(input)?;
    let time =
        preceded("time=", take_while(1.., |c: char| !c.is_whitespace())).parse_next(input)?;
    let (_, _) = (space0, opt(("level=", take_until(1.., " "), space0))).parse_next(input)?;
    let message: &str = preceded("message=\"", rest).parse_next(input)?;
    // A message may hold quotation marks; after the last one stands a count of
    // lines dropped.
    let (message, _) = message.rsplit_once('"').unwrap_or((message, ""));
    Ok(RawLine {
        process: words.split_whitespace().next_back(),
        time,
        message,
    })
}
