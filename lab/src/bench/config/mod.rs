//! Measures how long accepted rules take to come into force in every process,
//! with entries and agents run from the built binary.

mod command;
mod fault;
mod process_fleet;
mod process_usage;
mod rules_text;

pub use command::ConfigCommand;
