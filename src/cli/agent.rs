//! `teaseldrum agent`: runs the agent of one backend server until a signal
//! stops it.

use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::run_role::run_role;
use crate::agent::run_agent;
use crate::settings::AgentSettings;

/// Run the agent of one backend server. Every request and order to the server
/// passes through it.
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
