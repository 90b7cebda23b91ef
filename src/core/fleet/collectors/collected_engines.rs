//! Latest state of engines that one agent collects from other agents, so that
//! entries of a large fleet need not connect to every agent.

use std::collections::HashMap;
use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;

use crate::core::ServerName;
use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedPartChange;
use crate::core::fleet::routing::PartTable;

/// Changes of cached parts kept for each engine; a reader that lacks more gets
/// the full list.
const MAX_KEPT_CHANGES: usize = 500;

/// Increase of an engine's prefill queue, in milliseconds, that readers should
/// know at once: a call sent behind it would be late by that much.
const URGENT_PREFILL_INCREASE_MS: u32 = 150;

/// State of one engine that a collector passes on to entries.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CollectedUpdate {
    /// Name of the engine.
    pub name: ServerName,
    /// Latest report of its agent.
    pub report: AgentReport,
    /// Changes of its cached parts; with `is_full_list`, all parts that it
    /// holds.
    pub kv_changes: Vec<CachedPartChange>,
    /// `kv_changes` lists all parts that the engine holds, not only changes.
    pub is_full_list: bool,
}

/// Latest state of each followed engine. Every update gets a sequence number,
/// so that a reader is sent only what it lacks.
#[derive(Debug, Default)]
pub struct CollectedEngines {
    engines: HashMap<ServerName, CollectedEngine>,
    sequence: u64,
}

#[derive(Debug, Default)]
struct CollectedEngine {
    report: AgentReport,
    parts: PartTable,
    /// Changes with the sequence number of the update that brought them.
    changes: VecDeque<(u64, CachedPartChange)>,
    /// Every change after this sequence number is in `changes`.
    complete_since: u64,
    updated_at: u64,
}

impl CollectedEngines {
    /// Stores an update that an agent sent about its engine; `is_full_list`
    /// means that the engine holds no parts other than those in `kv_changes`.
    /// Returns whether it changes where calls may go, so that readers should
    /// receive it without delay.
    pub fn apply(
        &mut self,
        name: &ServerName,
        report: AgentReport,
        kv_changes: &[CachedPartChange],
        is_full_list: bool,
    ) -> bool {
        self.sequence += 1;
        let sequence = self.sequence;
        let engine = self.engines.entry(name.clone()).or_default();
        let is_urgent = engine.report.is_accepting != report.is_accepting
            || engine.report.is_alive != report.is_alive
            || engine.report.versions != report.versions
            || report.prefill_ms >= engine.report.prefill_ms + URGENT_PREFILL_INCREASE_MS;
        engine.report = report;
        engine.updated_at = sequence;
        engine.parts.apply_all(kv_changes, is_full_list);
        if is_full_list {
            engine.changes.clear();
            engine.complete_since = sequence;
            return is_urgent;
        }
        let numbered = kv_changes.iter().map(|change| (sequence, *change));
        engine.changes.extend(numbered);
        while engine.changes.len() > MAX_KEPT_CHANGES {
            if let Some((dropped, _)) = engine.changes.pop_front() {
                engine.complete_since = dropped;
            }
        }
        is_urgent
    }

    /// Forgets an engine that is no longer followed.
    pub fn remove(&mut self, name: &ServerName) {
        self.engines.remove(name);
    }

    /// Returns the sequence number of the last update.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the state of an engine if it was updated after `known`, the last
    /// sequence number that the reader has for it; `None` stands for a reader
    /// that has nothing.
    pub fn read_since(&self, name: &ServerName, known: Option<u64>) -> Option<CollectedUpdate> {
        let engine = self.engines.get(name)?;
        if known.is_some_and(|known| engine.updated_at <= known) {
            return None;
        }
        let known = known.filter(|known| *known >= engine.complete_since);
        let kv_changes = match known {
            None => engine.parts.list(),
            Some(known) => {
                let first_new = engine.changes.partition_point(|(at, _)| *at <= known);
                let new_changes = engine.changes.iter().skip(first_new);
                new_changes.map(|(_, change)| *change).collect()
            }
        };
        Some(CollectedUpdate {
            name: name.clone(),
            report: engine.report.clone(),
            kv_changes,
            is_full_list: known.is_none(),
        })
    }
}
