//! Starts, kills and queries entries and agents that run as processes of the
//! built binary.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use futures::StreamExt;
use serde_json::json;
use teaseldrum::core::Revision;
use teaseldrum::core::config::RulesRecord;
use teaseldrum::peer::ControlThread;
use teaseldrum::peer::PeerClient;
use teaseldrum::peer::PeerConnections;
use teaseldrum::peer::PeerStatus;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostRole;
use teaseldrum::registry::HostState;
use teaseldrum::timeline::Event;
use teaseldrum::timeline::EventQuery;

use crate::hosts::HostsHandle;
use crate::hosts::start_hosts;
use crate::loopback::allocate_address;
use crate::store::StoreHandle;
use crate::store::start_store;

const CALL_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_CONCURRENT_CALLS: usize = 32;
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Entry and agent processes with stand-ins for the store and the host list.
/// Dropping it kills the processes.
#[derive(Debug)]
pub struct ProcessFleet {
    /// Stand-in for the key-value store, whose calls are counted and whose
    /// faults can be set.
    pub store: StoreHandle,
    hosts: HostsHandle,
    binary: PathBuf,
    folder: PathBuf,
    processes: Vec<Process>,
    control_thread: ControlThread,
    peers: Arc<PeerConnections>,
}

#[derive(Debug)]
struct Process {
    role: HostRole,
    name: String,
    peer_address: SocketAddr,
    child: Option<Child>,
}

impl ProcessFleet {
    /// Starts the stand-ins and all processes.
    ///
    /// # Panics
    ///
    /// Panics if a settings file cannot be written or the binary cannot be run.
    pub fn start(binary: PathBuf, entries: usize, agents: usize) -> Self {
        let control_thread = ControlThread::start().expect("control thread starts");
        let peers = Arc::new(PeerConnections::new());
        peers.set_runtime(control_thread.runtime().clone());
        let folder = std::env::temp_dir().join(format!("bench-config-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("settings folder is writable");
        let roles = [(HostRole::Entry, entries), (HostRole::Agent, agents)];
        let processes = roles.into_iter().flat_map(|(role, count)| {
            (0..count).map(move |index| Process {
                role,
                name: format!("{role:?}{index}").to_lowercase(),
                peer_address: allocate_address(),
                child: None,
            })
        });
        let mut fleet = Self {
            store: start_store(allocate_address()),
            hosts: start_hosts(allocate_address(), Duration::ZERO),
            binary,
            folder,
            processes: processes.collect(),
            control_thread,
            peers,
        };
        fleet
            .hosts
            .set_hosts(fleet.processes.iter().map(make_host).collect());
        for index in 0..fleet.processes.len() {
            fleet.start_process(index);
        }
        fleet
    }

    /// Returns the number of entries and agents together.
    pub fn len(&self) -> usize {
        self.processes.len()
    }

    /// Returns the process ids of the running processes.
    pub fn pids(&self) -> Vec<u32> {
        let children = self
            .processes
            .iter()
            .filter_map(|process| process.child.as_ref());
        children.map(Child::id).collect()
    }

    /// Kills a process and starts it again with the same settings.
    pub fn restart(&mut self, index: usize) {
        if let Some(mut child) = self.processes[index].child.take() {
            kill_process(&mut child);
        }
        self.start_process(index);
    }

    /// Sends a signal to a process, written as an option of `kill` such as
    /// `-STOP`.
    pub fn signal(&self, index: usize, signal: &str) {
        let child = self.processes[index].child.as_ref();
        let pid = child.map(Child::id).expect("process is running");
        let sent = Command::new("kill")
            .args([signal, &pid.to_string()])
            .status();
        assert!(
            sent.is_ok_and(|status| status.success()),
            "kill {signal} {pid} failed"
        );
    }

    /// Hands a rules record to one process, as `teaseldrum rules accept` does.
    /// Returns whether the process took the call.
    pub fn offer_rules(&self, index: usize, record: &RulesRecord) -> bool {
        let call =
            |client: PeerClient, cx| async move { client.offer_rules(cx, record.clone()).await };
        let offered = self
            .peers
            .call(self.processes[index].peer_address, CALL_TIMEOUT, call);
        self.control_thread.runtime().block_on(offered).is_ok()
    }

    /// Asks all processes for their status. Those that do not respond are left
    /// out.
    pub fn fetch_statuses(&self) -> Vec<PeerStatus> {
        let calls = self.processes.iter().map(|process| {
            let call = |client: PeerClient, cx| async move { client.get_status(cx).await };
            self.peers.call(process.peer_address, CALL_TIMEOUT, call)
        });
        let responses = futures::stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS);
        let responses: Vec<_> = self.control_thread.runtime().block_on(responses.collect());
        responses.into_iter().filter_map(Result::ok).collect()
    }

    /// Waits until all processes have the revision, or a later one, in force.
    /// Returns whether they did before the timeout.
    pub fn wait_until_in_force(&self, revision: Revision, timeout: Duration) -> bool {
        let started_at = Instant::now();
        while started_at.elapsed() < timeout {
            let status = self.fetch_statuses();
            let current = status.iter().filter(|status| status.revision >= revision);
            if current.count() == self.processes.len() {
                return true;
            }
            sleep(POLL_INTERVAL);
        }
        false
    }

    /// Fetches the timeline events of each process that are newer than a
    /// stamp; none for a process that does not respond.
    pub fn fetch_events(&self, after: u64) -> Vec<Vec<Event>> {
        let query = EventQuery {
            after,
            request: None,
        };
        let calls = self.processes.iter().map(|process| {
            let call =
                move |client: PeerClient, cx| async move { client.get_events(cx, query).await };
            self.peers.call(process.peer_address, CALL_TIMEOUT, call)
        });
        let responses = futures::stream::iter(calls).buffered(MAX_CONCURRENT_CALLS);
        let responses: Vec<_> = self.control_thread.runtime().block_on(responses.collect());
        responses
            .into_iter()
            .map(|response| response.map(|page| page.events).unwrap_or_default())
            .collect()
    }

    fn start_process(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let mut settings = json!({
            "name": process.name,
            "zone": "a",
            "listen": {"traffic": "127.0.0.1:0", "peers": process.peer_address},
            "traffic": {"threads": 1, "drain_linger_ms": 1},
            "platform": {"store": [self.store.address()], "hosts": self.hosts.address()},
        });
        let role = match process.role {
            HostRole::Entry => "entry",
            HostRole::Agent => {
                settings["pool"] = json!("p0");
                settings["server"] = json!("127.0.0.1:1");
                "agent"
            }
        };
        let path = self.folder.join(format!("{}.json", process.name));
        fs::write(&path, settings.to_string()).expect("settings file is writable");
        let child = Command::new(&self.binary)
            .args([role, "--settings"])
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .expect("binary can be started");
        process.child = Some(child);
    }
}

impl Drop for ProcessFleet {
    fn drop(&mut self) {
        let children = self.processes.iter_mut();
        children
            .filter_map(|process| process.child.take())
            .for_each(|mut child| kill_process(&mut child));
        // A settings folder left in the temporary directory does no harm.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

fn make_host(process: &Process) -> Host {
    Host {
        name: process.name.clone(),
        role: process.role,
        zone: "a".into(),
        pool: "p0".into(),
        traffic: process.peer_address,
        peers: Some(process.peer_address),
        state: HostState::Live,
    }
}

/// Kills a child process and waits for its end.
fn kill_process(child: &mut Child) {
    // The process may have ended already.
    let _ = child.kill();
    let _ = child.wait();
}
