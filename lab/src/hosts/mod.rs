//! Stand-in for the platform's list of live and leaving hosts. Readers see each
//! change only after a lag.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::json;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostState;
use tokio::time::sleep;

use crate::background_server::BackgroundServer;
use crate::stand_in::ProcessControl;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::read_json;
use crate::stand_in::start_stand_in;

/// Handle of a running host list. Dropping it stops the server.
#[derive(Debug)]
pub struct HostsHandle {
    server: BackgroundServer,
    shared: Arc<Mutex<HostListState>>,
    process: ProcessControl,
}

#[derive(Debug)]
struct HostListState {
    /// Time until readers see a change.
    lag: Duration,
    response_delay: Duration,
    /// Every call gets status 503.
    is_unavailable: bool,
    calls: u64,
    /// Versions of the list, oldest first. Readers get the newest version that
    /// is at least as old as the lag.
    versions: VecDeque<ListVersion>,
}

#[derive(Debug)]
struct ListVersion {
    changed_at: Instant,
    hosts: Vec<Host>,
}

/// Starts an empty host list whose readers see changes after `lag`.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub fn start_hosts(address: SocketAddr, lag: Duration) -> HostsHandle {
    let shared = Arc::new(Mutex::new(HostListState {
        lag,
        response_delay: Duration::ZERO,
        is_unavailable: false,
        calls: 0,
        versions: VecDeque::new(),
    }));
    let process = ProcessControl::new();
    let request_state = Arc::clone(&shared);
    let handle = move |req| handle_request(Arc::clone(&request_state), req);
    let server = start_stand_in(address, process.clone(), handle);
    HostsHandle {
        server,
        shared,
        process,
    }
}

impl HostsHandle {
    /// Returns the address that the host list listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the list. Readers see the change after the lag.
    pub fn set_hosts(&self, hosts: Vec<Host>) {
        self.lock().push(hosts);
    }

    /// Sets the state of a host. Readers see the change after the lag.
    pub fn set_state(&self, name: &str, state: HostState) {
        let mut list = self.lock();
        let mut hosts = list.newest_hosts();
        hosts
            .iter_mut()
            .filter(|host| host.name == name)
            .for_each(|host| host.state = state);
        list.push(hosts);
    }

    /// Removes a host. Readers see the change after the lag.
    pub fn remove(&self, name: &str) {
        let mut list = self.lock();
        let mut hosts = list.newest_hosts();
        hosts.retain(|host| host.name != name);
        list.push(hosts);
    }

    /// Sets whether every call gets status 503.
    pub fn set_unavailable(&self, is_unavailable: bool) {
        self.lock().is_unavailable = is_unavailable;
    }

    /// Sets the delay before each response.
    pub fn set_delay(&self, response_delay: Duration) {
        self.lock().response_delay = response_delay;
    }

    /// Returns the number of calls so far, failed ones included.
    pub fn calls(&self) -> u64 {
        self.lock().calls
    }

    /// Returns the control that stops, restarts or freezes the server.
    pub fn process(&self) -> &ProcessControl {
        &self.process
    }

    fn lock(&self) -> MutexGuard<'_, HostListState> {
        lock(&self.shared)
    }
}

fn lock(shared: &Mutex<HostListState>) -> MutexGuard<'_, HostListState> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl HostListState {
    fn push(&mut self, hosts: Vec<Host>) {
        self.versions.push_back(ListVersion {
            changed_at: Instant::now(),
            hosts,
        });
    }

    fn newest_hosts(&self) -> Vec<Host> {
        let newest = self.versions.back();
        newest
            .map(|version| version.hosts.clone())
            .unwrap_or_default()
    }

    /// Returns the list that readers see now, and drops older versions.
    fn visible_hosts(&mut self) -> Vec<Host> {
        let lag = self.lag;
        let is_visible = |version: &ListVersion| version.changed_at.elapsed() >= lag;
        while self.versions.get(1).is_some_and(is_visible) {
            self.versions.pop_front();
        }
        let visible = self.versions.front().filter(|version| is_visible(version));
        visible
            .map(|version| version.hosts.clone())
            .unwrap_or_default()
    }
}

async fn handle_request(
    shared: Arc<Mutex<HostListState>>,
    req: Request<Incoming>,
) -> StandInResult {
    let (response_delay, is_unavailable) = {
        let mut state = lock(&shared);
        state.calls += 1;
        (state.response_delay, state.is_unavailable)
    };
    sleep(response_delay).await;
    if is_unavailable {
        return Ok(json_response(StatusCode::SERVICE_UNAVAILABLE, &json!({})));
    }
    if req.uri().path() != "/v1/hosts" {
        return Ok(json_response(StatusCode::NOT_FOUND, &json!({})));
    }
    if req.method() == http::Method::PUT {
        let Some(hosts) = read_json(req).await else {
            return Ok(json_response(StatusCode::BAD_REQUEST, &json!({})));
        };
        lock(&shared).push(hosts);
        return Ok(json_response(StatusCode::OK, &json!({})));
    }
    let hosts = lock(&shared).visible_hosts();
    Ok(json_response(StatusCode::OK, &json!({"hosts": hosts})))
}
