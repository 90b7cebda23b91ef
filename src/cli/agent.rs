//! `teaseldrum agent`: guards a backend server until told to stop.

use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use crate::agent::run_agent;
use crate::logs::start_logging;
use crate::settings::AgentSettings;

/// Guard one backend server: the last gate of every request and order to it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "agent")]
pub struct AgentCommand {
    /// settings file in JSON
    #[argh(option)]
    settings: PathBuf,
}

impl AgentCommand {
    /// Runs the agent until SIGTERM or SIGINT.
    pub fn run(self) -> Exit {
        let settings = match AgentSettings::load(&self.settings) {
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
        match run_agent(settings) {
            Ok(()) => Exit::Done,
            Err(e) => {
                eprintln!("{e}");
                Exit::Failed
            }
        }
    }
}
