//! `teaseldrum entry`: serves callers until told to stop.

use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use crate::entry::run_entry;
use crate::logs::start_logging;
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
        let settings = match EntrySettings::load(&self.settings) {
            Ok(settings) => settings,
            Err(e) => {
                eprintln!("{}: {e}", self.settings.display());
                return Exit::Faulty;
            }
        };
        let logger = start_logging(&settings.log);
        if let Err(e) = &logger {
            eprintln!("Logging cannot start: {e}");
        }
        match run_entry(settings) {
            Ok(()) => Exit::Done,
            Err(e) => {
                eprintln!("{e}");
                Exit::Failed
            }
        }
    }
}
