//! Calls from the command line to all processes of a fleet.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::client::RpcError;
use tarpc::context::Context;

use super::Exit;
use super::endpoints::Endpoints;
use crate::peer::CallError;
use crate::peer::ControlThread;
use crate::peer::PeerClient;
use crate::peer::PeerConnections;
use crate::peer::PeerError;
use crate::peer::PeerStatus;
use crate::registry::HostList;
use crate::threads::StartError;

/// Time in which a process must respond to a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Processes called at the same time.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Calls processes over their peer addresses, on a control thread of its own.
#[derive(Debug)]
pub struct FleetClient {
    control: ControlThread,
    peers: Arc<PeerConnections>,
    addresses: Vec<SocketAddr>,
}

impl FleetClient {
    /// Like [`FleetClient::discover`], with the endpoints from a command's
    /// options or settings file.
    ///
    /// # Errors
    ///
    /// The settings file is invalid or the control thread cannot be started;
    /// the error has been printed.
    pub fn discover_from_options(
        settings: Option<&Path>,
        hosts: Option<SocketAddr>,
        peers: &[SocketAddr],
    ) -> Result<Self, Exit> {
        let endpoints = Endpoints::resolve(settings, &[], hosts, peers)?;
        Self::discover(&endpoints).map_err(|e| {
            eprintln!("{e}");
            Exit::Failure
        })
    }

    /// Starts the control thread and collects the peer addresses from
    /// `endpoints` and from the host list. If the host list cannot be read,
    /// prints a warning and uses the other addresses only.
    ///
    /// # Errors
    ///
    /// The control thread cannot be started.
    pub fn discover(endpoints: &Endpoints) -> Result<Self, StartError> {
        let control = ControlThread::start()?;
        let peers = Arc::new(PeerConnections::new());
        peers.set_runtime(control.runtime().clone());
        let mut addresses = endpoints.peers.clone();
        if let Some(list) = HostList::new(&endpoints.platform) {
            match control.runtime().block_on(list.read()) {
                Ok(hosts) => addresses.extend(hosts.iter().filter_map(|host| host.peers)),
                Err(e) => eprintln!("Cannot read the host list: {e}."),
            }
        }
        addresses.sort_unstable();
        addresses.dedup();
        Ok(Self {
            control,
            peers,
            addresses,
        })
    }

    /// Peer addresses of all processes found, sorted and without duplicates.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Makes the same call to each of the given processes, some at the same
    /// time. Results come in the order in which the calls end.
    pub fn call_each<T, C, F>(
        &self,
        addresses: &[SocketAddr],
        call: C,
    ) -> Vec<(SocketAddr, Result<T, CallError>)>
    where
        C: Fn(PeerClient, Context) -> F + Copy,
        F: Future<Output = Result<Result<T, PeerError>, RpcError>>,
    {
        let calls = addresses.iter().map(|address| async move {
            let response = self.peers.call(*address, CALL_TIMEOUT, call).await;
            (*address, response)
        });
        let responses = futures::stream::iter(calls)
            .buffer_unordered(MAX_CONCURRENT_CALLS)
            .collect();
        self.control.runtime().block_on(responses)
    }

    /// Asks each of the given processes for its role, rules revision and state.
    pub fn fetch_statuses(
        &self,
        addresses: &[SocketAddr],
    ) -> Vec<(SocketAddr, Result<PeerStatus, CallError>)> {
        self.call_each(addresses, |client, cx| async move {
            client.get_status(cx).await
        })
    }
}
