//! Router for language-model traffic with long shared prompts.
//!
//! Entries run on the hosts behind the platform's load balancer: they accept
//! requests and choose a backend server for each. An agent runs beside each
//! backend server and is the only process that sends it orders. In a fleet
//! configured by the platform, [`gateway`] and [`sidecar`] take these two roles;
//! elsewhere [`entry`] and [`agent`] do.
//!
//! [`core`] makes all decisions and does no I/O. The other modules connect it
//! to sockets, files, timers and threads.

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
pub mod stop_signals;
pub mod threads;
pub mod timeline;
