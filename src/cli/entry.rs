//! `teaseldrum entry`: serves callers until told to stop.

use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::run_role::run_role;
use crate::entry::run_entry;
use crate::settings::EntrySettings;

/// Serve callers: authenticate, admit, choose a server, relay and retry.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "entry")]
pub struct EntryCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: PathBuf,
}

impl EntryCommand {
    /// Runs the entry until SIGTERM or SIGINT.
    pub fn run(self) -> Exit {
        run_role(
            &self.settings,
            EntrySettings::load,
            |settings| &settings.log,
            run_entry,
        )
    }
}
