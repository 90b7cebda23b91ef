//! `teaseldrum-lab bench`: runs the bench that its subcommand names.

use argh::FromArgs;
use teaseldrum::cli::Exit;

use super::named_bench::NamedBench;
use crate::bench::config::ConfigCommand;
use crate::bench::decide::DecideCommand;
use crate::bench::policy::PolicyCommand;
use crate::bench::rate::RateCommand;

/// Run one bench and print what it measured.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "bench")]
pub struct BenchCommand {
    #[argh(subcommand)]
    bench: BenchChoice,
}

#[derive(Debug, FromArgs)]
#[argh(subcommand)]
enum BenchChoice {
    Decide(DecideCommand),
    Config(ConfigCommand),
    Policy(PolicyCommand),
    Rate(RateCommand),
    #[argh(dynamic)]
    Named(NamedBench),
}

impl BenchCommand {
    /// Runs the chosen bench, which prints its figures.
    pub fn run(self) -> Exit {
        match self.bench {
            BenchChoice::Decide(command) => command.run(),
            BenchChoice::Config(command) => command.run(),
            BenchChoice::Policy(command) => command.run(),
            BenchChoice::Rate(command) => command.run(),
            BenchChoice::Named(bench) => bench.run(),
        }
    }
}
