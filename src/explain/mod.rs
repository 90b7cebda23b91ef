//! Explains one request from the logs of several processes, whose clocks may
//! differ.

mod cause;
mod log_line;
mod story;

pub use cause::find_cause;
pub use log_line::LogLine;
pub use log_line::LogLineError;
pub use story::Story;
