//! Runs one soak: starts the processes, injects the faults and checks the
//! guarantees.

use std::fmt;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use futures::future::join_all;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use serde_json::Value;
use serde_json::json;
use teaseldrum::threads::StartError;
use teaseldrum::threads::build_runtime;
use tokio::time::sleep;
use tokio::time::timeout;

use super::CallKind;
use super::CallRecord;
use super::Observations;
use super::ObservedRollout;
use super::Violation;
use super::check_guarantees;
use super::fault::Fault;
use super::fault::draw_faults;
use super::fault_link::FaultLink;
use super::fault_link::LinkMode;
use super::process::RoleProcess;
use super::rollout::EXPOSURE_SHARE;
use super::rollout::EXPOSURE_SLACK;
use super::rollout::PlannedRollout;
use super::traffic::Traffic;
use crate::loopback::allocate_address;
use crate::platform_stand_in::Backend;
use crate::platform_stand_in::Caller;
use crate::platform_stand_in::FaultInjector;
use crate::platform_stand_in::ServerTrouble;
use crate::platform_stand_in::Store;
use crate::platform_stand_in::configuration_json;
use crate::platform_stand_in::encode_request;
use crate::platform_stand_in::route_json;
use crate::platform_stand_in::routes_of_each_kind;
use crate::platform_stand_in::serve_with_faults;

/// Time within which all gateways must serve after the start and after the last
/// fault: several times as long as the store, peers and restarts take.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which a draining gateway must have ended: longer than its
/// `stop_timeout_s`.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(12);

/// Time for each caller to end its last call.
const LAST_CALL_TIMEOUT: Duration = Duration::from_secs(9);

/// Time for which each server stands still, less than the deadline of calls.
const FREEZE_TIME: Duration = Duration::from_millis(1_500);

/// Time for traces of earlier faults to vanish, and for calls to end after the last freeze.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Callers that do not read.
const SLOW_READERS: usize = 40;

/// Time between two checks of whether gateways have ended or serve.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Callers of a storm of one account. They pause for an eighth of the time that others
/// do, so that they send four times as much as 24 others.
const STORM_CALLERS: u32 = 12;

/// Parameters of a soak.
#[derive(Debug, Clone)]
pub struct SoakPlan {
    /// Random seed of the faults, the calls and the failures of servers.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
    /// Number of gateways.
    pub gateways: usize,
    /// Number of backend servers.
    pub servers: usize,
    /// Number of concurrent callers.
    pub callers: usize,
    /// Path of the teaseldrum binary.
    pub program: PathBuf,
    /// Folder for settings and logs, created if it does not exist.
    pub folder: PathBuf,
}

/// Result of a soak.
#[derive(Debug, Clone, Serialize)]
pub struct SoakSummary {
    /// Seed of the plan.
    pub seed: u64,
    /// Number of calls made.
    pub requests: usize,
    /// Number of calls that succeeded with a complete response.
    pub served: usize,
    /// Number of runs at servers.
    pub runs: usize,
    /// Number of faults injected.
    pub faults: usize,
    /// Connections of callers that do not read which gateways ended.
    pub cut_off_readers: u64,
    /// Most memory of a gateway that ran at the end, in kilobytes.
    pub peak_memory_kb: u64,
    /// Violations of guarantees.
    pub broken: Vec<Violation>,
}

/// Reason why a soak could not be run to its end.
#[derive(Debug)]
pub enum SoakError {
    /// A file, process or link could not be used.
    Io(io::Error),
    /// The async runtime could not be built.
    Start(StartError),
    /// These gateways did not serve within 20 seconds of the start.
    NotStarted(Vec<usize>),
}

impl fmt::Display for SoakError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(e) => e.fmt(f),
            Self::Start(e) => e.fmt(f),
            Self::NotStarted(gateways) => write!(
                f,
                "gateways {gateways:?} did not serve within {} seconds of their start",
                RECOVERY_TIMEOUT.as_secs()
            ),
        }
    }
}

impl From<io::Error> for SoakError {
    fn from(e: io::Error) -> Self {
        Self::Io(e)
    }
}

/// Runs a soak and checks the guarantees.
///
/// # Errors
///
/// Returns an error if the soak could not be run to its end. Violations of
/// guarantees are part of the summary instead.
pub fn run_soak(plan: &SoakPlan) -> Result<SoakSummary, SoakError> {
    fs::create_dir_all(&plan.folder)?;
    let runtime = build_runtime().map_err(SoakError::Start)?;
    runtime.block_on(async {
        let soak = Arc::new(Soak::start(plan).await?);
        soak.run(plan).await
    })
}

/// Processes, links and stand-ins of a running soak.
struct Soak {
    store: Store,
    store_links: Vec<FaultLink>,
    backends: Vec<Backend>,
    server_links: Vec<FaultLink>,
    processes: Vec<Mutex<RoleProcess>>,
    traffic: Arc<Traffic>,
    fault_injector: FaultInjector,
    /// Callers of all storms so far.
    storm_caller_count: AtomicU32,
    /// Start time in the record of each server.
    births: Vec<AtomicU64>,
    /// Records of the rollout in the store.
    rollout_records: Mutex<Vec<(String, Value)>>,
}

impl Soak {
    async fn start(plan: &SoakPlan) -> Result<Self, SoakError> {
        let store = Store::start().await;
        let fault_injector = FaultInjector::new(plan.seed);
        let (mut backends, mut server_links) = (Vec::new(), Vec::new());
        for number in 0..plan.servers {
            let fault_injector = fault_injector.clone();
            let serve =
                move |stream, backend| serve_with_faults(stream, backend, fault_injector.clone());
            let backend = Backend::start(&format!("i-{number}"), serve).await;
            server_links.push(FaultLink::start(backend.address()).await?);
            backends.push(backend);
        }
        let addresses: Vec<[SocketAddr; 3]> = (0..plan.gateways)
            .map(|_| [allocate_address(), allocate_address(), allocate_address()])
            .collect();
        let seeds: Vec<SocketAddr> = addresses.iter().map(|[.., peers]| *peers).collect();
        let (mut store_links, mut processes) = (Vec::new(), Vec::new());
        for (number, [traffic, health, peers]) in addresses.iter().enumerate() {
            let link = FaultLink::start(store.address()).await?;
            let name = format!("gateway-{number}");
            let settings = json!({
                "name": name, "zone": "a", "agent_port": 1, "store": link.address(),
                "seeds": seeds, "stop_timeout_s": 8.0,
                "listen": {"traffic": traffic, "health": health, "peers": peers},
                "bounds": {
                    "retry_ratio": 1.0, "retry_extra": 10_000.0, "retry_window_s": 10.0,
                    "rollout_exposure_share": EXPOSURE_SHARE,
                    "rollout_exposure_slack": EXPOSURE_SLACK,
                },
                // Both ways of serving calls have to keep the guarantees.
                "admission": {"enabled": plan.seed.is_multiple_of(2)},
                "memory": {"enabled": true, "reader_timeout_ms": 1_500},
            });
            let process =
                RoleProcess::prepare(&plan.program, &plan.folder, "gateway", &name, &settings)?;
            processes.push(Mutex::new(process));
            store_links.push(link);
        }
        let gateways = addresses
            .iter()
            .map(|[traffic, ..]| (*traffic, AtomicU32::new(0)));
        let traffic = Traffic {
            gateways: gateways.collect(),
            newest_version: AtomicU64::new(0),
            is_stopped: AtomicBool::new(false),
            calls: Mutex::default(),
            started_at: Instant::now(),
        };
        let soak = Self {
            store,
            store_links,
            backends,
            server_links,
            processes,
            traffic: Arc::new(traffic),
            fault_injector,
            storm_caller_count: AtomicU32::new(0),
            births: (0..plan.servers).map(|_| AtomicU64::new(1_000)).collect(),
            rollout_records: Mutex::default(),
        };
        soak.send_configuration();
        (0..plan.servers).for_each(|server| soak.register(server, "ready"));
        let not_started = soak.await_recovery().await;
        if !not_started.is_empty() {
            return Err(SoakError::NotStarted(not_started));
        }
        Ok(soak)
    }

    async fn run(self: Arc<Self>, plan: &SoakPlan) -> Result<SoakSummary, SoakError> {
        let mut rng = StdRng::seed_from_u64(plan.seed);
        let faults = draw_faults(&mut rng, plan.duration, plan.gateways, plan.servers);
        let callers: Vec<_> = (0..plan.callers)
            .map(|number| {
                let traffic = Arc::clone(&self.traffic);
                tokio::spawn(traffic.run_caller(number, rng.random()))
            })
            .collect();
        let cut_off = Arc::new(AtomicU64::new(0));
        for _ in 0..SLOW_READERS {
            let (traffic, cut_off) = (Arc::clone(&self.traffic), Arc::clone(&cut_off));
            tokio::spawn(traffic.run_slow_reader(cut_off, rng.random()));
        }
        let started_at = Instant::now();
        let soak = Arc::clone(&self);
        let planned = PlannedRollout::draw(plan.seed, plan.duration);
        let rollout = tokio::spawn(async move { soak.roll_out(planned).await });
        let mut running_faults = Vec::new();
        for planned_fault in &faults {
            sleep(planned_fault.at.saturating_sub(started_at.elapsed())).await;
            let soak = Arc::clone(&self);
            let planned_fault = *planned_fault;
            running_faults.push(tokio::spawn(async move {
                soak.inject(planned_fault.fault, planned_fault.duration)
                    .await
            }));
        }
        for fault in running_faults {
            fault.await.map_err(io::Error::other)??;
        }
        let not_recovered = self.await_recovery().await;
        let rollout = rollout.await.map_err(io::Error::other)?;
        let peaks =
            (0..self.processes.len()).filter_map(|gateway| self.process(gateway).peak_memory_kb());
        let peak_memory_kb = peaks.max().unwrap_or(0);
        let undisturbed_freezes = Some(self.freeze_each_undisturbed().await);
        let undisturbed_drains = self.drain_each_undisturbed().await?;
        self.traffic.is_stopped.store(true, Ordering::Relaxed);
        for caller in callers {
            // A caller that still waits has not recorded its call, so the call is
            // not checked.
            let _ = timeout(LAST_CALL_TIMEOUT, caller).await;
        }
        let seen = self.backends.iter().flat_map(Backend::received_requests);
        let forwarded_keys = seen.filter(|seen| seen.header("authorization").is_some());
        let observed = Observations {
            calls: self
                .traffic
                .calls
                .lock()
                .expect("no caller panicked")
                .clone(),
            runs: self.fault_injector.run_ids(),
            forwarded_keys: u32::try_from(forwarded_keys.count()).unwrap_or(u32::MAX),
            not_recovered,
            undisturbed_drains,
            undisturbed_freezes,
            rollout: Some(rollout),
        };
        let is_success = |call: &&CallRecord| call.status == 200 && call.is_complete;
        Ok(SoakSummary {
            seed: plan.seed,
            requests: observed.calls.len(),
            served: observed.calls.iter().filter(is_success).count(),
            runs: observed.runs.len(),
            faults: faults.len(),
            cut_off_readers: cut_off.load(Ordering::Relaxed),
            peak_memory_kb,
            broken: check_guarantees(&observed),
        })
    }

    /// Injects a fault and ends it after its duration.
    async fn inject(&self, fault: Fault, duration: Duration) -> io::Result<()> {
        match fault {
            Fault::Pause(gateway) => {
                self.process(gateway).signal("STOP")?;
                sleep(duration).await;
                self.process(gateway).signal("CONT")?;
            }
            Fault::Kill(gateway) => {
                self.process(gateway).kill();
                sleep(duration).await;
                self.start_gateway(gateway)?;
            }
            Fault::KillAll => {
                let all = 0..self.processes.len();
                all.clone().for_each(|gateway| self.process(gateway).kill());
                sleep(duration).await;
                for gateway in all {
                    self.start_gateway(gateway)?;
                }
            }
            Fault::Drain(gateway) => self.drain(gateway).await?,
            Fault::Reload(gateway) => self.process(gateway).signal("HUP")?,
            Fault::StoreDown => {
                self.store.set_unavailable(true);
                sleep(duration).await;
                self.store.set_unavailable(false);
            }
            Fault::StoreSilent => {
                self.store.set_unresponsive(true);
                sleep(duration).await;
                self.store.set_unresponsive(false);
            }
            Fault::StoreSlow => {
                self.store.set_slow_link(true);
                sleep(duration).await;
                self.store.set_slow_link(false);
            }
            Fault::StoreLinkSilent(gateway) => {
                set_mode_for(&self.store_links[gateway], LinkMode::Silent, duration).await;
            }
            Fault::Delay(server) => {
                set_mode_for(&self.server_links[server], LinkMode::Delayed, duration).await;
            }
            Fault::OneWay(server) => {
                set_mode_for(&self.server_links[server], LinkMode::OneWay, duration).await;
            }
            Fault::Silence(server) => {
                set_mode_for(&self.server_links[server], LinkMode::Silent, duration).await;
            }
            Fault::Reset(server) => self.server_links[server].reset(),
            Fault::NewConfiguration => self.send_configuration(),
            Fault::RestoreStore => {
                let copy = self.store.copy();
                sleep(duration / 2).await;
                self.store.set_unavailable(true);
                sleep(duration / 2).await;
                self.store.restore(&copy);
                self.store.set_unavailable(false);
                self.write_configuration();
                (0..self.backends.len()).for_each(|server| self.register(server, "ready"));
                for (key, value) in self.rollout_records().iter() {
                    self.store.put(key, value);
                }
            }
            Fault::LeaveServer(server) => {
                let trouble = ServerTrouble::Leaving;
                self.trouble_server(server, trouble, duration).await;
                self.births[server].fetch_add(1, Ordering::Relaxed);
                self.register(server, "ready");
            }
            Fault::PauseServer(server) => {
                let trouble = ServerTrouble::Pausing(1);
                self.trouble_server(server, trouble, duration).await;
            }
            Fault::LimitServer(server) => {
                let trouble = ServerTrouble::Limited(2.0);
                self.trouble_server(server, trouble, duration).await;
            }
            Fault::FreezeServer(server) => {
                let trouble = ServerTrouble::Frozen;
                self.trouble_server(server, trouble, duration).await;
            }
            Fault::Storm => {
                let callers = (0..STORM_CALLERS).map(|_| {
                    let number = self.storm_caller_count.fetch_add(1, Ordering::Relaxed);
                    Arc::clone(&self.traffic).run_storm_caller(number, duration)
                });
                join_all(callers).await;
            }
            Fault::DrainServer(server) => {
                self.register(server, "draining");
                sleep(duration).await;
                self.register(server, "ready");
            }
        }
        Ok(())
    }

    /// Orders a rollout, starts two servers of the new build and waits until the rollout
    /// has ended. The old servers stay, so that other faults can go on with them.
    async fn roll_out(&self, planned: PlannedRollout) -> ObservedRollout {
        sleep(planned.at).await;
        let ordered_at_ms = self.traffic.now_ms();
        let seconds = planned.duration.as_secs_f64();
        let order = json!({"Service": "s", "Target": "v2", "DurationS": seconds});
        self.put_rollout_record("op/rollout/s", order);
        let mut new_servers = Vec::new();
        for number in 0..2 {
            let injector = self.fault_injector.clone();
            let serve = move |stream, backend| serve_with_faults(stream, backend, injector.clone());
            let backend = Backend::start(&format!("n-{number}"), serve).await;
            if planned.is_bad {
                let trouble = Some(ServerTrouble::Failing);
                self.fault_injector.set_trouble(&backend, trouble);
            }
            let mut record = backend.member_record("s", "ready");
            record["Version"] = "v2".into();
            self.put_rollout_record(&backend.member_key(), record);
            new_servers.push(backend);
        }
        sleep(planned.duration).await;
        let deadline_ms = self.traffic.now_ms();
        let sent = new_servers
            .iter()
            .map(|server| server.received_requests().len() as u64);
        let sent_to_new = sent.sum();
        let read_states = || -> Vec<String> {
            let statuses = self.store.written_values("status/rollout/s").into_iter();
            let states = statuses.map(|status| status["State"].as_str().unwrap_or("").to_owned());
            states.collect()
        };
        let started_at = Instant::now();
        while !read_states().iter().any(|state| state != "running")
            && started_at.elapsed() < RECOVERY_TIMEOUT
        {
            sleep(POLL_INTERVAL).await;
        }
        let calls = self.traffic.calls.lock().expect("no caller panicked");
        let is_within = |call: &&CallRecord| (ordered_at_ms..deadline_ms).contains(&call.span_ms.0);
        ObservedRollout {
            is_bad: planned.is_bad,
            states: read_states(),
            sent_to_new,
            calls: calls.iter().filter(is_within).count() as u64,
        }
    }

    /// Writes a record that is written again after the store was restored.
    fn put_rollout_record(&self, key: &str, value: Value) {
        self.store.put(key, &value);
        self.rollout_records().push((key.to_owned(), value));
    }

    fn rollout_records(&self) -> MutexGuard<'_, Vec<(String, Value)>> {
        self.rollout_records
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells a gateway to stop, waits for its end and starts it again. A gateway
    /// that another fault has restarted meanwhile is left alone.
    async fn drain(&self, gateway: usize) -> io::Result<()> {
        let start_count = self.process(gateway).start_count;
        self.process(gateway).signal("TERM")?;
        let is_stopped = || {
            let mut process = self.process(gateway);
            process.start_count != start_count || !process.is_running()
        };
        let started_at = Instant::now();
        while !is_stopped() && started_at.elapsed() < DRAIN_TIMEOUT {
            sleep(POLL_INTERVAL).await;
        }
        if self.process(gateway).start_count == start_count {
            self.process(gateway).kill();
            self.start_gateway(gateway)?;
        }
        Ok(())
    }

    /// Drains and restarts the gateways one after the other, while no fault is
    /// active. Returns when each drain began and ended, in milliseconds since the
    /// start of the soak.
    async fn drain_each_undisturbed(&self) -> io::Result<Vec<(usize, (u64, u64))>> {
        let mut spans = Vec::new();
        for gateway in 0..self.processes.len() {
            let from = self.traffic.now_ms();
            self.drain(gateway).await?;
            spans.push((gateway, (from, self.traffic.now_ms())));
        }
        Ok(spans)
    }

    /// Lets servers stand still one after the other, while repeats are turned away and no
    /// other fault is active. Returns when that began and ended, in milliseconds since the
    /// start of the soak.
    async fn freeze_each_undisturbed(&self) -> (u64, u64) {
        self.fault_injector.refuse_repeats();
        sleep(SETTLE_TIME).await;
        let from = self.traffic.now_ms();
        for server in 0..self.backends.len() {
            let trouble = ServerTrouble::Frozen;
            self.trouble_server(server, trouble, FREEZE_TIME).await;
        }
        sleep(SETTLE_TIME).await;
        (from, self.traffic.now_ms())
    }

    /// Starts the gateways that do not run and waits until each serves. Returns
    /// those that do not serve within [`RECOVERY_TIMEOUT`].
    async fn await_recovery(&self) -> Vec<usize> {
        let started_at = Instant::now();
        let mut missing: Vec<usize> = (0..self.processes.len()).collect();
        let mut attempt_number = 0;
        while !missing.is_empty() && started_at.elapsed() < RECOVERY_TIMEOUT {
            let mut still_missing = Vec::new();
            for gateway in missing {
                attempt_number += 1;
                if !self.probe_gateway(gateway, attempt_number).await {
                    still_missing.push(gateway);
                }
            }
            missing = still_missing;
            sleep(POLL_INTERVAL).await;
        }
        missing
    }

    /// Starts a gateway if it does not run, and tells whether it serves a call.
    async fn probe_gateway(&self, gateway: usize, attempt_number: u32) -> bool {
        // A gateway that could not start because its port was taken is started again.
        if self.start_gateway(gateway).is_err() {
            return false;
        }
        let (address, start_count) = &self.traffic.gateways[gateway];
        let Some(mut caller) = Caller::try_connect(*address).await else {
            return false;
        };
        let id = format!("back-{gateway}-{attempt_number}-{}", self.traffic.now_ms());
        let sent_at_ms = self.traffic.now_ms();
        let is_sent = caller
            .try_send(&encode_request("GET", "/look/", &id, ""))
            .await;
        if !is_sent {
            return false;
        }
        let Ok(response) = timeout(Duration::from_secs(5), caller.read_response()).await else {
            return false;
        };
        let status = response.status;
        let record = CallRecord {
            id,
            kind: CallKind::Idempotent,
            gateway: (gateway, start_count.load(Ordering::Relaxed)),
            span_ms: (sent_at_ms, self.traffic.now_ms()),
            status,
            body: response.body,
            is_complete: response.is_complete,
        };
        self.traffic
            .calls
            .lock()
            .expect("no caller panicked")
            .push(record);
        // A 500 comes from a server that fails the call: the gateway serves.
        matches!(status, 200 | 500)
    }

    fn start_gateway(&self, gateway: usize) -> io::Result<()> {
        let mut process = self.process(gateway);
        process.start()?;
        self.traffic.gateways[gateway]
            .1
            .store(process.start_count, Ordering::Relaxed);
        Ok(())
    }

    fn process(&self, gateway: usize) -> MutexGuard<'_, RoleProcess> {
        self.processes[gateway]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a server a trouble for a time.
    async fn trouble_server(&self, server: usize, trouble: ServerTrouble, duration: Duration) {
        let backend = &self.backends[server];
        self.fault_injector.set_trouble(backend, Some(trouble));
        sleep(duration).await;
        self.fault_injector.set_trouble(backend, None);
    }

    /// Puts a configuration with one more probe route into the store.
    fn send_configuration(&self) {
        self.traffic.newest_version.fetch_add(1, Ordering::Relaxed);
        self.write_configuration();
    }

    /// Puts the newest configuration into the store.
    fn write_configuration(&self) {
        let version = self.traffic.newest_version.load(Ordering::Relaxed);
        let added = (1..=version).map(|n| route_json("probe", &format!("/v{n}/"), "idempotent"));
        let all: Vec<_> = routes_of_each_kind().into_iter().chain(added).collect();
        let value = configuration_json(version, &all);
        self.store.put_configuration(&value);
    }

    /// Lists a server in the store as reachable over its link, with a state.
    fn register(&self, server: usize, state: &str) {
        let backend = &self.backends[server];
        let mut record = backend.member_record_at(self.server_links[server].address(), "s", state);
        record["born"] = self.births[server].load(Ordering::Relaxed).into();
        self.store.put(&backend.member_key(), &record);
    }
}

/// Sets the mode of a link for a time, and then back to normal.
async fn set_mode_for(link: &FaultLink, mode: LinkMode, duration: Duration) {
    link.set_mode(mode);
    sleep(duration).await;
    link.set_mode(LinkMode::Normal);
}
