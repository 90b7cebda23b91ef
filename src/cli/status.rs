//! `teaseldrum status`: lists all processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use super::Exit;
use super::fleet_client::FleetClient;
use crate::peer::PeerStatus;

/// List all processes with their rules revision; fails if one does not
/// answer.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub struct StatusCommand {
    /// settings file that names host list and peers
    #[argh(option)]
    settings: Option<PathBuf>,
    /// address of the platform's host list
    #[argh(option)]
    hosts: Option<SocketAddr>,
    /// peer address of a process besides the host list
    #[argh(option)]
    peers: Vec<SocketAddr>,
}

impl StatusCommand {
    /// Prints the list.
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
