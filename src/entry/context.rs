//! What the parts of one entry share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::mpsc::UnboundedReceiver;

use super::ServerTable;
use super::shared_limiter::QueuedMessage;
use super::shared_limiter::SharedLimiter;
use super::slot_lease::HeldSlots;
use crate::config::RulesInForce;
use crate::core::ProcessIncarnation;
use crate::core::Report;
use crate::core::ServerName;
use crate::core::retry::RetryBudget;
use crate::http::BodyBudget;
use crate::metrics::EntryMetrics;
use crate::operator::Observed;
use crate::peer::HostTable;
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
    pub rules: Arc<RulesInForce>,
    /// Calls to other processes.
    pub peers: Arc<Peers>,
    /// Processes of the fleet.
    pub hosts: Arc<HostTable>,
    /// Backend servers.
    pub servers: Arc<ServerTable>,
    /// Events of this process.
    pub timeline: Arc<Recorder>,
    /// Figures for operators.
    pub metrics: EntryMetrics,
    /// Memory that bodies of callers' requests may take.
    pub body_budget: Arc<BodyBudget>,
    /// Limiter of the accounts' rates.
    pub limiter: SharedLimiter,
    limiter_messages: Mutex<Option<UnboundedReceiver<QueuedMessage>>>,
    held_slots: Mutex<Option<HeldSlots>>,
    retry_budget: Mutex<RetryBudget>,
}

impl EntryContext {
    /// Takes note of what an agent tells with an answer.
    pub fn record_report(&self, server: &ServerName, report: Report) {
        self.timeline.observe(report.stamp);
        self.rules
            .notice(report.revision, self.peer_address(server));
        self.servers.record_report(server, report);
    }

    fn peer_address(&self, server: &ServerName) -> Option<SocketAddr> {
        let configured = self.settings.servers.iter();
        let mut configured = configured.filter(|settings| settings.name == *server);
        let discovered = || self.hosts.find_peer(server.as_str());
        configured
            .find_map(|settings| settings.peers)
            .or_else(discovered)
    }

    /// Creates the context of an entry that starts with the given rules.
    pub fn new(settings: EntrySettings, rules: RuleSet) -> Self {
        let timeline = Arc::new(Recorder::new(&settings.name));
        let incarnation = ProcessIncarnation::draw();
        let (limiter, limiter_messages) = SharedLimiter::new(&settings.name, incarnation);
        Self {
            incarnation,
            draining: AtomicBool::new(false),
            rules: Arc::new(RulesInForce::new(rules, Arc::clone(&timeline))),
            peers: Arc::default(),
            hosts: Arc::new(HostTable::new(settings.find_peers())),
            servers: ServerTable::new(&settings),
            body_budget: Arc::new(BodyBudget::new(settings.max_buffered_bytes)),
            metrics: EntryMetrics::new(),
            timeline,
            limiter,
            limiter_messages: Mutex::new(Some(limiter_messages)),
            held_slots: Mutex::default(),
            retry_budget: Mutex::default(),
            settings,
        }
    }

    /// Takes the queue of messages about shares; the first caller gets it.
    pub(super) fn take_limiter_messages(&self) -> Option<UnboundedReceiver<QueuedMessage>> {
        let queue = self.limiter_messages.lock();
        queue.unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Slots of rates that this entry holds.
    pub(super) fn lock_held_slots(&self) -> MutexGuard<'_, Option<HeldSlots>> {
        self.held_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
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
