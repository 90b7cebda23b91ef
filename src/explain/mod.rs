//! Explains how one request was handled, from the logs of several processes
//! whose clocks may differ. A *call* is one request of a caller, as a gateway logs
//! it; a *sidecar* is the agent of a backend server.

mod log_line;
mod outcome;
mod request_report;

pub use log_line::LogLine;
pub use log_line::LogLineError;
pub use outcome::describe_outcome;
pub use request_report::RequestReport;
