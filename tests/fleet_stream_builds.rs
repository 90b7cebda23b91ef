//! At which build a stream goes on, over random histories of a fleet whose servers
//! are replaced while entries and agents are killed, cut off and frozen.

use std::collections::HashMap;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use proptest::prelude::*;
use teaseldrum::core::MonotonicTime;
use teaseldrum::core::ServerName;
use teaseldrum::core::fleet::Build;
use teaseldrum::core::fleet::KnownOrigin;
use teaseldrum::core::fleet::Member;
use teaseldrum::core::fleet::MemberState;
use teaseldrum::core::fleet::StreamKey;
use teaseldrum::core::fleet::StreamOrigin;
use teaseldrum::core::fleet::StreamOrigins;
use teaseldrum::core::fleet::choose_keepers;

const SERVICE: &str = "drafting";
const ENTRIES: usize = 4;
const AGENTS: usize = 4;
const STEP: Duration = Duration::from_millis(500);

/// Longest timeout of a route, and so the age up to which streams are taken up.
const TIMEOUT: Duration = Duration::from_secs(12);

fn address(index: usize) -> SocketAddr {
    let host = u8::try_from(index).expect("few processes");
    SocketAddr::from(([10, 0, 0, host], 7_600))
}

fn member(number: usize, build: usize) -> Member {
    Member {
        name: ServerName::from(format!("i-{number}").as_str()),
        service: SERVICE.into(),
        address: SocketAddr::from(([10, 0, 1, 1], 8_000)),
        zone: "a".into(),
        slots: 4,
        state: MemberState::Ready,
        models: Vec::new(),
        started_at_ms: Some(1),
        build: Build::from(format!("v{build}").as_str()),
    }
}

/// One step of a history.
#[derive(Debug, Clone)]
enum Step {
    /// A server starts; with `is_new_build`, at a build that no other has.
    StartServer {
        is_new_build: bool,
    },
    /// The server that started first leaves.
    StopServer,
    /// A stream begins at an entry and one of the servers.
    Begin {
        entry: usize,
        server: usize,
    },
    /// A caller takes the stream up at an entry.
    TakeUp {
        entry: usize,
        stream: usize,
    },
    /// A process is killed and starts again; an agent if the index is past the
    /// entries.
    Kill(usize),
    KillAllEntries,
    KillAllAgents,
    /// A process can reach no other one for some steps, or is frozen.
    Cut {
        process: usize,
        steps: usize,
    },
    /// An entry can reach neither other processes nor the store for some steps, and goes
    /// on serving callers.
    Isolate {
        entry: usize,
        steps: usize,
    },
    /// Nothing happens.
    Pass(usize),
}

fn any_step() -> impl Strategy<Value = Step> {
    let process = 0..ENTRIES + AGENTS;
    prop_oneof![
        1 => any::<bool>().prop_map(|is_new_build| Step::StartServer { is_new_build }),
        1 => Just(Step::StopServer),
        8 => (0..ENTRIES, 0..32usize).prop_map(|(entry, server)| Step::Begin { entry, server }),
        8 => (0..ENTRIES, 0..64usize).prop_map(|(entry, stream)| Step::TakeUp { entry, stream }),
        1 => process.clone().prop_map(Step::Kill),
        1 => Just(Step::KillAllEntries),
        1 => Just(Step::KillAllAgents),
        1 => (process, 1..8usize).prop_map(|(process, steps)| Step::Cut { process, steps }),
        1 => (0..ENTRIES, 1..8usize).prop_map(|(entry, steps)| Step::Isolate { entry, steps }),
        2 => (1..30usize).prop_map(Step::Pass),
    ]
}

/// Decides at which build a stream goes on.
type Decide = fn(&StreamOrigins, StreamKey, usize, &[KnownOrigin], MonotonicTime) -> Option<Build>;

fn decide(
    origins: &StreamOrigins,
    stream: StreamKey,
    asked: usize,
    answers: &[KnownOrigin],
    now: MonotonicTime,
) -> Option<Build> {
    origins.decide_build(stream, SERVICE, asked, answers, now)
}

struct Begun {
    key: StreamKey,
    build: Build,
    at: MonotonicTime,
    /// Processes that hold its origin.
    known_by: HashSet<usize>,
}

struct Fleet {
    now: MonotonicTime,
    servers: Vec<Member>,
    started: usize,
    builds: usize,
    processes: Vec<StreamOrigins>,
    cut_for: HashMap<usize, usize>,
    /// Entries that are cut off and serve callers.
    isolated: HashSet<usize>,
    begun: Vec<Begun>,
    decide: Decide,
    /// Number of times that a stream went on at its build.
    went_on: usize,
    /// What broke the promise.
    violations: Vec<String>,
}

impl Fleet {
    fn new(decide: Decide) -> Self {
        let mut fleet = Self {
            now: MonotonicTime::ZERO,
            servers: vec![member(0, 1), member(1, 1)],
            started: 2,
            builds: 1,
            processes: Vec::new(),
            cut_for: HashMap::new(),
            isolated: HashSet::new(),
            begun: Vec::new(),
            decide,
            went_on: 0,
            violations: Vec::new(),
        };
        fleet.processes = (0..ENTRIES + AGENTS)
            .map(|_| fleet.start_process())
            .collect();
        fleet
    }

    fn start_process(&self) -> StreamOrigins {
        let mut origins = StreamOrigins::default();
        origins.set_longest_timeout(TIMEOUT);
        origins
    }

    /// An entry that is not cut off reads the store.
    fn update_entries(&mut self) {
        for index in 0..ENTRIES {
            if self.is_cut(index) {
                continue;
            }
            let builds = &mut self.processes[index].builds;
            for member in &self.servers {
                builds.insert(member, self.now);
            }
            builds.start(self.now);
            builds.confirm(self.now);
        }
    }

    fn is_cut(&self, process: usize) -> bool {
        self.cut_for.contains_key(&process)
    }

    fn pass(&mut self) {
        self.now = self.now + STEP;
        self.cut_for.retain(|_, steps| {
            *steps -= 1;
            *steps > 0
        });
        self.isolated
            .retain(|entry| self.cut_for.contains_key(entry));
        self.update_entries();
        for index in 0..ENTRIES {
            self.processes[index].expire(self.now);
            for origin in self.processes[index].take_untold(self.now) {
                self.tell(index, origin);
            }
        }
    }

    fn is_serving(&self, entry: usize) -> bool {
        !self.is_cut(entry) || self.isolated.contains(&entry)
    }

    /// Returns the keepers of a stream other than `process`.
    fn keepers(&self, process: usize, stream: StreamKey) -> Vec<usize> {
        let entries: Vec<SocketAddr> = (0..ENTRIES).map(address).collect();
        let agents: Vec<SocketAddr> = (ENTRIES..ENTRIES + AGENTS).map(address).collect();
        let keepers = choose_keepers(stream, &entries, &agents);
        (0..ENTRIES + AGENTS)
            .filter(|index| *index != process && keepers.contains(&address(*index)))
            .collect()
    }

    /// Returns the keepers of a stream that `process` can reach.
    fn reachable_keepers(&self, process: usize, stream: StreamKey) -> Vec<usize> {
        let keepers = self.keepers(process, stream).into_iter();
        keepers
            .filter(|index| !self.is_cut(process) && !self.is_cut(*index))
            .collect()
    }

    fn tell(&mut self, from: usize, origin: StreamOrigin) {
        for keeper in self.reachable_keepers(from, origin.stream) {
            self.processes[keeper].learn(origin.clone(), self.now);
            let mut begun = self.begun.iter_mut();
            if let Some(begun) = begun.find(|begun| begun.key == origin.stream) {
                begun.known_by.insert(keeper);
            }
        }
    }

    fn kill(&mut self, process: usize) {
        self.processes[process] = self.start_process();
        for begun in &mut self.begun {
            begun.known_by.remove(&process);
        }
    }

    fn begin(&mut self, entry: usize, server: usize) {
        if !self.is_serving(entry) || self.servers.is_empty() {
            return;
        }
        let build = self.servers[server % self.servers.len()].build.clone();
        let key = StreamKey(self.begun.len() as u64 + 1);
        self.begun.push(Begun {
            key,
            build: build.clone(),
            at: self.now,
            known_by: HashSet::from([entry]),
        });
        let origin = StreamOrigin {
            stream: key,
            service: SERVICE.into(),
            build,
        };
        if self.processes[entry].begin(origin.clone(), self.now) {
            self.tell(entry, origin);
            self.processes[entry].mark_told(key);
        }
    }

    fn take_up(&mut self, entry: usize, stream: usize) {
        let recent: Vec<usize> = (0..self.begun.len())
            .filter(|index| self.now.since(self.begun[*index].at) < TIMEOUT)
            .collect();
        if recent.is_empty() || !self.is_serving(entry) {
            return;
        }
        let begun = &self.begun[recent[stream % recent.len()]];
        let asked = self.keepers(entry, begun.key).len();
        let keepers = self.reachable_keepers(entry, begun.key);
        let answers: Vec<KnownOrigin> = keepers
            .iter()
            .map(|keeper| self.processes[*keeper].find(begun.key, SERVICE, self.now))
            .collect();
        let decided = (self.decide)(&self.processes[entry], begun.key, asked, &answers, self.now);
        let is_known = begun.known_by.contains(&entry)
            || keepers.iter().any(|keeper| begun.known_by.contains(keeper));
        match decided {
            Some(build) if build != begun.build => {
                let violation = format!("{:?} of {} went on at {build}", begun.key, begun.build);
                self.violations.push(violation);
            }
            Some(_) => self.went_on += 1,
            None if is_known => {
                let violation = format!("{:?} is known and did not go on", begun.key);
                self.violations.push(violation);
            }
            None => {}
        }
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::StartServer { is_new_build } => {
                self.builds += usize::from(is_new_build);
                self.servers.push(member(self.started, self.builds));
                self.started += 1;
                self.update_entries();
            }
            Step::StopServer if self.servers.len() > 1 => {
                let stopped = self.servers.remove(0);
                for index in 0..ENTRIES {
                    self.processes[index].builds.remove(&stopped.name, self.now);
                }
            }
            Step::StopServer => {}
            Step::Begin { entry, server } => self.begin(entry, server),
            Step::TakeUp { entry, stream } => self.take_up(entry, stream),
            Step::Kill(process) => self.kill(process),
            Step::KillAllEntries => (0..ENTRIES).for_each(|process| self.kill(process)),
            Step::KillAllAgents => {
                (ENTRIES..ENTRIES + AGENTS).for_each(|process| self.kill(process));
            }
            Step::Cut { process, steps } => {
                self.cut_for.insert(process, steps);
            }
            Step::Isolate { entry, steps } => {
                self.cut_for.insert(entry, steps);
                self.isolated.insert(entry);
            }
            Step::Pass(steps) => (0..steps).for_each(|_| self.pass()),
        }
    }
}

fn play(steps: &[Step], decide: Decide) -> Fleet {
    let mut fleet = Fleet::new(decide);
    fleet.update_entries();
    for step in steps {
        fleet.apply(step);
        fleet.pass();
    }
    fleet
}

/// Assumes the build of the newest server that the entry lists.
fn guess(
    origins: &StreamOrigins,
    _: StreamKey,
    _: usize,
    _: &[KnownOrigin],
    now: MonotonicTime,
) -> Option<Build> {
    let seen = origins.builds.find_only_seen(SERVICE, TIMEOUT, now);
    seen.cloned().or(Some(Build::from("v1")))
}

fn histories() -> ProptestConfig {
    ProptestConfig {
        cases: 200,
        rng_seed: proptest::test_runner::RngSeed::Fixed(26),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(histories())]

    /// A stream goes on at the build that began it or at none, and it goes on if a
    /// process that can be asked holds its origin.
    #[test]
    fn decide_build_random_histories(steps in prop::collection::vec(any_step(), 1..120)) {
        let fleet = play(&steps, decide);
        prop_assert!(fleet.violations.is_empty(), "{:?}", fleet.violations);
    }
}

/// The checker above rejects an entry that guesses.
#[test]
fn decide_build_guess_is_rejected() {
    let mut runner = proptest::test_runner::TestRunner::new(histories());
    let steps = prop::collection::vec(any_step(), 60..120);
    let result = runner.run(&steps, |steps| {
        prop_assert!(play(&steps, guess).violations.is_empty());
        Ok(())
    });
    assert!(result.is_err());
}

/// Streams of a service with one build go on although no record of them is kept:
/// any entry that has observed the servers long enough knows the build.
#[test]
fn decide_build_one_build_goes_on_without_record() {
    let steps = [
        Step::Pass(40),
        Step::Begin {
            entry: 0,
            server: 0,
        },
        Step::Kill(0),
        Step::TakeUp {
            entry: 1,
            stream: 0,
        },
        Step::TakeUp {
            entry: 0,
            stream: 0,
        },
    ];
    let fleet = play(&steps, decide);
    assert_eq!((fleet.went_on, fleet.violations.len()), (2, 0));
    assert_eq!(fleet.begun[0].known_by.len(), 0);
}

/// Guards against an entry that is cut off while servers of a new build join, and lets
/// streams that began there go on at the build that it knows (ORDER).
#[test]
fn decide_build_isolated_entry_refuses() {
    let steps = [
        Step::Pass(40),
        Step::Isolate { entry: 0, steps: 6 },
        Step::StartServer { is_new_build: true },
        Step::Begin {
            entry: 1,
            server: 2,
        },
        Step::TakeUp {
            entry: 0,
            stream: 0,
        },
        Step::Pass(4),
        Step::TakeUp {
            entry: 0,
            stream: 0,
        },
    ];
    let fleet = play(&steps, decide);
    assert_eq!(fleet.violations, Vec::<String>::new());
    // It goes on once the entry is back.
    assert_eq!(fleet.went_on, 1);
}

/// A record outlives the loss of all entries, and that of all agents.
#[rstest::rstest]
#[case::entries(Step::KillAllEntries)]
#[case::agents(Step::KillAllAgents)]
fn decide_build_role_lost_goes_on(#[case] loss: Step) {
    let steps = [
        Step::StartServer { is_new_build: true },
        Step::Begin {
            entry: 0,
            server: 2,
        },
        loss,
        Step::TakeUp {
            entry: 1,
            stream: 0,
        },
    ];
    assert_eq!(play(&steps, decide).went_on, 1);
}
