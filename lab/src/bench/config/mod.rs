//! Bench of the time from the acceptance of rules until they are in force in
//! every process, with the built binary.

mod command;
mod fault;
mod process_fleet;
mod process_usage;
mod rules_text;

pub use command::ConfigCommand;
