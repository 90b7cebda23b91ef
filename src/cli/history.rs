//! `teaseldrum rules history`: lists accepted revisions, one per line with
//! tab-separated fields.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::endpoints::Endpoints;
use crate::config::read_history;
use crate::registry::BlockingStore;

/// List accepted revisions, newest first: revision, time of acceptance in
/// milliseconds since the Unix epoch, operator and reason.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub struct HistoryCommand {
    /// largest number of revisions to list
    #[argh(option, default = "20")]
    limit: usize,
    /// settings file with the address of the store
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's store; may be repeated
    #[argh(option)]
    store: Vec<SocketAddr>,
}

impl HistoryCommand {
    /// Prints the history up to the limit.
    pub fn run(self) -> Exit {
        let endpoints = Endpoints::resolve(self.settings.as_deref(), &self.store, None, &[]);
        let endpoints =
            match endpoints.and_then(|endpoints| endpoints.require_store().map(|()| endpoints)) {
                Ok(endpoints) => endpoints,
                Err(exit) => return exit,
            };
        match read_history(&BlockingStore::new(&endpoints.platform)) {
            Ok(entries) => {
                for entry in entries.iter().rev().take(self.limit) {
                    println!(
                        "{}\t{}\t{}\t{}",
                        entry.revision, entry.accepted_at_ms, entry.accepted_by, entry.reason
                    );
                }
                Exit::Success
            }
            Err(e) => {
                eprintln!("{e}");
                Exit::Failure
            }
        }
    }
}
