//! `teaseldrum-lab bench config`: accepts rules changes one after the other and
//! measures how long each takes to come into force everywhere, and what control
//! traffic, CPU and memory the processes use.

use std::path::PathBuf;
use std::thread::sleep;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use argh::FromArgs;
use serde_json::Value;
use serde_json::json;
use teaseldrum::cli::Exit;
use teaseldrum::config::Proposal;
use teaseldrum::config::accept_rules;
use teaseldrum::core::Revision;
use teaseldrum::core::config::RulesRecord;
use teaseldrum::registry::BlockingStore;
use teaseldrum::settings::PlatformSettings;
use teaseldrum::settings::Section;
use teaseldrum::timeline::Event;
use teaseldrum::timeline::EventKind;

use super::fault::Fault;
use super::process_fleet::ProcessFleet;
use super::process_usage::read_cpu_time;
use super::process_usage::read_resident_bytes;
use super::rules_text::make_rules_text;
use crate::store::StoreFaults;

/// Longest wait for one change. The figure `not_in_force_in_30_s` is named
/// after it.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Time for which [`Fault::Paused`] stops a process.
const PAUSE_DURATION: Duration = Duration::from_secs(2);
/// Processes that are handed each record directly, as `teaseldrum rules accept`
/// does.
const OFFERED_PEERS: usize = 3;

/// Measure the time from the acceptance of rules until they are in force in
/// every process, run from the built binary, and the CPU time, memory and
/// control traffic of each process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigCommand {
    /// entries
    #[argh(option, default = "3")]
    entries: usize,
    /// agents
    #[argh(option, default = "33")]
    agents: usize,
    /// rules changes to accept, one after the other
    #[argh(option, default = "50")]
    changes: usize,
    /// client accounts in the rules
    #[argh(option, default = "590")]
    accounts: usize,
    /// fault right after each acceptance: none, store-down, killed or paused
    #[argh(option, default = "Fault::None")]
    fault: Fault,
    /// do not hand the rules to three processes directly, so that processes
    /// learn of them only through the store
    #[argh(switch)]
    untold: bool,
    /// seconds without a change, over which idle usage is measured
    #[argh(option, default = "10")]
    rest: u64,
    /// teaseldrum binary; by default the one next to this program
    #[argh(option)]
    binary: Option<PathBuf>,
    /// print one JSON object as the last line
    #[argh(switch)]
    json: bool,
}

impl ConfigCommand {
    /// Runs the bench.
    pub fn run(self) -> Exit {
        let figures = match self.measure() {
            Ok(figures) => figures,
            Err(reason) => {
                eprintln!("{reason}");
                return Exit::Failure;
            }
        };
        if self.json {
            println!("{figures}");
        } else {
            println!("{figures:#}");
        }
        Exit::Success
    }

    fn measure(&self) -> Result<Value, String> {
        let default_binary = std::env::current_exe().map_err(|e| e.to_string())?;
        let default_binary = default_binary.with_file_name("teaseldrum");
        let binary = self.binary.clone().unwrap_or(default_binary);
        let mut fleet = ProcessFleet::start(binary, self.entries, self.agents);
        let store = open_store(&fleet);
        self.accept_change(&store, 0)?;
        if !fleet.wait_until_in_force(Revision(1), IN_FORCE_TIMEOUT) {
            return Err(format!(
                "the first rules did not come into force within {} seconds",
                IN_FORCE_TIMEOUT.as_secs()
            ));
        }
        let rest = measure_idle_usage(&fleet, Duration::from_secs(self.rest));
        let usage_before = FleetUsage::read(&fleet);
        let store_calls_before = fleet.store.counts();
        let mut rollout_times = Vec::new();
        let mut timed_out = 0;
        for change in 1..=self.changes {
            match self.measure_change(&mut fleet, &store, change)? {
                Some(rollout_time) => rollout_times.push(rollout_time),
                None => timed_out += 1,
            }
        }
        let usage_after = FleetUsage::read(&fleet);
        let store_calls = fleet.store.counts();
        rollout_times.sort_unstable();
        let quantile = |share: f64| {
            let index = (share * rollout_times.len() as f64).ceil() as usize;
            rollout_times
                .get(index.saturating_sub(1))
                .map(|rollout_time| rollout_time.as_millis() as u64)
        };
        Ok(json!({
            "entries": self.entries,
            "agents": self.agents,
            "changes": self.changes,
            "fault": self.fault.as_str(),
            "told_peers": if self.untold { 0 } else { OFFERED_PEERS },
            "rules_bytes": make_rules_text(self.accounts, 0).len(),
            "in_force_ms": {"p50": quantile(0.5), "p99": quantile(0.99), "max": quantile(1.0)},
            "not_in_force_in_30_s": timed_out,
            "store_watches": store_calls.waiting,
            "store_reads_during_changes": store_calls.range - store_calls_before.range,
            "at_rest_per_process_second": rest,
            "per_change_per_process": usage_after.since(&usage_before, self.changes as f64),
            "resident_mb_max": usage_after.resident_max as f64 / 1e6,
        }))
    }

    /// Accepts one change and injects the fault. Returns the time from the
    /// acceptance until the last process put the change in force, or `None` if
    /// that took longer than [`IN_FORCE_TIMEOUT`].
    fn measure_change(
        &self,
        fleet: &mut ProcessFleet,
        store: &BlockingStore,
        change: usize,
    ) -> Result<Option<Duration>, String> {
        let faulty_process = change % fleet.len();
        let record = self.accept_change(store, change)?;
        let accepted_at = now();
        match self.fault {
            Fault::None => {}
            Fault::StoreDown => set_store_refuses(fleet, true),
            Fault::Killed => fleet.restart(faulty_process),
            Fault::Paused => fleet.signal(faulty_process, "-STOP"),
        }
        if !self.untold {
            let others = (0..fleet.len()).filter(|index| *index != faulty_process);
            others.take(OFFERED_PEERS).for_each(|index| {
                fleet.offer_rules(index, &record);
            });
        }
        if self.fault == Fault::Paused {
            sleep(PAUSE_DURATION);
            fleet.signal(faulty_process, "-CONT");
        }
        let is_in_force = fleet.wait_until_in_force(record.revision, IN_FORCE_TIMEOUT);
        set_store_refuses(fleet, false);
        if !is_in_force {
            return Ok(None);
        }
        let events = fleet.fetch_events(Event::stamp_of(
            accepted_at.saturating_sub(IN_FORCE_TIMEOUT),
        ));
        let times = events
            .iter()
            .filter_map(|events| find_adoption_time(events, record.revision));
        let last_adoption = times.max().unwrap_or(accepted_at);
        Ok(Some(last_adoption.saturating_sub(accepted_at)))
    }

    fn accept_change(&self, store: &BlockingStore, change: usize) -> Result<RulesRecord, String> {
        let proposal = Proposal {
            text: make_rules_text(self.accounts, change),
            parent: Revision(change as u64),
            accepted_by: "bench".into(),
            reason: "bench".into(),
            accept_id: format!("change-{change}"),
        };
        accept_rules(store, &proposal).map_err(|e| e.to_string())
    }
}

/// Resource use of all processes since they started.
struct FleetUsage {
    cpu_time: Duration,
    control_bytes: u64,
    resident_max: u64,
    processes: f64,
}

impl FleetUsage {
    fn read(fleet: &ProcessFleet) -> Self {
        let pids = fleet.pids();
        let status = fleet.fetch_statuses();
        let bytes = status.iter();
        let bytes = bytes.map(|status| status.control_received + status.control_sent);
        let resident = pids.iter().map(|pid| read_resident_bytes(*pid));
        Self {
            cpu_time: pids.iter().map(|pid| read_cpu_time(*pid)).sum(),
            control_bytes: bytes.sum(),
            resident_max: resident.max().unwrap_or(0),
            processes: fleet.len() as f64,
        }
    }

    /// Returns the mean use of one process since `earlier`, divided by
    /// `divisor`: the number of seconds or of changes in between.
    fn since(&self, earlier: &Self, divisor: f64) -> Value {
        let cpu_time = self.cpu_time.saturating_sub(earlier.cpu_time);
        let bytes = self.control_bytes.saturating_sub(earlier.control_bytes);
        json!({
            "processor_ms": cpu_time.as_secs_f64() * 1e3 / self.processes / divisor,
            "control_bytes": bytes as f64 / self.processes / divisor,
        })
    }
}

fn measure_idle_usage(fleet: &ProcessFleet, span: Duration) -> Value {
    let usage_before = FleetUsage::read(fleet);
    sleep(span);
    FleetUsage::read(fleet).since(&usage_before, span.as_secs_f64().max(1.0))
}

fn open_store(fleet: &ProcessFleet) -> BlockingStore {
    let mut section = Section::new("", json!({"store": [fleet.store.address()]}));
    BlockingStore::new(&PlatformSettings::read(&mut section))
}

fn set_store_refuses(fleet: &ProcessFleet, refuses: bool) {
    fleet.store.set_faults(StoreFaults {
        is_unavailable: refuses,
        ..StoreFaults::default()
    });
}

/// Returns the wall-clock time since the Unix epoch at which a process put the
/// revision, or a later one, in force.
fn find_adoption_time(events: &[Event], revision: Revision) -> Option<Duration> {
    let event = events.iter().find(
        |event| matches!(event.kind, EventKind::RulesInForce(adopted) if adopted >= revision),
    )?;
    Some(event.time())
}

fn now() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
