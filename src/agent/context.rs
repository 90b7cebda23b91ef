//! What the parts of one agent share.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Instant;

use crate::config::RulesInForce;
use crate::core::Envelope;
use crate::core::LoadReport;
use crate::core::MonotonicTime;
use crate::core::ProcessIncarnation;
use crate::core::Report;
use crate::core::once::SeenAttempts;
use crate::core::once::Sighting;
use crate::peer::Peers;
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
    /// Rules in force.
    pub rules: RulesInForce,
    /// Calls to other processes.
    pub peers: Peers,
    /// Requests that the backend server is running.
    pub running: AtomicU32,
    /// Events of this process.
    pub timeline: Recorder,
    started: Instant,
    seen: Mutex<SeenAttempts>,
}

impl AgentContext {
    /// Creates the context of an agent that starts.
    pub fn new(settings: AgentSettings) -> Self {
        Self {
            incarnation: ProcessIncarnation::draw(),
            leaving: AtomicBool::new(false),
            rules: RulesInForce::new(RuleSet::default()),
            peers: Peers::new(),
            running: AtomicU32::new(0),
            timeline: Recorder::new(settings.name.as_str()),
            started: Instant::now(),
            seen: Mutex::default(),
            settings,
        }
    }

    /// Takes note of an attempt of a request that may run at most once.
    pub fn note_attempt(&self, envelope: &Envelope) -> Sighting {
        let micros = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let now = MonotonicTime::from_micros(micros);
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.note(envelope.request, envelope.attempt, now)
    }

    /// Returns what the agent tells with an answer to an attempt.
    pub fn report(&self, envelope: &Envelope) -> Report {
        Report {
            request: envelope.request,
            attempt: envelope.attempt,
            revision: self.rules.revision(),
            agent: self.incarnation,
            engine: None,
            weights: None,
            leaving: self.leaving.load(Ordering::Acquire),
            load: LoadReport {
                running: self.running.load(Ordering::Acquire),
                ..LoadReport::default()
            },
        }
    }
}
