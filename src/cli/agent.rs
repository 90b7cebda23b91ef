//! `teaseldrum agent`: guards a backend server until told to stop.

use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::run_role::run_role;
use crate::agent::run_agent;
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
        run_role(
            &self.settings,
            AgentSettings::load,
            |settings| &settings.log,
            run_agent,
        )
    }
}
