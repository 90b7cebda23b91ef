//! Command line of `teaseldrum-lab`. Each module holds one subcommand.

mod bench;
mod demo;
mod hosts;
mod named_bench;
mod soak;
mod store;

use std::process::ExitCode;

use argh::FromArgs;
use teaseldrum::cli::Exit;
use teaseldrum::cli::parse_arguments;
use teaseldrum::threads::build_runtime;
use teaseldrum::threads::wait_for_stop;
use tokio::sync::watch;

/// Stand-ins, demo and experiments of teaseldrum.
#[derive(Debug, FromArgs)]
#[argh(note = "Exit codes: 0 done, 1 the command failed, 2 wrong arguments.")]
struct Arguments {
    #[argh(subcommand)]
    command: Command,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum Command {
    Bench(bench::BenchCommand),
    Demo(demo::DemoCommand),
    Hosts(hosts::HostsCommand),
    Soak(soak::SoakCommand),
    Store(store::StoreCommand),
}

/// Parses the arguments of the process, runs the command that they name and
/// returns the exit code of the process.
pub fn run() -> ExitCode {
    match parse_arguments::<Arguments>() {
        Ok(arguments) => arguments.run().into(),
        Err(exit) => exit.into(),
    }
}

impl Arguments {
    fn run(self) -> Exit {
        match self.command {
            Command::Bench(command) => command.run(),
            Command::Demo(command) => command.run(),
            Command::Hosts(command) => command.run(),
            Command::Soak(command) => command.run(),
            Command::Store(command) => command.run(),
        }
    }
}

/// Blocks until the process receives SIGTERM or SIGINT.
fn wait_for_signal() {
    let (_stop_sender, stop) = watch::channel(false);
    let runtime = build_runtime().expect("the runtime starts");
    runtime.block_on(wait_for_stop(stop));
}
