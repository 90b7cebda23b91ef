//! `teaseldrum entry`: runs an entry, which routes clients' requests to
//! agents, until a signal stops it.

use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::run_role::run_role;
use crate::entry::run_entry;
use crate::settings::EntrySettings;

/// Serve clients: authenticate and admit each request, choose a backend server,
/// relay the response, and retry if that fails.
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
