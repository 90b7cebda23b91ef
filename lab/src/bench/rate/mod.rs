//! Simulates the rate limiters of many entries in virtual time, under load and
//! faults, and compares what they admit with the rules of the client accounts.

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
