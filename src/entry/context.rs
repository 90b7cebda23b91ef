//! State that all threads and tasks of one entry share.

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
use crate::core::ResponseReport;
use crate::core::ServerName;
use crate::core::retry::RetryBudget;
use crate::http::ByteBudget;
use crate::metrics::EntryMetrics;
use crate::operator::RoleStatus;
use crate::peer::HostTable;
use crate::peer::PeerConnections;
use crate::rules::RuleSet;
use crate::settings::EntrySettings;
use crate::timeline::Recorder;

/// State that all threads and tasks of one entry share.
#[derive(Debug)]
pub struct EntryContext {
    /// Settings, fixed from the start.
    pub settings: EntrySettings,
    /// Identifies this run of the process; peers detect a restart by it.
    pub incarnation: ProcessIncarnation,
    /// True once the entry was told to stop; it is then reported as not ready.
    pub draining: AtomicBool,
    /// Rules in force; each request keeps the snapshot that it started with.
    pub rules: Arc<RulesInForce>,
    /// RPC client for control calls to other processes.
    pub peers: Arc<PeerConnections>,
    /// Hosts of the fleet, from the platform's host list.
    pub hosts: Arc<HostTable>,
    /// Backend servers, their load and what their caches are expected to hold.
    pub servers: Arc<ServerTable>,
    /// Event log of this process.
    pub timeline: Arc<Recorder>,
    /// Counters and histograms for the metrics page.
    pub metrics: EntryMetrics,
    /// Bounds the memory that all request bodies take together.
    pub body_budget: Arc<ByteBudget>,
    /// Rate limiter of the client accounts.
    pub limiter: SharedLimiter,
    limiter_messages: Mutex<Option<UnboundedReceiver<QueuedMessage>>>,
    held_slots: Mutex<Option<HeldSlots>>,
    retry_budget: Mutex<RetryBudget>,
}

impl EntryContext {
    /// Applies the report that an agent sent along with a response: its event
    /// stamp, its rules revision and its load.
    pub fn record_report(&self, server: &ServerName, report: ResponseReport) {
        self.timeline.observe(report.stamp);
        self.rules
            .record_peer_revision(report.revision, self.peer_address(server));
        self.servers.record_report(server, report);
    }

    fn peer_address(&self, server: &ServerName) -> Option<SocketAddr> {
        let configured = self.settings.servers.iter();
        let mut configured = configured.filter(|settings| settings.name == *server);
        let discovered = || self.hosts.find_peer_address(server.as_str());
        configured
            .find_map(|settings| settings.peer_address)
            .or_else(discovered)
    }

    /// Creates the context of an entry that has not yet started any thread.
    /// `rules` apply until newer ones arrive from the store or a peer.
    pub fn new(settings: EntrySettings, rules: RuleSet) -> Self {
        let timeline = Arc::new(Recorder::new(&settings.name));
        let incarnation = ProcessIncarnation::random();
        let (limiter, limiter_messages) = SharedLimiter::new(&settings.name, incarnation);
        Self {
            incarnation,
            draining: AtomicBool::new(false),
            rules: Arc::new(RulesInForce::new(rules, Arc::clone(&timeline))),
            peers: Arc::default(),
            hosts: Arc::new(HostTable::new(settings.peer_addresses())),
            servers: ServerTable::new(&settings),
            body_budget: Arc::new(ByteBudget::new(settings.max_buffered_bytes)),
            metrics: EntryMetrics::new(),
            timeline,
            limiter,
            limiter_messages: Mutex::new(Some(limiter_messages)),
            held_slots: Mutex::default(),
            retry_budget: Mutex::default(),
            settings,
        }
    }

    /// Takes the receiving end of the limiter's message queue; returns it only
    /// on the first call.
    pub(super) fn take_limiter_messages(&self) -> Option<UnboundedReceiver<QueuedMessage>> {
        let queue = self.limiter_messages.lock();
        queue.unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Locks the record of the rate slots that this entry holds; `None` before
    /// they are acquired and after they are lost.
    pub(super) fn lock_held_slots(&self) -> MutexGuard<'_, Option<HeldSlots>> {
        self.held_slots
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the budget that bounds the retries of all requests of this entry.
    pub fn lock_retry_budget(&self) -> MutexGuard<'_, RetryBudget> {
        let budget = self.retry_budget.lock();
        budget.unwrap_or_else(PoisonError::into_inner)
    }
}

impl RoleStatus for EntryContext {
    fn is_ready(&self) -> bool {
        !self.draining.load(Ordering::Acquire)
    }

    fn write_metrics(&self) -> String {
        self.metrics.encode(self.rules.revision())
    }
}
