//! `teaseldrum rules diff`: prints a unified diff from an accepted revision to
//! a rules file, or to the rules in force.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;
use similar::TextDiff;

use super::Exit;
use super::endpoints::Endpoints;
use super::show::read_rules_text;
use crate::core::Revision;
use crate::registry::BlockingStore;

/// Compare a rules file, or the rules in force, with an accepted revision.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "diff")]
pub struct DiffCommand {
    /// revision to compare with; the one in force if left out
    #[argh(option)]
    from: Option<u64>,
    /// settings file with the address of the store
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's store; may be repeated
    #[argh(option)]
    store: Vec<SocketAddr>,
    /// rules file; the rules in force if left out
    #[argh(positional)]
    file: Option<PathBuf>,
}

impl DiffCommand {
    /// Prints the diff; identical texts print nothing and still succeed.
    pub fn run(self) -> Exit {
        let endpoints = Endpoints::resolve(self.settings.as_deref(), &self.store, None, &[]);
        let endpoints =
            match endpoints.and_then(|endpoints| endpoints.require_store().map(|()| endpoints)) {
                Ok(endpoints) => endpoints,
                Err(exit) => return exit,
            };
        let store = BlockingStore::new(&endpoints.platform);
        let old = read_rules_text(&store, self.from.map(Revision)).map_err(|e| e.to_string());
        let new = match &self.file {
            Some(file) => fs::read_to_string(file)
                .map(|text| (file.display().to_string(), text))
                .map_err(|e| format!("{}: {e}", file.display())),
            None => read_rules_text(&store, None)
                .map(|(revision, text)| (format!("revision {revision}"), text))
                .map_err(|e| e.to_string()),
        };
        match (old, new) {
            (Ok((revision, old)), Ok((name, new))) => {
                let diff = TextDiff::from_lines(&old, &new);
                let old_name = format!("revision {revision}");
                print!("{}", diff.unified_diff().header(&old_name, &name));
                Exit::Success
            }
            (Err(e), _) | (_, Err(e)) => {
                eprintln!("{e}");
                Exit::Failure
            }
        }
    }
}
