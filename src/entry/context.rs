//! What the parts of one entry share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc::UnboundedReceiver;

use super::Servers;
use super::shares::Posted;
use super::shares::Shares;
use super::slot_keeper::HeldSlots;
use crate::config::RulesInForce;
use crate::core::ProcessIncarnation;
use crate::core::ResponseReport;
use crate::core::ServerName;
use crate::core::retry::RetryBudget;
use crate::http::BodyBudget;
use crate::metrics::EntryMetrics;
use crate::operator::Observed;
use crate::peer::HostTable;
use crate::peer::PeerConnections;
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
    pub rules: Arc<RulesInForce>,
    /// Calls to other processes.
    pub peers: Arc<PeerConnections>,
    /// Processes of the fleet.
    pub hosts: Arc<HostTable>,
    /// Backend servers.
    pub servers: Arc<Servers>,
    /// Events of this process.
    pub timeline: Arc<Recorder>,
    /// Figures for operators.
    pub metrics: EntryMetrics,
    /// Memory that bodies of callers' requests may take.
    pub body_budget: Arc<BodyBudget>,
    /// Limiter of the accounts' rates.
    pub shares: Shares,
    share_queue: Mutex<Option<UnboundedReceiver<Posted>>>,
    slots: Mutex<Option<HeldSlots>>,
    retry_budget: Mutex<RetryBudget>,
}

impl EntryContext {
    /// Takes note of what an agent tells with an answer.
    pub fn observe(&self, server: &ServerName, report: ResponseReport) {
        self.timeline.observe(report.stamp);
        self.rules
            .record_peer_revision(report.revision, self.find_peer(server));
        self.servers.observe(server, report);
    }

    fn find_peer(&self, server: &ServerName) -> Option<SocketAddr> {
        let named = self.settings.servers.iter();
        let mut named = named.filter(|named| named.name == *server);
        let listed = || self.hosts.find_peer_address(server.as_str());
        named.find_map(|named| named.peers).or_else(listed)
    }

    /// Creates the context of an entry that starts with the given rules.
    pub fn new(settings: EntrySettings, rules: RuleSet) -> Self {
        let timeline = Arc::new(Recorder::new(&settings.name));
        let incarnation = ProcessIncarnation::random();
        let (shares, share_queue) = Shares::new(&settings.name, incarnation);
        Self {
            incarnation,
            draining: AtomicBool::new(false),
            rules: Arc::new(RulesInForce::new(rules, Arc::clone(&timeline))),
            peers: Arc::default(),
            hosts: Arc::new(HostTable::new(settings.find_peers())),
            servers: Servers::new(&settings),
            body_budget: Arc::new(BodyBudget::new(settings.max_buffered_bytes)),
            metrics: EntryMetrics::new(),
            timeline,
            shares,
            share_queue: Mutex::new(Some(share_queue)),
            slots: Mutex::default(),
            retry_budget: Mutex::default(),
            settings,
        }
    }

    /// Takes the queue of messages about shares; the first caller gets it.
    pub(super) fn take_share_queue(&self) -> Option<UnboundedReceiver<Posted>> {
        let queue = self.share_queue.lock();
        queue.unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Slots of rates that this entry holds.
    pub(super) fn lock_slots(&self) -> MutexGuard<'_, Option<HeldSlots>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Bound on the retries of this entry.
    pub fn lock_retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        let budget = self.retry_budget.lock();
        budget.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Observed for EntryContext {
    fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Acquire)
    }

    fn write_metrics(&self) -> String {
        self.metrics.write(self.rules.revision())
    }
}
