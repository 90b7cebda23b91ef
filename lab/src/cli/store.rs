//! `teaseldrum-lab store`: runs the stand-in for the platform's store.

use std::net::SocketAddr;

use argh::FromArgs;
use teaseldrum::cli::Exit;

use super::wait_for_signal;
use crate::store::start_store;

/// Run the stand-in for the platform's store until SIGTERM or SIGINT.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
}

impl StoreCommand {
    /// Serves the store, prints its address and, at the end, its call counts.
    pub fn run(self) -> Exit {
        let store = start_store(self.listen);
        println!("store {}", store.address());
        wait_for_signal();
        let counts = serde_json::to_string(&store.counts()).expect("the counts serialize");
        println!("{counts}");
        Exit::Success
    }
}
