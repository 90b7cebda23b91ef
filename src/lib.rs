//! Router for language-model traffic with long shared prompts.
//!
//! Two roles run for long: `entry` on the hosts behind the platform's
//! balancer, and `agent` beside each backend server. [`core`] holds every
//! decision as functions without input or output; the other modules put
//! sockets, files, timers and threads round it.

pub mod agent;
pub mod cli;
pub mod clock;
pub mod config;
pub mod core;
pub mod entry;
pub mod explain;
pub mod gateway;
pub mod http;
pub mod logs;
pub mod mesh;
pub mod metrics;
pub mod operator;
pub mod peer;
#[path = "../platform/mod.rs"]
pub mod platform;
pub mod ports;
pub mod registry;
pub mod relay;
pub mod rules;
pub mod settings;
pub mod sidecar;
pub mod threads;
pub mod timeline;
