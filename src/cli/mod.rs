//! Command line of `teaseldrum`. Each subcommand has a file of its own.

mod accept;
mod agent;
mod arguments;
mod diff;
mod endpoints;
mod entry;
mod exit;
mod explain;
mod fleet_client;
mod gateway;
mod history;
mod key;
mod order;
mod rules;
mod run_role;
mod settings;
mod show;
mod sidecar;
mod status;
mod timeline;

use std::process::ExitCode;

use argh::FromArgs;

pub use arguments::parse_arguments;
pub use exit::Exit;
pub use order::write_order;

/// Router for language-model traffic with long shared prompts.
#[derive(Debug, FromArgs)]
#[argh(note = "Exit codes: 0 success, 1 the command failed, 2 invalid arguments or input.")]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Agent(agent::AgentCommand),
    Entry(entry::EntryCommand),
    Explain(explain::ExplainCommand),
    Gateway(gateway::GatewayCommand),
    Order(order::OrderCommand),
    Key(key::KeyCommand),
    Rules(rules::RulesCommand),
    Settings(settings::SettingsCommand),
    Sidecar(sidecar::SidecarCommand),
    Status(status::StatusCommand),
    Timeline(timeline::TimelineCommand),
}

/// Parses the arguments of the process and runs the command that they name.
pub fn run() -> ExitCode {
    match parse_arguments::<Arguments>() {
        Ok(arguments) => arguments.run().into(),
        Err(exit) => exit.into(),
    }
}

impl Arguments {
    fn run(self) -> Exit {
        if self.version {
            println!("teaseldrum {}", env!("CARGO_PKG_VERSION"));
            return Exit::Success;
        }
        match self.command {
            Some(Command::Agent(command)) => command.run(),
            Some(Command::Entry(command)) => command.run(),
            Some(Command::Explain(command)) => command.run(),
            Some(Command::Gateway(command)) => command.run(),
            Some(Command::Order(command)) => command.run(),
            Some(Command::Key(command)) => command.run(),
            Some(Command::Rules(command)) => command.run(),
            Some(Command::Settings(command)) => command.run(),
            Some(Command::Sidecar(command)) => command.run(),
            Some(Command::Status(command)) => command.run(),
            Some(Command::Timeline(command)) => command.run(),
            None => {
                eprintln!("No command given; see `teaseldrum --help`.");
                Exit::InvalidInput
            }
        }
    }
}
