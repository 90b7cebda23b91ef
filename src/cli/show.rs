//! `teaseldrum rules show`: prints the text of accepted rules to standard
//! output and their revision to standard error.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::endpoints::Endpoints;
use crate::config::ReadError;
use crate::config::read_record;
use crate::config::read_text_at;
use crate::core::Revision;
use crate::registry::BlockingStore;

/// Print the rules in force, or those of an earlier revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub struct ShowCommand {
    /// revision to print; the one in force if left out
    #[argh(option)]
    revision: Option<u64>,
    /// settings file with the address of the store
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's store; may be repeated
    #[argh(option)]
    store: Vec<SocketAddr>,
}

impl ShowCommand {
    /// Prints the rules; fails if the revision is not in the store.
    pub fn run(self) -> Exit {
        let endpoints = Endpoints::resolve(self.settings.as_deref(), &self.store, None, &[]);
        let endpoints =
            match endpoints.and_then(|endpoints| endpoints.require_store().map(|()| endpoints)) {
                Ok(endpoints) => endpoints,
                Err(exit) => return exit,
            };
        let store = BlockingStore::new(&endpoints.platform);
        match read_rules_text(&store, self.revision.map(Revision)) {
            Ok((revision, text)) => {
                eprintln!("revision {revision}");
                print!("{text}");
                Exit::Success
            }
            Err(e) => {
                eprintln!("{e}");
                Exit::Failure
            }
        }
    }
}

/// Reads the text of a revision, or of the one in force if none is given.
/// Returns it with its revision.
pub(super) fn read_rules_text(
    store: &BlockingStore,
    revision: Option<Revision>,
) -> Result<(Revision, String), ReadError> {
    match revision {
        Some(revision) => Ok((revision, read_text_at(store, revision)?)),
        None => {
            let record = read_record(store)?.ok_or(ReadError::NoRevision(Revision(0)))?;
            Ok((record.revision, record.text))
        }
    }
}
