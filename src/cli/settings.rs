//! `teaseldrum settings check`: reports every error of a settings file.

use std::path::Path;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use crate::settings::AgentSettings;
use crate::settings::EntrySettings;
use crate::settings::GatewaySettings;
use crate::settings::SettingsError;
use crate::settings::SidecarSettings;

/// Check settings files.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "settings")]
pub struct SettingsCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Check(CheckCommand),
}

/// Check a settings file and print every error with the path of its field.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// role that the file is for: entry, agent, gateway or sidecar; if left out,
    /// the file must be valid for at least one of them
    #[argh(option)]
    role: Option<String>,
    /// settings file in JSON
    #[argh(positional)]
    file: PathBuf,
}

impl SettingsCommand {
    /// Runs the subcommand.
    pub fn run(self) -> Exit {
        match self.command {
            Subcommand::Check(command) => command.run(),
        }
    }
}

impl CheckCommand {
    fn run(self) -> Exit {
        let result = match self.role.as_deref() {
            Some("agent") => check_agent(&self.file),
            Some("entry") => check_entry(&self.file),
            Some("gateway") => check_gateway(&self.file),
            Some("sidecar") => check_sidecar(&self.file),
            Some(other) => {
                eprintln!("Unknown role `{other}`; expected agent, entry, gateway or sidecar.");
                return Exit::InvalidInput;
            }
            None => check_agent(&self.file)
                .or_else(|_| check_gateway(&self.file))
                .or_else(|_| check_sidecar(&self.file))
                .or_else(|_| check_entry(&self.file)),
        };
        match result {
            Ok(()) => {
                println!("{}: no faults", self.file.display());
                Exit::Success
            }
            Err(e) => {
                eprintln!("{}:\n{e}", self.file.display());
                Exit::InvalidInput
            }
        }
    }
}

fn check_agent(file: &Path) -> Result<(), SettingsError> {
    AgentSettings::load(file).map(drop)
}

fn check_entry(file: &Path) -> Result<(), SettingsError> {
    EntrySettings::load(file).map(drop)
}

fn check_gateway(file: &Path) -> Result<(), SettingsError> {
    GatewaySettings::load(file).map(drop)
}

fn check_sidecar(file: &Path) -> Result<(), SettingsError> {
    SidecarSettings::load(file).map(drop)
}
