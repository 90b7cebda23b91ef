//! `teaseldrum status`: lists all processes with their state, one per line
//! with tab-separated fields.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::fleet_client::FleetClient;
use crate::peer::PeerStatus;

/// List all processes with role, zone, rules revision and state; fails if a
/// process does not respond.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// settings file with the addresses of host list and peers
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's host list
    #[argh(option)]
    hosts: Option<SocketAddr>,
    /// peer address of a process that is not on the host list; may be repeated
    #[argh(option)]
    peers: Vec<SocketAddr>,
}

impl StatusCommand {
    /// Prints the list, sorted by address, to standard output and calls that
    /// failed to standard error.
    pub fn run(self) -> Exit {
        let discovered =
            FleetClient::discover_from_options(self.settings.as_deref(), self.hosts, &self.peers);
        let fleet = match discovered {
            Ok(fleet) => fleet,
            Err(exit) => return exit,
        };
        let mut responses = fleet.fetch_statuses(fleet.addresses());
        responses.sort_by_key(|(address, _)| *address);
        let mut exit = Exit::Success;
        println!("role\tname\tzone\trevision\tstate\taddress");
        for (address, response) in responses {
            match response {
                Ok(status) => print_status(address, &status),
                Err(e) => {
                    eprintln!("{address}: {e}");
                    exit = Exit::Failure;
                }
            }
        }
        exit
    }
}

fn print_status(address: SocketAddr, status: &PeerStatus) {
    let state = if status.draining {
        "draining"
    } else {
        "serving"
    };
    println!(
        "{}\t{}\t{}\t{}\t{state}\t{address}",
        status.role, status.name, status.zone, status.revision
    );
}
