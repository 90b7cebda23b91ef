//! What the parts of one entry share.

use std::sync::atomic::AtomicBool;

use super::Servers;
use crate::config::RulesInForce;
use crate::core::ProcessIncarnation;
use crate::peer::Peers;
use crate::rules::RuleSet;
use crate::settings::EntrySettings;
use crate::timeline::Recorder;

/// What the parts of one entry share.
#[derive(Debug)]
pub struct EntryContext {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// This run of the entry.
    pub incarnation: ProcessIncarnation,
    /// The entry takes no new work.
    pub draining: AtomicBool,
    /// Rules in force.
    pub rules: RulesInForce,
    /// Calls to other processes.
    pub peers: Peers,
    /// Backend servers.
    pub servers: Servers,
    /// Events of this process.
    pub timeline: Recorder,
}

impl EntryContext {
    /// Creates the context of an entry that starts with the given rules.
    pub fn new(settings: EntrySettings, rules: RuleSet) -> Self {
        Self {
            incarnation: ProcessIncarnation::draw(),
            draining: AtomicBool::new(false),
            rules: RulesInForce::new(rules),
            peers: Peers::new(),
            servers: Servers::new(&settings.servers),
            timeline: Recorder::new(&settings.name),
            settings,
        }
    }
}
