//! `teaseldrum rules accept`: puts rules in force.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use argh::FromArgs;

use super::Exit;
use super::fleet::Fleet;
use super::places::Places;
use crate::config::AcceptError;
use crate::config::Proposal;
use crate::config::accept_rules;
use crate::core::Revision;
use crate::core::config::RulesRecord;
use crate::registry::BlockingStore;

const PEERS_TOLD: usize = 3;
const ASK_INTERVAL: Duration = Duration::from_millis(100);

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
        let places = Places::find(settings, &self.store, self.hosts, &self.peers)?;
        places.require_store()?;
        let text = fs::read_to_string(&self.file).map_err(|e| {
            eprintln!("{}: {e}", self.file.display());
            Exit::Faulty
        })?;
        let proposal = Proposal {
            text,
            parent: Revision(self.from),
            accepted_by: self.who.clone(),
            reason: self.why.clone(),
            accept_id: self.accept_id.clone().unwrap_or_else(draw_accept_id),
        };
        println!("accept id {}", proposal.accept_id);
        let store = BlockingStore::new(&places.platform);
        let record = accept_rules(&store, &proposal).map_err(|e| self.explain(&e))?;
        println!("revision {} accepted", record.revision);
        let fleet = Fleet::find(&places).map_err(|e| {
            eprintln!("{e}");
            Exit::Failed
        })?;
        tell_peers(&fleet, &record);
        if self.wait {
            return Ok(self.wait_for(&fleet, record.revision));
        }
        Ok(Exit::Done)
    }

    fn explain(&self, e: &AcceptError) -> Exit {
        match e {
            AcceptError::Invalid(faults) => {
                for fault in faults {
                    eprintln!("{}:{fault}", self.file.display());
                }
                Exit::Faulty
            }
            other => {
                eprintln!("{other}");
                Exit::Failed
            }
        }
    }

    /// Waits until every process has the revision in force, and prints those
    /// that do not.
    fn wait_for(&self, fleet: &Fleet, revision: Revision) -> Exit {
        let begin = Instant::now();
        let limit = Duration::from_secs(self.timeout);
        let mut behind = fleet.addresses().to_vec();
        loop {
            let answers = fleet.get_status(&behind);
            let late = answers.iter().filter(|(_, answer)| {
                let status = answer.as_ref();
                status.map_or(true, |status| status.revision < revision)
            });
            behind = late.map(|(address, _)| *address).collect();
            if behind.is_empty() {
                let count = fleet.addresses().len();
                let took = begin.elapsed().as_millis();
                println!("revision {revision} in force in {count} processes after {took} ms");
                return Exit::Done;
            }
            if begin.elapsed() > limit {
                break;
            }
            sleep(ASK_INTERVAL);
        }
        for (address, answer) in fleet.get_status(&behind) {
            match answer {
                Ok(status) => eprintln!(
                    "behind: {} {} at revision {}",
                    status.role, status.name, status.revision
                ),
                Err(e) => eprintln!("behind: {address}: {e}"),
            }
        }
        Exit::Failed
    }
}

/// Hands accepted rules to a few processes, so that they spread although the
/// store fails right after.
fn tell_peers(fleet: &Fleet, record: &RulesRecord) {
    let mut told = 0;
    for address in fleet.addresses() {
        let answers = fleet.call_each(&[*address], |client, cx| async move {
            client.offer_rules(cx, record.clone()).await
        });
        told += answers.iter().filter(|(_, answer)| answer.is_ok()).count();
        if told >= PEERS_TOLD {
            return;
        }
    }
}

/// Draws an id that no other acceptance has.
fn draw_accept_id() -> String {
    format!("{:032x}", rand::random::<u128>())
}
