//! `teaseldrum rules`: the group of subcommands on rules, and `rules check`.

use std::fs;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::accept::AcceptCommand;
use super::diff::DiffCommand;
use super::history::HistoryCommand;
use super::show::ShowCommand;
use crate::core::Revision;
use crate::rules::parse_rules;

/// Check, accept and show rules.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rules")]
pub struct RulesCommand {
    #[argh(subcommand)]
    command: Subcommand,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Subcommand {
    Accept(AcceptCommand),
    Check(CheckCommand),
    Diff(DiffCommand),
    History(HistoryCommand),
    Show(ShowCommand),
}

/// Check a rules file and print every error with its line and column.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "check")]
struct CheckCommand {
    /// rules file
    #[argh(positional)]
    file: PathBuf,
}

impl RulesCommand {
    /// Runs the subcommand.
    pub fn run(self) -> Exit {
        match self.command {
            Subcommand::Accept(command) => command.run(),
            Subcommand::Check(command) => command.run(),
            Subcommand::Diff(command) => command.run(),
            Subcommand::History(command) => command.run(),
            Subcommand::Show(command) => command.run(),
        }
    }
}

impl CheckCommand {
    fn run(self) -> Exit {
        let text = match fs::read_to_string(&self.file) {
            Ok(text) => text,
            Err(e) => {
                eprintln!("{}: {e}", self.file.display());
                return Exit::InvalidInput;
            }
        };
        match parse_rules(&text, Revision(0)) {
            Ok(rules) => {
                println!(
                    "{}: no faults; {} accounts, {} keys, {} routes",
                    self.file.display(),
                    rules.accounts.len(),
                    rules.keys.len(),
                    rules.routes.len()
                );
                Exit::Success
            }
            Err(faults) => {
                for fault in faults {
                    eprintln!("{}:{fault}", self.file.display());
                }
                Exit::InvalidInput
            }
        }
    }
}
