//! Accepted rules must come into force on all entries and agents and stay in
//! force, also while the store fails, processes restart or operators compete.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use teaseldrum::agent::serve_agent;
use teaseldrum::config::AcceptError;
use teaseldrum::config::Proposal;
use teaseldrum::config::accept_rules;
use teaseldrum::config::read_history;
use teaseldrum::config::read_record;
use teaseldrum::config::read_text_at;
use teaseldrum::core::Revision;
use teaseldrum::core::config::RulesRecord;
use teaseldrum::entry::serve_entry;
use teaseldrum::peer::CallError;
use teaseldrum::peer::ControlThread;
use teaseldrum::peer::PeerClient;
use teaseldrum::peer::PeerConnections;
use teaseldrum::registry::BlockingStore;
use teaseldrum::registry::Host;
use teaseldrum::registry::HostRole;
use teaseldrum::registry::HostState;
use teaseldrum::settings::AgentSettings;
use teaseldrum::settings::EntrySettings;
use teaseldrum::settings::PlatformSettings;
use teaseldrum::settings::Section;
use teaseldrum_lab::background_server::BackgroundServer;
use teaseldrum_lab::hosts::HostsHandle;
use teaseldrum_lab::hosts::start_hosts;
use teaseldrum_lab::loopback::allocate_address;
use teaseldrum_lab::store::StoreFaults;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;

/// Maximum time that a test waits for a state or a response.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Limit for one call to a process of the fleet.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Entries and agents with their store and host list. Fields drop in this
/// order, the processes first.
struct Fleet {
    processes: Vec<Process>,
    control: ControlThread,
    peers: Arc<PeerConnections>,
    hosts: HostsHandle,
    store: StoreHandle,
}

struct Process {
    role: HostRole,
    name: String,
    peer_address: SocketAddr,
    server: Option<BackgroundServer>,
}

impl Fleet {
    fn start(entries: usize, agents: usize) -> Self {
        let control = ControlThread::start().expect("the control thread starts");
        let peers = Arc::new(PeerConnections::new());
        peers.set_runtime(control.runtime().clone());
        let roles = [(HostRole::Entry, entries), (HostRole::Agent, agents)];
        let processes = roles.into_iter().flat_map(|(role, count)| {
            (0..count).map(move |index| Process {
                role,
                name: format!("{role:?}{index}").to_lowercase(),
                peer_address: allocate_address(),
                server: None,
            })
        });
        let mut fleet = Self {
            processes: processes.collect(),
            control,
            peers,
            hosts: start_hosts(allocate_address(), Duration::ZERO),
            store: start_store(allocate_address()),
        };
        fleet.publish_host_list();
        for index in 0..fleet.processes.len() {
            fleet.start_process(index);
        }
        fleet
    }

    fn publish_host_list(&self) {
        let hosts = self.processes.iter().map(|process| Host {
            name: process.name.clone(),
            role: process.role,
            zone: "a".into(),
            pool: "p".into(),
            traffic: "127.0.0.1:1".parse().expect("the address is valid"),
            peers: Some(process.peer_address),
            state: HostState::Live,
        });
        self.hosts.set_hosts(hosts.collect());
    }

    fn start_process(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let mut value = json!({
            "name": process.name,
            "zone": "a",
            "listen": {"traffic": "127.0.0.1:0", "peers": process.peer_address},
            "traffic": {"threads": 1, "drain_linger_ms": 1},
            "platform": {
                "store": [self.store.address()],
                "hosts": self.hosts.address(),
                "call_timeout_ms": 300,
            },
        });
        process.server = Some(match process.role {
            HostRole::Entry => {
                let settings = EntrySettings::parse(&value).expect("the settings are valid");
                BackgroundServer::start(move |stop, ready| {
                    serve_entry(settings, stop, ready).expect("the entry starts");
                })
            }
            HostRole::Agent => {
                value["pool"] = json!("p");
                value["server"] = json!("127.0.0.1:1");
                let settings = AgentSettings::parse(&value).expect("the settings are valid");
                BackgroundServer::start(move |stop, ready| {
                    serve_agent(settings, stop, ready).expect("the agent starts");
                })
            }
        });
    }

    fn blocking_store(&self) -> BlockingStore {
        let value = json!({"store": [self.store.address()], "call_timeout_ms": 500});
        let mut section = Section::new("", value);
        BlockingStore::new(&PlatformSettings::read(&mut section))
    }

    fn accept(&self, parent: u64, pool: &str) -> Result<RulesRecord, AcceptError> {
        accept_rules(&self.blocking_store(), &make_proposal(parent, pool, pool))
    }

    fn read_revision(&self, process: &Process) -> Option<Revision> {
        let call = |client: PeerClient, cx| async move { client.get_status(cx).await };
        let status = self.peers.call(process.peer_address, CALL_TIMEOUT, call);
        let status = self.control.runtime().block_on(status);
        status.ok().map(|status| status.revision)
    }

    fn is_in_force_everywhere(&self, revision: u64) -> bool {
        let servers = self
            .processes
            .iter()
            .filter(|process| process.server.is_some());
        let mut revisions = servers.map(|process| self.read_revision(process));
        revisions.all(|revision_in_force| revision_in_force == Some(Revision(revision)))
    }

    fn wait_until_in_force(&self, revision: u64) {
        let what = format!("revision {revision} everywhere");
        wait_until(&what, || self.is_in_force_everywhere(revision));
    }

    fn offer(&self, index: usize, record: &RulesRecord) -> Result<Revision, CallError> {
        let call =
            |client: PeerClient, cx| async move { client.offer_rules(cx, record.clone()).await };
        let offered = self
            .peers
            .call(self.processes[index].peer_address, CALL_TIMEOUT, call);
        self.control.runtime().block_on(offered)
    }
}

impl Drop for Fleet {
    /// Requests the stop of all processes before waiting for the first, so that
    /// they drain at the same time.
    fn drop(&mut self) {
        let servers = self
            .processes
            .iter()
            .filter_map(|process| process.server.as_ref());
        servers.for_each(BackgroundServer::request_stop);
    }
}

fn make_proposal(parent: u64, pool: &str, accept_id: &str) -> Proposal {
    Proposal {
        text: format!("pool {pool} # the desk\n"),
        parent: Revision(parent),
        accepted_by: "desk-operator".into(),
        reason: "test".into(),
        accept_id: accept_id.into(),
    }
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started_at = Instant::now();
    while !condition() {
        assert!(
            started_at.elapsed() < WAIT_TIMEOUT,
            "timed out waiting for {what}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn set_store_unavailable(fleet: &Fleet, is_unavailable: bool) {
    fleet.store.set_faults(StoreFaults {
        is_unavailable,
        ..StoreFaults::default()
    });
}

#[test]
fn accept_rules_in_force_everywhere() {
    let fleet = Fleet::start(3, 5);
    fleet.accept(0, "one").expect("the rules are accepted");
    fleet.wait_until_in_force(1);
    fleet.accept(1, "two").expect("the rules are accepted");
    fleet.wait_until_in_force(2);
}

#[test]
fn accept_rules_store_down_right_after() {
    let fleet = Fleet::start(3, 4);
    fleet.accept(0, "one").expect("the rules are accepted");
    fleet.wait_until_in_force(1);
    set_store_unavailable(&fleet, true);
    let record = RulesRecord {
        revision: Revision(2),
        parent: Revision(1),
        ..make_record("two")
    };
    assert_eq!(fleet.offer(0, &record), Ok(Revision(2)));
    fleet.wait_until_in_force(2);
}

fn make_record(pool: &str) -> RulesRecord {
    RulesRecord {
        revision: Revision(1),
        parent: Revision(0),
        accept_id: pool.into(),
        accepted_by: "desk-operator".into(),
        reason: "test".into(),
        accepted_at_ms: 0,
        text: format!("pool {pool} # the desk\n"),
    }
}

#[test]
fn restart_with_store_down() {
    let mut fleet = Fleet::start(2, 2);
    fleet.accept(0, "one").expect("the rules are accepted");
    fleet.wait_until_in_force(1);
    set_store_unavailable(&fleet, true);
    for index in 0..fleet.processes.len() {
        fleet.processes[index].server = None;
        fleet.start_process(index);
        fleet.wait_until_in_force(1);
    }
}

#[test]
fn offer_rules_older_revision_reverts_nothing() {
    let fleet = Fleet::start(2, 2);
    fleet.accept(0, "one").expect("the rules are accepted");
    fleet.accept(1, "two").expect("the rules are accepted");
    fleet.wait_until_in_force(2);
    let older_record = make_record("one");
    assert_eq!(fleet.offer(1, &older_record), Ok(Revision(2)));
    fleet.accept(2, "three").expect("the rules are accepted");
    fleet.wait_until_in_force(3);
}

#[test]
fn offer_rules_invalid_changes_nothing() {
    let fleet = Fleet::start(1, 1);
    fleet.accept(0, "one").expect("the rules are accepted");
    fleet.wait_until_in_force(1);
    let invalid = RulesRecord {
        revision: Revision(2),
        text: "pool two\n".into(),
        ..make_record("two")
    };
    assert!(matches!(
        fleet.offer(0, &invalid),
        Err(CallError::Refused(_))
    ));
    assert!(fleet.is_in_force_everywhere(1));
}

#[test]
fn accept_rules_concurrent_operators() {
    let fleet = Fleet::start(0, 0);
    let outcomes: Vec<Result<RulesRecord, AcceptError>> = std::thread::scope(|scope| {
        let operators: Vec<_> = ["one", "two", "three", "four"]
            .map(|pool| scope.spawn(|| fleet.accept(0, pool)))
            .into_iter()
            .collect();
        operators
            .into_iter()
            .map(|operator| operator.join().expect("the operator thread does not panic"))
            .collect()
    });
    let accepted: Vec<&RulesRecord> = outcomes.iter().flatten().collect();
    assert_eq!(accepted.len(), 1, "{outcomes:?}");
    let rejected = outcomes.iter().filter_map(|outcome| outcome.as_ref().err());
    for rejection in rejected {
        assert!(
            matches!(rejection, AcceptError::Conflict(Revision(1))),
            "{rejection:?}"
        );
    }
    let stored = read_record(&fleet.blocking_store()).expect("the store answers");
    assert_eq!(stored.as_ref(), Some(accepted[0]));
}

#[test]
fn accept_rules_from_unknown_revision() {
    let fleet = Fleet::start(0, 0);
    fleet.accept(0, "one").expect("the rules are accepted");
    let result = fleet.accept(7, "two");
    assert!(
        matches!(result, Err(AcceptError::Conflict(Revision(1)))),
        "{result:?}"
    );
}

#[test]
fn accept_rules_lost_response() {
    let fleet = Fleet::start(0, 0);
    fleet.store.set_faults(StoreFaults {
        drop_responses: 1,
        ..StoreFaults::default()
    });
    let first = fleet.accept(0, "one").expect("the rules are accepted");
    assert_eq!(fleet.store.faults().drop_responses, 0);
    let second = fleet.accept(1, "two").expect("the rules are accepted");
    let resent = fleet
        .accept(0, "one")
        .expect("the first acceptance is returned again");
    assert_eq!(
        (first.revision, resent.revision),
        (Revision(1), Revision(1))
    );
    let stored = read_record(&fleet.blocking_store()).expect("the store answers");
    assert_eq!(stored, Some(second));
}

#[test]
fn accept_rules_invalid_changes_nothing() {
    let fleet = Fleet::start(0, 0);
    fleet.accept(0, "one").expect("the rules are accepted");
    let mut invalid = make_proposal(1, "two", "two");
    invalid.text = "pool two\n".into();
    let result = accept_rules(&fleet.blocking_store(), &invalid);
    assert!(matches!(result, Err(AcceptError::Invalid(_))), "{result:?}");
    let stored = read_record(&fleet.blocking_store()).expect("the store answers");
    assert_eq!(stored.map(|record| record.revision), Some(Revision(1)));
}

#[test]
fn read_text_at_each_revision() {
    let fleet = Fleet::start(0, 0);
    let pools = ["one", "two", "three"];
    for (parent, pool) in (0..).zip(pools) {
        fleet.accept(parent, pool).expect("the rules are accepted");
    }
    let store = fleet.blocking_store();
    for (revision, pool) in (1..).zip(pools) {
        let text = read_text_at(&store, Revision(revision)).expect("the revision has a text");
        assert_eq!(text, format!("pool {pool} # the desk\n"));
    }
    assert_eq!(read_history(&store).expect("the store answers").len(), 3);
    assert!(read_text_at(&store, Revision(4)).is_err());
}

#[test]
fn watch_store_few_of_many() {
    let fleet = Fleet::start(6, 3);
    wait_until("three watches", || fleet.store.counts().waiting == 3);
    fleet.accept(0, "one").expect("the rules are accepted");
    fleet.wait_until_in_force(1);
    assert!(fleet.store.counts().waiting <= 3);
}

#[test]
fn watch_store_silent_connections() {
    let fleet = Fleet::start(2, 2);
    fleet.accept(0, "one").expect("the rules are accepted");
    fleet.wait_until_in_force(1);
    fleet.store.process().freeze_connections();
    fleet.accept(1, "two").expect("the rules are accepted");
    fleet.wait_until_in_force(2);
}
