//! Stand-ins for the systems around teaseldrum (engine, plain service, store,
//! host list, network link), and the demo, benches and soak that run against
//! them.

pub mod background_server;
pub mod bench;
pub mod cli;
pub mod clock;
pub mod crowd;
pub mod demo;
pub mod deployment;
pub mod engine;
pub mod history;
pub mod hosts;
pub mod link;
pub mod loopback;
#[path = "../../platform/tests/stand_in/mod.rs"]
pub mod platform_stand_in;
pub mod service;
pub mod soak;
pub mod stand_in;
pub mod store;
