//! What the parts of one entry share.

use std::sync::Arc;

use arc_swap::ArcSwap;

use super::Servers;
use crate::rules::RuleSet;
use crate::settings::EntrySettings;
use crate::timeline::Recorder;

/// What the parts of one entry share.
#[derive(Debug)]
pub struct EntryContext {
    /// Settings of the entry.
    pub settings: EntrySettings,
    /// Rules in force.
    pub rules: ArcSwap<RuleSet>,
    /// Backend servers.
    pub servers: Servers,
    /// Events of this process.
    pub timeline: Recorder,
}

impl EntryContext {
    /// Creates the context of an entry that starts with the given rules.
    pub fn new(settings: EntrySettings, rules: RuleSet) -> Self {
        Self {
            rules: ArcSwap::new(Arc::new(rules)),
            servers: Servers::new(&settings.servers),
            timeline: Recorder::new(&settings.name),
            settings,
        }
    }
}
