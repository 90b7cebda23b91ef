//! State that all threads and tasks of one agent share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Instant;

use super::resume_counts::ResumeCounts;
use crate::config::RulesInForce;
use crate::core::EngineIncarnation;
use crate::core::Envelope;
use crate::core::LoadReport;
use crate::core::MonotonicTime;
use crate::core::ProcessIncarnation;
use crate::core::ResponseReport;
use crate::core::WeightsVersion;
use crate::core::once::AttemptCheck;
use crate::core::once::SeenAttempts;
use crate::core::order::ServerState;
use crate::metrics::AgentMetrics;
use crate::operator::RoleStatus;
use crate::peer::HostTable;
use crate::peer::PeerConnections;
use crate::rules::RuleSet;
use crate::settings::AgentSettings;
use crate::timeline::Recorder;

/// State that all threads and tasks of one agent share.
#[derive(Debug)]
pub struct AgentContext {
    /// Settings that the agent was started with.
    pub settings: AgentSettings,
    /// Incarnation of the agent, drawn at random at each start.
    pub incarnation: ProcessIncarnation,
    /// The agent is draining and refuses new attempts.
    pub leaving: AtomicBool,
    /// The agent waits to send an order to load weights, or the backend server
    /// loads them; new attempts are refused meanwhile.
    pub loading_weights: AtomicBool,
    /// Metrics that the operator server shows.
    pub metrics: AgentMetrics,
    /// Rules in force, updated from peers.
    pub rules: Arc<RulesInForce>,
    /// Client for calls of other processes.
    pub peers: Arc<PeerConnections>,
    /// Addresses of the other processes of the fleet.
    pub hosts: Arc<HostTable>,
    /// Number of attempts that the backend server is running.
    pub running: AtomicU32,
    /// Recorder of this process's timeline events.
    pub timeline: Arc<Recorder>,
    /// Number of times that entries resumed each running stream.
    pub resume_counts: ResumeCounts,
    engine_state: Mutex<Option<ServerState>>,
    started_at: Instant,
    seen_attempts: Mutex<SeenAttempts>,
}

impl AgentContext {
    /// Creates the context of an agent that starts now, with a new incarnation
    /// and empty rules.
    pub fn new(settings: AgentSettings) -> Self {
        let timeline = Arc::new(Recorder::new(settings.name.as_str()));
        let rules = RulesInForce::new(RuleSet::default(), Arc::clone(&timeline));
        Self {
            incarnation: ProcessIncarnation::random(),
            leaving: AtomicBool::new(false),
            rules: Arc::new(rules),
            loading_weights: AtomicBool::new(false),
            metrics: AgentMetrics::new(),
            engine_state: Mutex::default(),
            peers: Arc::default(),
            hosts: Arc::new(HostTable::new(settings.peer_addresses())),
            running: AtomicU32::new(0),
            timeline,
            resume_counts: ResumeCounts::default(),
            started_at: Instant::now(),
            seen_attempts: Mutex::default(),
            settings,
        }
    }

    /// Returns whether new attempts are refused because the agent is draining
    /// or the server is about to load weights.
    pub fn refuses_new_work(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.loading_weights.load(Ordering::Acquire)
    }

    /// Returns the state that the engine last reported; `None` before the first
    /// report.
    pub fn engine_state(&self) -> Option<ServerState> {
        let engine = self
            .engine_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        engine.clone()
    }

    /// Stores the state that the engine has reported.
    pub fn set_engine_state(&self, state: ServerState) {
        let mut engine = self
            .engine_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *engine = Some(state);
    }

    /// Returns the time since the context was created.
    pub fn now(&self) -> MonotonicTime {
        let micros = u64::try_from(self.started_at.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonotonicTime::from_micros(micros)
    }

    /// Records an attempt of a request that may run at most once, and returns
    /// whether it is new, a duplicate or refused because the table is full.
    pub fn record_attempt(&self, envelope: &Envelope) -> AttemptCheck {
        let now = self.now();
        let mut seen_attempts = self
            .seen_attempts
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        seen_attempts.record(envelope.request, envelope.attempt, now)
    }

    /// Applies the clock timestamp and the revision of the rules that an entry
    /// sent with an attempt.
    pub fn observe_envelope(&self, envelope: &Envelope) {
        self.timeline.observe(envelope.stamp);
        self.rules
            .record_peer_revision(envelope.revision, envelope.entry);
    }

    /// Builds the report that the agent sends with its response to an attempt.
    pub fn build_report(&self, envelope: &Envelope) -> ResponseReport {
        let engine = self.engine_state();
        let engine = engine.as_ref();
        ResponseReport {
            request: envelope.request,
            attempt: envelope.attempt,
            revision: self.rules.revision(),
            agent: self.incarnation,
            engine: engine.map(|state| EngineIncarnation(state.incarnation)),
            weights: engine.map(|state| WeightsVersion(state.weights)),
            leaving: self.refuses_new_work(),
            load: LoadReport {
                running: self.running.load(Ordering::Acquire),
                ..LoadReport::default()
            },
            stamp: self.timeline.stamp(),
        }
    }
}

impl RoleStatus for AgentContext {
    fn is_ready(&self) -> bool {
        !self.leaving.load(Ordering::Acquire)
    }

    fn write_metrics(&self) -> String {
        let running = self.running.load(Ordering::Acquire);
        self.metrics.encode(running, self.rules.revision())
    }
}
