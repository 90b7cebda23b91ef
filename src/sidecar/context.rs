//! What the parts of a sidecar share.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use crate::clock::Clock;
use crate::core::MonotonicTime;
use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedParts;
use crate::core::fleet::PrefillQueue;
use crate::core::fleet::Rollout;
use crate::metrics::SidecarMetrics;
use crate::ports::EngineClient;
use crate::ports::KvCacheFeed;
use crate::settings::SidecarSettings;

/// The systems around a sidecar.
#[derive(Clone)]
pub struct SidecarPorts {
    /// The engine.
    pub engine: Arc<dyn EngineClient>,
    /// Feed of the engine's cached parts.
    pub kv_cache: Arc<dyn KvCacheFeed>,
}

/// What a sidecar believes.
#[derive(Debug, Default)]
pub struct SidecarState {
    /// When the engine's weights change.
    pub rollout: Rollout,
    /// Parts that the engine holds.
    pub cached_parts: CachedParts,
    /// Changes of the parts that entries were not woken for yet.
    pub has_unpublished_changes: bool,
    /// Prompts that the engine still has to read.
    pub prefill_queue: PrefillQueue,
    /// The engine's state.
    pub report: AgentReport,
    /// The state that entries were woken for last.
    pub published_report: AgentReport,
    /// When that was.
    pub published_at: MonotonicTime,
    /// Name of the engine's present run, as entries know it.
    pub engine_run: Option<String>,
}

/// What the parts of a sidecar share.
pub struct SidecarContext {
    /// Settings.
    pub settings: SidecarSettings,
    /// The systems around it.
    pub ports: SidecarPorts,
    /// Figures.
    pub metrics: SidecarMetrics,
    /// Differs in each run.
    pub incarnation: u64,
    clock: Clock,
    state: Mutex<SidecarState>,
    update_number: watch::Sender<u64>,
}

impl SidecarContext {
    /// Creates the context of a sidecar that knows nothing yet.
    pub fn new(settings: SidecarSettings, ports: SidecarPorts) -> Self {
        Self {
            settings,
            ports,
            metrics: SidecarMetrics::new(),
            incarnation: rand::random(),
            clock: Clock::start(),
            state: Mutex::default(),
            update_number: watch::channel(1).0,
        }
    }

    /// Returns the time.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Locks what the sidecar believes; never held over a wait.
    pub fn lock(&self) -> MutexGuard<'_, SidecarState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Wakes entries that wait for news.
    pub fn publish(&self) {
        self.update_number.send_modify(|number| *number += 1);
    }

    /// Returns the number of the latest news, and a way to wait for later ones.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.update_number.subscribe()
    }
}

impl fmt::Debug for SidecarContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SidecarContext").finish_non_exhaustive()
    }
}
