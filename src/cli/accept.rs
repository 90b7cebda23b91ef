//! `teaseldrum rules accept`: writes a rules file to the store as the next
//! revision, offers it to a few processes and can wait until all use it.

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

/// Number of processes that have taken the rules after which this command stops
/// offering them. It also stops at the end of the list of processes.
const MIN_PEERS_WITH_RULES: usize = 3;

/// Time between two status requests while `--wait` is pending.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Accept a rules file and offer it to processes. Fails if other rules were
/// accepted since the revision that the file was edited from.
#[derive(Debug, FromArgs)]
#[argh(
    subcommand,
    name = "accept",
    note = "If the response was lost, run the command again with --accept-id and the id that it printed."
)]
pub struct AcceptCommand {
    /// revision that the file is based on; 0 for the first rules
    #[argh(option)]
    from: u64,
    /// name of the operator who accepts the rules
    #[argh(option)]
    who: String,
    /// reason for the change
    #[argh(option)]
    why: String,
    /// id of this acceptance, which makes retries safe; random if left out
    #[argh(option)]
    accept_id: Option<String>,
    /// wait until the rules are in force in every process
    #[argh(switch)]
    wait: bool,
    /// seconds that --wait may take
    #[argh(option, default = "10")]
    timeout: u64,
    /// settings file with the addresses of store, host list and peers
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's store; may be repeated
    #[argh(option)]
    store: Vec<SocketAddr>,
    /// address of the platform's host list
    #[argh(option)]
    hosts: Option<SocketAddr>,
    /// peer address of a process that is not on the host list; may be repeated
    #[argh(option)]
    peers: Vec<SocketAddr>,
    /// rules file
    #[argh(positional)]
    file: PathBuf,
}

impl AcceptCommand {
    /// Accepts the rules and prints the accept id and the new revision.
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
            accepted_by: self.who.clone(),
            reason: self.why.clone(),
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
            AcceptError::Invalid(faults) => {
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

    /// Polls all processes until each reports at least `revision`. At the
    /// timeout, polls those behind once more, prints the answers and fails; a
    /// process may have caught up by then.
    fn wait_until_in_force(&self, fleet: &FleetClient, revision: Revision) -> Exit {
        let started_at = Instant::now();
        let timeout = Duration::from_secs(self.timeout);
        let mut behind = fleet.addresses().to_vec();
        loop {
            let statuses = fleet.fetch_statuses(&behind);
            let statuses_behind = statuses.iter().filter(|(_, status)| {
                let status = status.as_ref();
                status.map_or(true, |status| status.revision < revision)
            });
            behind = statuses_behind.map(|(address, _)| *address).collect();
            if behind.is_empty() {
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
        for (address, status) in fleet.fetch_statuses(&behind) {
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

/// Offers accepted rules to processes until [`MIN_PEERS_WITH_RULES`] have
/// taken them, so that the rules spread by gossip even if the store fails
/// right after the write.
fn offer_rules_to_peers(fleet: &FleetClient, record: &RulesRecord) {
    let mut taken_count = 0;
    for address in fleet.addresses() {
        let responses = fleet.call_each(&[*address], |client, cx| async move {
            client.offer_rules(cx, record.clone()).await
        });
        taken_count += responses
            .iter()
            .filter(|(_, response)| response.is_ok())
            .count();
        if taken_count >= MIN_PEERS_WITH_RULES {
            return;
        }
    }
}

/// Returns a random id of 128 bits as hexadecimal digits.
fn generate_accept_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
