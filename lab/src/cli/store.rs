//! `teaseldrum-lab store`: the platform store's stand-in as a process.

use std::net::SocketAddr;

use argh::FromArgs;
use teaseldrum::cli::Exit;

use super::wait_for_signal;
use crate::store::start_store;

/// Run the platform store's stand-in until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

impl StoreCommand {
    /// Runs the store.
    pub fn run(self) -> Exit {
        let store = start_store(self.listen);
        println!("store {}", store.address());
        wait_for_signal();
        let counts = serde_json::to_string(&store.counts()).expect("JSON");
        println!("{counts}");
        Exit::Success
    }
}
