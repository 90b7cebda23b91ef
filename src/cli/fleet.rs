//! All processes of a fleet, asked from the command line.

use std::future::Future;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use tarpc::client::RpcError;
use tarpc::context::Context;

use super::Exit;
use super::places::Places;
use crate::peer::CallError;
use crate::peer::ControlThread;
use crate::peer::PeerClient;
use crate::peer::PeerConnections;
use crate::peer::PeerError;
use crate::peer::PeerStatus;
use crate::registry::HostList;
use crate::threads::StartError;

const CALL_LIMIT: Duration = Duration::from_secs(1);
const CALLS_AT_ONCE: usize = 64;

/// All processes of a fleet, asked from the command line.
#[derive(Debug)]
pub struct Fleet {
    control: ControlThread,
    peers: Arc<PeerConnections>,
    addresses: Vec<SocketAddr>,
}

impl Fleet {
    /// Finds the processes that a command's options or settings file name.
    ///
    /// # Errors
    ///
    /// The settings file is faulty or the system refuses a thread; the fault
    /// has been printed.
    pub fn find_named(
        settings: Option<&Path>,
        hosts: Option<SocketAddr>,
        peers: &[SocketAddr],
    ) -> Result<Self, Exit> {
        let places = Places::find(settings, &[], hosts, peers)?;
        Self::find(&places).map_err(|e| {
            eprintln!("{e}");
            Exit::Failed
        })
    }

    /// Finds the processes on the host list and among the named peers.
    ///
    /// # Errors
    ///
    /// The system refuses a thread.
    pub fn find(places: &Places) -> Result<Self, StartError> {
        let control = ControlThread::start()?;
        let peers = Arc::new(PeerConnections::new());
        peers.set_runtime(control.runtime().clone());
        let mut addresses = places.peers.clone();
        if let Some(list) = HostList::new(&places.platform) {
            match control.runtime().block_on(list.read()) {
                Ok(hosts) => addresses.extend(hosts.iter().filter_map(|host| host.peers)),
                Err(e) => eprintln!("Host list not read: {e}."),
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

    /// Peer addresses of the processes.
    pub fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Calls each of the given processes.
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
            let answer = self.peers.call(*address, CALL_LIMIT, call).await;
            (*address, answer)
        });
        let answers = futures::stream::iter(calls)
            .buffer_unordered(CALLS_AT_ONCE)
            .collect();
        self.control.runtime().block_on(answers)
    }

    /// Asks each of the given processes how it is.
    pub fn get_status(
        &self,
        addresses: &[SocketAddr],
    ) -> Vec<(SocketAddr, Result<PeerStatus, CallError>)> {
        self.call_each(addresses, |client, cx| async move {
            client.get_status(cx).await
        })
    }
}
