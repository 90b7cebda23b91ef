//! Simulates placement policies in virtual time: the decision code of the entry
//! and simpler baselines choose servers among models of engines.

mod agent_model;
mod command;
mod consistent_hash;
mod event;
mod fault;
mod least_loaded;
mod measures;
mod policy_name;
mod rate_limits;
mod round_robin;
mod server_selector;
mod server_state;
mod simulation;
mod teaseldrum_policy;
mod trace;
mod workload;

pub use command::PolicyCommand;
