//! `teaseldrum-lab hosts`: runs the stand-in for the platform's host list.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use teaseldrum::cli::Exit;
use teaseldrum::registry::Host;

use super::wait_for_signal;
use crate::hosts::start_hosts;

/// Run the stand-in for the host list until SIGTERM or SIGINT. A PUT of a JSON
/// list to /v1/hosts replaces the list.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "hosts")]
pub struct HostsCommand {
    /// address to listen on
    #[argh(option)]
    listen: SocketAddr,
    /// milliseconds after which readers see a change
    #[argh(option, default = "0")]
    lag_ms: u64,
    /// file with a JSON list of the initial hosts
    #[argh(option)]
    file: Option<PathBuf>,
}

impl HostsCommand {
    /// Serves the host list and prints its address.
    pub fn run(self) -> Exit {
        let hosts = start_hosts(self.listen, Duration::from_millis(self.lag_ms));
        if let Some(file) = &self.file {
            let text = fs::read_to_string(file).map_err(|e| e.to_string());
            let list = text.and_then(|text| {
                serde_json::from_str::<Vec<Host>>(&text).map_err(|e| e.to_string())
            });
            match list {
                Ok(list) => hosts.set_hosts(list),
                Err(e) => {
                    eprintln!("{}: {e}", file.display());
                    return Exit::InvalidInput;
                }
            }
        }
        println!("hosts {}", hosts.address());
        wait_for_signal();
        Exit::Success
    }
}
