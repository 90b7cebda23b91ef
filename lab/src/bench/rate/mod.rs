//! Rates of client accounts across many entries: the limiter of the entries
//! in virtual time, under load and faults.

mod command;
mod fault;
mod figures;
mod fleet;
mod network;
mod simulation;
pub mod spend_check;
mod wire_size;
mod workload;

pub use command::RateCommand;
