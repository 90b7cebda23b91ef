//! Logging to standard output. Each message begins with the name of its
//! component and a colon, and never contains API keys or prompts.

mod bounded_writer;

use std::io::Error;
use std::io::Write;
use std::io::stdout;

use flexi_logger::DeferredNow;
use flexi_logger::FlexiLoggerError;
use flexi_logger::Logger;
use flexi_logger::LoggerHandle;
use log::Record;
use serde_json::json;

use crate::settings::LogFormat;
use crate::settings::LogLevel;
use crate::settings::LogSettings;

/// UTC time with milliseconds, in the form of RFC 3339.
const TIME_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";

pub use bounded_writer::BoundedWriter;
pub use bounded_writer::dropped_line_count;

/// Starts logging to standard output without ever blocking the caller; logging
/// stops when the handle is dropped. Lines of libraries are written from the
/// level of a warning only.
///
/// # Errors
///
/// A logger is running already, or the writing thread cannot be started.
pub fn start_logging(settings: &LogSettings) -> Result<LoggerHandle, FlexiLoggerError> {
    let level = match settings.level {
        LogLevel::Error => "error",
        LogLevel::Warn => "warn",
        LogLevel::Info => "warn, teaseldrum=info",
        LogLevel::Debug => "warn, teaseldrum=debug",
    };
    let format = match settings.format {
        LogFormat::Text => write_text,
        LogFormat::Json => write_json,
    };
    let writer = BoundedWriter::start(format, stdout())?;
    Logger::try_with_str(level)?
        .use_utc()
        .log_to_writer(Box::new(writer))
        .start()
}

fn write_text(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> Result<(), Error> {
    let time = now.format(TIME_FORMAT);
    write!(
        w,
        "time={time} level={} message=\"{}\"",
        record.level(),
        record.args()
    )
}

fn write_json(w: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> Result<(), Error> {
    let line = json!({
        "time": now.format(TIME_FORMAT).to_string(),
        "level": record.level().as_str(),
        "message": record.args().to_string(),
    });
    write!(w, "{line}")
}
