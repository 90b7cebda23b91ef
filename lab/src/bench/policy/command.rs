//! `teaseldrum-lab bench policy`: runs one placement policy on one workload.

use argh::FromArgs;
use teaseldrum::cli::Exit;

use super::fault::Fault;
use super::policy_name::PolicyName;
use super::simulation::Scenario;
use super::simulation::run_scenario;
use super::workload::Workload;

/// Run a placement policy against engine models in virtual time.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "policy")]
pub struct PolicyCommand {
    /// workload: guild or sabarmati
    #[argh(option)]
    workload: Workload,
    /// policy: teaseldrum, round-robin, least-loaded, consistent-hash or
    /// consistent-hash-plain
    #[argh(option)]
    policy: PolicyName,
    /// fault: none, engine-crash, event-loss, entry-restarts, hot-shift, zone-loss
    /// or noisy-account
    #[argh(option, default = "Fault::None")]
    fault: Fault,
    /// random seed
    #[argh(option, default = "1")]
    seed: u64,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

impl PolicyCommand {
    /// Runs the bench and prints its figures as JSON.
    pub fn run(self) -> Exit {
        let figures = run_scenario(Scenario {
            workload: self.workload,
            policy: self.policy,
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
