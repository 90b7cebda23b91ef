//! Accepted rules come into force everywhere and stay, also under faults.

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
use teaseldrum_lab::hosts::HostsHandle;
use teaseldrum_lab::hosts::start_hosts;
use teaseldrum_lab::loopback::take_address;
use teaseldrum_lab::running::Running;
use teaseldrum_lab::store::StoreFaults;
use teaseldrum_lab::store::StoreHandle;
use teaseldrum_lab::store::start_store;

const PATIENCE: Duration = Duration::from_secs(20);
const STEP: Duration = Duration::from_millis(20);
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// A fleet before a store and a host list, in the order in which they stop.
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
    peer: SocketAddr,
    running: Option<Running>,
}

impl Fleet {
    fn start(entries: usize, agents: usize) -> Self {
        let control = ControlThread::start().expect("a thread");
        let peers = Arc::new(PeerConnections::new());
        peers.set_runtime(control.runtime().clone());
        let roles = [(HostRole::Entry, entries), (HostRole::Agent, agents)];
        let processes = roles.into_iter().flat_map(|(role, count)| {
            (0..count).map(move |index| Process {
                role,
                name: format!("{role:?}{index}").to_lowercase(),
                peer: take_address(),
                running: None,
            })
        });
        let mut fleet = Self {
            processes: processes.collect(),
            control,
            peers,
            hosts: start_hosts(take_address(), Duration::ZERO),
            store: start_store(take_address()),
        };
        fleet.list_hosts();
        for index in 0..fleet.processes.len() {
            fleet.start_process(index);
        }
        fleet
    }

    fn list_hosts(&self) {
        let hosts = self.processes.iter().map(|process| Host {
            name: process.name.clone(),
            role: process.role,
            zone: "a".into(),
            pool: "p".into(),
            traffic: "127.0.0.1:1".parse().expect("an address"),
            peers: Some(process.peer),
            state: HostState::Live,
        });
        self.hosts.set_hosts(hosts.collect());
    }

    fn start_process(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let mut value = json!({
            "name": process.name,
            "zone": "a",
            "listen": {"traffic": "127.0.0.1:0", "peers": process.peer},
            "traffic": {"threads": 1, "drain_linger_ms": 1},
            "platform": {
                "store": [self.store.address()],
                "hosts": self.hosts.address(),
                "call_timeout_ms": 300,
            },
        });
        process.running = Some(match process.role {
            HostRole::Entry => {
                let settings = EntrySettings::parse(&value).expect("valid settings");
                Running::start(move |stop, ready| {
                    serve_entry(settings, stop, ready).expect("entry starts");
                })
            }
            HostRole::Agent => {
                value["pool"] = json!("p");
                value["server"] = json!("127.0.0.1:1");
                let settings = AgentSettings::parse(&value).expect("valid settings");
                Running::start(move |stop, ready| {
                    serve_agent(settings, stop, ready).expect("agent starts");
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

    fn revision_of(&self, process: &Process) -> Option<Revision> {
        let call = |client: PeerClient, cx| async move { client.get_status(cx).await };
        let status = self.peers.call(process.peer, CALL_LIMIT, call);
        let status = self.control.runtime().block_on(status);
        status.ok().map(|status| status.revision)
    }

    fn is_everywhere(&self, revision: u64) -> bool {
        let running = self
            .processes
            .iter()
            .filter(|process| process.running.is_some());
        let mut revisions = running.map(|process| self.revision_of(process));
        revisions.all(|held| held == Some(Revision(revision)))
    }

    fn await_everywhere(&self, revision: u64) {
        let what = format!("revision {revision} everywhere");
        wait_until(&what, || self.is_everywhere(revision));
    }

    fn offer(&self, index: usize, record: &RulesRecord) -> Result<Revision, CallError> {
        let call =
            |client: PeerClient, cx| async move { client.offer_rules(cx, record.clone()).await };
        let offered = self
            .peers
            .call(self.processes[index].peer, CALL_LIMIT, call);
        self.control.runtime().block_on(offered)
    }
}

impl Drop for Fleet {
    /// Tells all processes to stop before the first one is waited for.
    fn drop(&mut self) {
        let running = self
            .processes
            .iter()
            .filter_map(|process| process.running.as_ref());
        running.for_each(Running::begin_stop);
    }
}

fn make_proposal(parent: u64, pool: &str, accept_id: &str) -> Proposal {
    Proposal {
        text: format!("pool {pool} # Asha\n"),
        parent: Revision(parent),
        accepted_by: "Asha".into(),
        reason: "test".into(),
        accept_id: accept_id.into(),
    }
}

fn wait_until(what: &str, mut is_met: impl FnMut() -> bool) {
    let begin = Instant::now();
    while !is_met() {
        assert!(begin.elapsed() < PATIENCE, "not met: {what}");
        std::thread::sleep(STEP);
    }
}

fn refuse_calls(fleet: &Fleet, refuses: bool) {
    fleet.store.set_faults(StoreFaults {
        refuses,
        ..StoreFaults::default()
    });
}

#[test]
fn accept_rules_in_force_everywhere() {
    let fleet = Fleet::start(3, 5);
    fleet.accept(0, "one").expect("accepted");
    fleet.await_everywhere(1);
    fleet.accept(1, "two").expect("accepted");
    fleet.await_everywhere(2);
}

#[test]
fn accept_rules_store_down_right_after() {
    let fleet = Fleet::start(3, 4);
    fleet.accept(0, "one").expect("accepted");
    fleet.await_everywhere(1);
    refuse_calls(&fleet, true);
    let record = RulesRecord {
        revision: Revision(2),
        parent: Revision(1),
        ..read_offer("two")
    };
    assert_eq!(fleet.offer(0, &record), Ok(Revision(2)));
    fleet.await_everywhere(2);
}

fn read_offer(pool: &str) -> RulesRecord {
    RulesRecord {
        revision: Revision(1),
        parent: Revision(0),
        accept_id: pool.into(),
        accepted_by: "Asha".into(),
        reason: "test".into(),
        accepted_at_ms: 0,
        text: format!("pool {pool} # Asha\n"),
    }
}

#[test]
fn restart_with_store_down() {
    let mut fleet = Fleet::start(2, 2);
    fleet.accept(0, "one").expect("accepted");
    fleet.await_everywhere(1);
    refuse_calls(&fleet, true);
    for index in 0..fleet.processes.len() {
        fleet.processes[index].running = None;
        fleet.start_process(index);
        fleet.await_everywhere(1);
    }
}

#[test]
fn store_gone_back_reverts_nothing() {
    let fleet = Fleet::start(2, 2);
    fleet.accept(0, "one").expect("accepted");
    fleet.accept(1, "two").expect("accepted");
    fleet.await_everywhere(2);
    let older = read_offer("one");
    assert_eq!(fleet.offer(1, &older), Ok(Revision(2)));
    fleet.accept(2, "three").expect("accepted");
    fleet.await_everywhere(3);
}

#[test]
fn offer_rules_faulty_changes_nothing() {
    let fleet = Fleet::start(1, 1);
    fleet.accept(0, "one").expect("accepted");
    fleet.await_everywhere(1);
    let faulty = RulesRecord {
        revision: Revision(2),
        text: "pool two\n".into(),
        ..read_offer("two")
    };
    assert!(matches!(
        fleet.offer(0, &faulty),
        Err(CallError::Refused(_))
    ));
    assert!(fleet.is_everywhere(1));
}

#[test]
fn accept_rules_racing_operators() {
    let fleet = Fleet::start(0, 0);
    let outcomes: Vec<Result<RulesRecord, AcceptError>> = std::thread::scope(|scope| {
        let racers: Vec<_> = ["one", "two", "three", "four"]
            .map(|pool| scope.spawn(|| fleet.accept(0, pool)))
            .into_iter()
            .collect();
        racers
            .into_iter()
            .map(|racer| racer.join().expect("no panic"))
            .collect()
    });
    let winners: Vec<&RulesRecord> = outcomes.iter().flatten().collect();
    assert_eq!(winners.len(), 1, "{outcomes:?}");
    let losers = outcomes.iter().filter_map(|outcome| outcome.as_ref().err());
    for loser in losers {
        assert!(
            matches!(loser, AcceptError::Conflict(Revision(1))),
            "{loser:?}"
        );
    }
    let stored = read_record(&fleet.blocking_store()).expect("a read");
    assert_eq!(stored.as_ref(), Some(winners[0]));
}

#[test]
fn accept_rules_from_unknown_revision() {
    let fleet = Fleet::start(0, 0);
    fleet.accept(0, "one").expect("accepted");
    let result = fleet.accept(7, "two");
    assert!(
        matches!(result, Err(AcceptError::Conflict(Revision(1)))),
        "{result:?}"
    );
}

#[test]
fn accept_rules_lost_answer() {
    let fleet = Fleet::start(0, 0);
    fleet.store.set_faults(StoreFaults {
        lose_answers: 1,
        ..StoreFaults::default()
    });
    let first = fleet.accept(0, "one").expect("accepted");
    assert_eq!(fleet.store.faults().lose_answers, 0);
    let second = fleet.accept(1, "two").expect("accepted");
    let again = fleet.accept(0, "one").expect("the first acceptance again");
    assert_eq!((first.revision, again.revision), (Revision(1), Revision(1)));
    let stored = read_record(&fleet.blocking_store()).expect("a read");
    assert_eq!(stored, Some(second));
}

#[test]
fn accept_rules_faulty_changes_nothing() {
    let fleet = Fleet::start(0, 0);
    fleet.accept(0, "one").expect("accepted");
    let mut faulty = make_proposal(1, "two", "two");
    faulty.text = "pool two\n".into();
    let result = accept_rules(&fleet.blocking_store(), &faulty);
    assert!(matches!(result, Err(AcceptError::Invalid(_))), "{result:?}");
    let stored = read_record(&fleet.blocking_store()).expect("a read");
    assert_eq!(stored.map(|record| record.revision), Some(Revision(1)));
}

#[test]
fn read_text_at_each_revision() {
    let fleet = Fleet::start(0, 0);
    let pools = ["one", "two", "three"];
    for (parent, pool) in (0..).zip(pools) {
        fleet.accept(parent, pool).expect("accepted");
    }
    let store = fleet.blocking_store();
    for (revision, pool) in (1..).zip(pools) {
        let text = read_text_at(&store, Revision(revision)).expect("a text");
        assert_eq!(text, format!("pool {pool} # Asha\n"));
    }
    assert_eq!(read_history(&store).expect("a read").len(), 3);
    assert!(read_text_at(&store, Revision(4)).is_err());
}

#[test]
fn watch_store_few_of_many() {
    let fleet = Fleet::start(6, 3);
    wait_until("three watches", || fleet.store.counts().waiting == 3);
    fleet.accept(0, "one").expect("accepted");
    fleet.await_everywhere(1);
    assert!(fleet.store.counts().waiting <= 3);
}

#[test]
fn watch_store_silent_connections() {
    let fleet = Fleet::start(2, 2);
    fleet.accept(0, "one").expect("accepted");
    fleet.await_everywhere(1);
    fleet.store.life().freeze_connections();
    fleet.accept(1, "two").expect("accepted");
    fleet.await_everywhere(2);
}
