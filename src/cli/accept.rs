//! `teaseldrum rules accept`: puts rules in force.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;

use super::Exit;
use super::endpoints::Endpoints;
use super::fleet_client::FleetClient;
use crate::config::AcceptError;
use crate::config::Proposal;
use crate::config::accept_rules;
use crate::core::Revision;
use crate::core::config::RulesRecord;
use crate::registry::BlockingStore;

const MIN_PEERS_WITH_RULES: usize = 3;
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Accept a rules file: put it in force everywhere, if no other rules were
/// accepted since the revision it was edited from.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "accept",
    note = "After a lost answer, repeat the command with the accept id that it printed."
)]
pub struct AcceptCommand {
    /// revision that the file was edited from; 0 for the first rules
    #[argh(option)]
    from: u64,
    /// who accepts the rules
    #[argh(option)]
    who: String,
    /// why they are accepted
    #[argh(option)]
    why: String,
    /// id of this acceptance; drawn where left out
    #[argh(option)]
    accept_id: Option<String>,
    /// wait until the rules are in force in every process
    #[argh(switch)]
    wait: bool,
    /// seconds to wait
    #[argh(option, default = "10")]
    timeout: u64,
    /// settings file that names store, host list and peers
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's store
    #[argh(option)]
    store: Vec<SocketAddr>,
    /// address of the platform's host list
    #[argh(option)]
    hosts: Option<SocketAddr>,
    /// peer address of a process besides the host list
    #[argh(option)]
    peers: Vec<SocketAddr>,
    /// rules file
    #[argh(positional)]
    file: PathBuf,
}

impl AcceptCommand {
    /// Accepts the rules.
    pub fn run(self) -> Exit {
        match self.accept() {
            Ok(exit) | Err(exit) => exit,
        }
    }

    fn accept(self) -> Result<Exit, Exit> {
        let settings = self.settings.as_deref();
        let endpoints = Endpoints::resolve(settings, &self.store, self.hosts, &self.peers)?;
        endpoints.require_store()?;
        let text = fs::read_to_string(&self.file).map_err(|e| {
            eprintln!("{}: {e}", self.file.display());
            Exit::InvalidInput
        })?;
        let proposal = Proposal {
            text,
            parent: Revision(self.from),
            who: self.who.clone(),
            why: self.why.clone(),
            accept_id: self.accept_id.clone().unwrap_or_else(generate_accept_id),
        };
        println!("accept id {}", proposal.accept_id);
        let store = BlockingStore::new(&endpoints.platform);
        let record = accept_rules(&store, &proposal).map_err(|e| self.report_error(&e))?;
        println!("revision {} accepted", record.revision);
        let fleet = FleetClient::discover(&endpoints).map_err(|e| {
            eprintln!("{e}");
            Exit::Failure
        })?;
        offer_rules_to_peers(&fleet, &record);
        if self.wait {
            return Ok(self.wait_until_in_force(&fleet, record.revision));
        }
        Ok(Exit::Success)
    }

    fn report_error(&self, e: &AcceptError) -> Exit {
        match e {
            AcceptError::Faulty(faults) => {
                for fault in faults {
                    eprintln!("{}:{fault}", self.file.display());
                }
                Exit::InvalidInput
            }
            other => {
                eprintln!("{other}");
                Exit::Failure
            }
        }
    }

    /// Waits until every process has the revision in force, and prints those
    /// that do not.
    fn wait_until_in_force(&self, fleet: &FleetClient, revision: Revision) -> Exit {
        let started_at = Instant::now();
        let timeout = Duration::from_secs(self.timeout);
        let mut lagging = fleet.addresses().to_vec();
        loop {
            let statuses = fleet.fetch_statuses(&lagging);
            let late_statuses = statuses.iter().filter(|(_, status)| {
                let status = status.as_ref();
                status.map_or(true, |status| status.revision < revision)
            });
            lagging = late_statuses.map(|(address, _)| *address).collect();
            if lagging.is_empty() {
                let count = fleet.addresses().len();
                let elapsed_ms = started_at.elapsed().as_millis();
                println!("revision {revision} in force in {count} processes after {elapsed_ms} ms");
                return Exit::Success;
            }
            if started_at.elapsed() > timeout {
                break;
            }
            sleep(STATUS_POLL_INTERVAL);
        }
        for (address, status) in fleet.fetch_statuses(&lagging) {
            match status {
                Ok(status) => eprintln!(
                    "behind: {} {} at revision {}",
                    status.role, status.name, status.revision
                ),
                Err(e) => eprintln!("behind: {address}: {e}"),
            }
        }
        Exit::Failure
    }
}

/// Hands accepted rules to a few processes, so that they spread although the
/// store fails right after.
fn offer_rules_to_peers(fleet: &FleetClient, record: &RulesRecord) {
    let mut accepted_count = 0;
    for address in fleet.addresses() {
        let responses = fleet.call_each(&[*address], |client, cx| async move {
            client.offer_rules(cx, record.clone()).await
        });
        accepted_count += responses
            .iter()
            .filter(|(_, response)| response.is_ok())
            .count();
        if accepted_count >= MIN_PEERS_WITH_RULES {
            return;
        }
    }
}

/// Draws an id that no other acceptance has.
fn generate_accept_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
