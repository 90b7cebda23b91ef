//! What the parts of one agent share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Instant;

use super::resumes::Resumes;
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

/// What the parts of one agent share.
#[derive(Debug)]
pub struct AgentContext {
    /// Settings of the agent.
    pub settings: AgentSettings,
    /// This run of the agent.
    pub incarnation: ProcessIncarnation,
    /// The backend server takes no new work.
    pub leaving: AtomicBool,
    /// The backend server takes no new work until it has new weights.
    pub reloading: AtomicBool,
    /// Figures for operators.
    pub metrics: AgentMetrics,
    /// Rules in force.
    pub rules: Arc<RulesInForce>,
    /// Calls to other processes.
    pub peers: Arc<PeerConnections>,
    /// Processes of the fleet.
    pub hosts: Arc<HostTable>,
    /// Requests that the backend server is running.
    pub running: AtomicU32,
    /// Events of this process.
    pub timeline: Arc<Recorder>,
    /// Streams that entries resumed.
    pub resumes: Resumes,
    engine: Mutex<Option<ServerState>>,
    started: Instant,
    seen: Mutex<SeenAttempts>,
}

impl AgentContext {
    /// Creates the context of an agent that starts.
    pub fn new(settings: AgentSettings) -> Self {
        let timeline = Arc::new(Recorder::new(settings.name.as_str()));
        let rules = RulesInForce::new(RuleSet::default(), Arc::clone(&timeline));
        Self {
            incarnation: ProcessIncarnation::random(),
            leaving: AtomicBool::new(false),
            rules: Arc::new(rules),
            reloading: AtomicBool::new(false),
            metrics: AgentMetrics::new(),
            engine: Mutex::default(),
            peers: Arc::default(),
            hosts: Arc::new(HostTable::new(settings.find_peers())),
            running: AtomicU32::new(0),
            timeline,
            resumes: Resumes::default(),
            started: Instant::now(),
            seen: Mutex::default(),
            settings,
        }
    }

    /// Tells whether the backend server takes no new work now.
    pub fn takes_no_work(&self) -> bool {
        self.leaving.load(Ordering::Acquire) || self.reloading.load(Ordering::Acquire)
    }

    /// Returns what the engine told about itself last, if it did.
    pub fn engine_state(&self) -> Option<ServerState> {
        let engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        engine.clone()
    }

    /// Takes note of what the engine tells about itself.
    pub fn note_engine_state(&self, state: ServerState) {
        let mut engine = self.engine.lock().unwrap_or_else(PoisonError::into_inner);
        *engine = Some(state);
    }

    /// Returns the time since the agent started.
    pub fn now(&self) -> MonotonicTime {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonotonicTime::from_micros(micros)
    }

    /// Takes note of an attempt of a request that may run at most once.
    pub fn note_attempt(&self, envelope: &Envelope) -> AttemptCheck {
        let now = self.now();
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.record(envelope.request, envelope.attempt, now)
    }

    /// Takes note of what an entry tells with an attempt.
    pub fn observe(&self, envelope: &Envelope) {
        self.timeline.observe(envelope.stamp);
        self.rules
            .record_peer_revision(envelope.revision, envelope.entry);
    }

    /// Returns what the agent tells with an answer to an attempt.
    pub fn report(&self, envelope: &Envelope) -> ResponseReport {
        let engine = self.engine_state();
        let engine = engine.as_ref();
        ResponseReport {
            request: envelope.request,
            attempt: envelope.attempt,
            revision: self.rules.revision(),
            agent: self.incarnation,
            engine: engine.map(|state| EngineIncarnation(state.incarnation)),
            weights: engine.map(|state| WeightsVersion(state.weights)),
            leaving: self.takes_no_work(),
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
