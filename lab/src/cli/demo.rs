//! `teaseldrum-lab demo`: small deployments of both customers, measured under
//! streamed traffic or kept up for manual requests.

use std::time::Duration;

use argh::FromArgs;
use teaseldrum::cli::Exit;

use super::wait_for_signal;
use crate::demo::DeploymentSpec;
use crate::demo::Fleet;
use crate::demo::Measures;
use crate::demo::print_curl_lines;
use crate::demo::send_traffic;

/// Start whole small deployments on loopback inside this process, send them
/// streamed traffic and print the five measures of each.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct DemoCommand {
    /// keep the deployments up and print curl lines that work, until SIGTERM
    /// or SIGINT
    #[argh(switch)]
    serve: bool,
    /// seconds of traffic for each deployment
    #[argh(option, default = "12")]
    seconds: u64,
    /// seed of the traffic
    #[argh(option, default = "1")]
    seed: u64,
}

impl DemoCommand {
    /// Runs the demo. It fails if a request failed, or if no prefix was found in
    /// a cache.
    pub fn run(self) -> Exit {
        let deployments = [DeploymentSpec::guild(), DeploymentSpec::sabarmati()];
        if self.serve {
            return serve(&deployments);
        }
        let measured = deployments.map(|deployment| self.run_deployment(&deployment));
        println!();
        for measures in &measured {
            println!("{measures}");
        }
        println!(
            "hit rate: prompt tokens found in an engine's cache; recomputed: prompt tokens computed\n\
             again though an earlier request had them; TTFT: time to first token."
        );
        let has_passed = |measures: &Measures| measures.failed() == 0 && measures.hit_rate() > 0.0;
        if measured.iter().all(has_passed) {
            Exit::Success
        } else {
            eprintln!("The demo failed: requests failed, or no prefix was found in a cache.");
            Exit::Failure
        }
    }

    fn run_deployment(&self, deployment: &DeploymentSpec) -> Measures {
        eprintln!("{}: Starting.", deployment.name);
        let fleet = Fleet::start(deployment);
        eprintln!(
            "{}: {} entries, {} agents, {} engines and {} plain services are up.",
            deployment.name,
            fleet.entries.len(),
            fleet.agents.len(),
            fleet.engines.len(),
            fleet.services.len()
        );
        let length = Duration::from_secs(self.seconds);
        send_traffic(deployment, &fleet.addresses(), length, self.seed)
    }
}

fn serve(deployments: &[DeploymentSpec]) -> Exit {
    let fleets: Vec<Fleet> = deployments.iter().map(Fleet::start).collect();
    for (deployment, fleet) in deployments.iter().zip(&fleets) {
        print_curl_lines(deployment, fleet);
    }
    println!("Stop with Ctrl-C.");
    wait_for_signal();
    Exit::Success
}
