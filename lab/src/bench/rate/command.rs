//! `teaseldrum-lab bench rate`: runs one scenario of the rate limiter simulation.

use argh::FromArgs;
use teaseldrum::cli::Exit;

use super::fault::Fault;
use super::simulation::Scenario;
use super::simulation::run_scenario;

/// Run the rate limiters of many entries in virtual time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "rate")]
pub struct RateCommand {
    /// entries of the fleet
    #[argh(option, default = "3")]
    entries: usize,
    /// client accounts
    #[argh(option, default = "590")]
    accounts: usize,
    /// fault after the warm-up: none, keeper-crash (the coordinator of the
    /// largest account stops), entry-restart, skew or store-down
    #[argh(option, default = "Fault::None")]
    fault: Fault,
    /// random seed
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

impl RateCommand {
    /// Runs the bench and prints its figures as JSON.
    pub fn run(self) -> Exit {
        if self.entries == 0 || self.accounts == 0 {
            eprintln!("At least one entry and one account are needed.");
            return Exit::InvalidInput;
        }
        let figures = run_scenario(Scenario {
            entries: self.entries,
            accounts: self.accounts,
            fault: self.fault,
            seed: self.seed,
        });
        if self.json {
            println!("{figures}");
        } else {
            println!("{figures:#}");
        }
        Exit::Success
    }
}
