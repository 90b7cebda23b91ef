//! `teaseldrum-lab bench config`.

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
use super::process_usage::read_processor_time;
use super::process_usage::read_resident_bytes;
use super::rules_text::write_rules;
use crate::store::StoreFaults;

const PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_secs(2);
const PEERS_TOLD: usize = 3;

/// Measure the time from the acceptance of rules until they are in force in
/// every process, with processes of the built binary, and what control costs
/// each process.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "config")]
pub struct ConfigCommand {
    /// entries
    #[argh(option, default = "3")]
    entries: usize,
    /// agents
    #[argh(option, default = "33")]
    agents: usize,
    /// changes to accept, one after the other
    #[argh(option, default = "50")]
    changes: usize,
    /// client accounts in the rules
    #[argh(option, default = "590")]
    accounts: usize,
    /// none, store-down, killed or paused, right after each acceptance
    #[argh(option, default = "Fault::None")]
    fault: Fault,
    /// do not hand the rules to three processes, so that only the store tells
    #[argh(switch)]
    untold: bool,
    /// seconds without a change in which the cost at rest is measured
    #[argh(option, default = "10")]
    rest: u64,
    /// binary; the one beside this one where left out
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
        let beside = std::env::current_exe().map_err(|e| e.to_string())?;
        let beside = beside.with_file_name("teaseldrum");
        let binary = self.binary.clone().unwrap_or(beside);
        let mut fleet = ProcessFleet::start(binary, self.entries, self.agents);
        let store = make_store(&fleet);
        self.accept(&store, 0)?;
        if !fleet.await_everywhere(Revision(1), PATIENCE) {
            return Err("the first rules did not come into force".into());
        }
        let rest = measure_usage(&fleet, Duration::from_secs(self.rest));
        let before = Usage::read(&fleet);
        let calls_before = fleet.store.counts();
        let mut spreads = Vec::new();
        let mut not_in_time = 0;
        for change in 1..=self.changes {
            match self.change(&mut fleet, &store, change)? {
                Some(spread) => spreads.push(spread),
                None => not_in_time += 1,
            }
        }
        let after = Usage::read(&fleet);
        let calls = fleet.store.counts();
        spreads.sort_unstable();
        let quantile = |share: f64| {
            let index = (share * spreads.len() as f64).ceil() as usize;
            spreads
                .get(index.saturating_sub(1))
                .map(|spread| spread.as_millis() as u64)
        };
        Ok(json!({
            "entries": self.entries,
            "agents": self.agents,
            "changes": self.changes,
            "fault": self.fault.as_str(),
            "told_peers": if self.untold { 0 } else { PEERS_TOLD },
            "rules_bytes": write_rules(self.accounts, 0).len(),
            "in_force_ms": {"p50": quantile(0.5), "p99": quantile(0.99), "max": quantile(1.0)},
            "not_in_force_in_30_s": not_in_time,
            "store_watches": calls.waiting,
            "store_reads_during_changes": calls.range - calls_before.range,
            "at_rest_per_process_second": rest,
            "per_change_per_process": after.since(&before, self.changes as f64),
            "resident_mb_max": after.resident_max as f64 / 1e6,
        }))
    }

    /// Accepts one change under the fault. Returns how long after the
    /// acceptance it was in force everywhere; none if it was not in time.
    fn change(
        &self,
        fleet: &mut ProcessFleet,
        store: &BlockingStore,
        change: usize,
    ) -> Result<Option<Duration>, String> {
        let victim = change % fleet.len();
        let record = self.accept(store, change)?;
        let accepted = now();
        match self.fault {
            Fault::None => {}
            Fault::StoreDown => set_refuses(fleet, true),
            Fault::Killed => fleet.restart(victim),
            Fault::Paused => fleet.signal(victim, "-STOP"),
        }
        if !self.untold {
            let others = (0..fleet.len()).filter(|index| *index != victim);
            others.take(PEERS_TOLD).for_each(|index| {
                fleet.offer(index, &record);
            });
        }
        if self.fault == Fault::Paused {
            sleep(PAUSE);
            fleet.signal(victim, "-CONT");
        }
        let is_everywhere = fleet.await_everywhere(record.revision, PATIENCE);
        set_refuses(fleet, false);
        if !is_everywhere {
            return Ok(None);
        }
        let events = fleet.collect_events(Event::stamp_of(accepted.saturating_sub(PATIENCE)));
        let times = events
            .iter()
            .filter_map(|events| find_time(events, record.revision));
        let last = times.max().unwrap_or(accepted);
        Ok(Some(last.saturating_sub(accepted)))
    }

    fn accept(&self, store: &BlockingStore, change: usize) -> Result<RulesRecord, String> {
        let proposal = Proposal {
            text: write_rules(self.accounts, change),
            parent: Revision(change as u64),
            accepted_by: "bench".into(),
            reason: "bench".into(),
            accept_id: format!("change-{change}"),
        };
        accept_rules(store, &proposal).map_err(|e| e.to_string())
    }
}

/// What all processes have used since they started.
struct Usage {
    processor: Duration,
    control_bytes: u64,
    resident_max: u64,
    processes: f64,
}

impl Usage {
    fn read(fleet: &ProcessFleet) -> Self {
        let pids = fleet.pids();
        let status = fleet.get_status();
        let bytes = status.iter();
        let bytes = bytes.map(|status| status.control_received + status.control_sent);
        let resident = pids.iter().map(|pid| read_resident_bytes(*pid));
        Self {
            processor: pids.iter().map(|pid| read_processor_time(*pid)).sum(),
            control_bytes: bytes.sum(),
            resident_max: resident.max().unwrap_or(0),
            processes: fleet.len() as f64,
        }
    }

    /// Returns the mean of each process for one of `parts`.
    fn since(&self, earlier: &Self, parts: f64) -> Value {
        let processor = self.processor.saturating_sub(earlier.processor);
        let bytes = self.control_bytes.saturating_sub(earlier.control_bytes);
        json!({
            "processor_ms": processor.as_secs_f64() * 1e3 / self.processes / parts,
            "control_bytes": bytes as f64 / self.processes / parts,
        })
    }
}

fn measure_usage(fleet: &ProcessFleet, span: Duration) -> Value {
    let before = Usage::read(fleet);
    sleep(span);
    Usage::read(fleet).since(&before, span.as_secs_f64().max(1.0))
}

fn make_store(fleet: &ProcessFleet) -> BlockingStore {
    let mut section = Section::new("", json!({"store": [fleet.store.address()]}));
    BlockingStore::new(&PlatformSettings::read(&mut section))
}

fn set_refuses(fleet: &ProcessFleet, refuses: bool) {
    fleet.store.set_faults(StoreFaults {
        is_unavailable: refuses,
        ..StoreFaults::default()
    });
}

/// Returns when a process put a revision in force.
fn find_time(events: &[Event], revision: Revision) -> Option<Duration> {
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
