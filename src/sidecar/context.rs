//! State and clients that the tasks of a sidecar share.

use std::fmt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::watch;

use super::agent_right::AgentRight;
use super::collector::Collector;
use super::engine_pause::EnginePause;
use super::local_pause::LocalPause;
use super::order_right::OrderRight;
use crate::clock::Clock;
use crate::core::MonotonicTime;
use crate::core::fleet::AgentReport;
use crate::core::fleet::CachedParts;
use crate::core::fleet::PrefillQueue;
use crate::core::fleet::Quarantine;
use crate::core::fleet::ServerSpeed;
use crate::core::fleet::StreamOrigins;
use crate::core::fleet::WeightsChange;
use crate::metrics::SidecarMetrics;
use crate::ports::EngineClient;
use crate::ports::KvCacheFeed;
use crate::settings::SidecarSettings;

/// Interval between reads of the report of an engine on the same host, which is
/// fresh and costs nothing.
const REPORT_INTERVAL: Duration = Duration::from_millis(60);

/// Clients of the systems around a sidecar.
#[derive(Clone)]
pub struct SidecarPorts {
    /// Client of the engine.
    pub engine: Arc<dyn EngineClient>,
    /// Feed of the engine's cached parts.
    pub kv_cache: Arc<dyn KvCacheFeed>,
}

/// What a sidecar knows of its engine and of the target versions.
#[derive(Debug, Default)]
pub struct SidecarState {
    /// Decides when the engine changes its weights.
    pub weights_change: WeightsChange,
    /// Prompt parts that the engine holds.
    pub cached_parts: CachedParts,
    /// Whether `cached_parts` has changed since entries were last notified.
    pub has_unpublished_changes: bool,
    /// Slowness that the engine states.
    pub speed: ServerSpeed,
    /// Prompts that the engine still has to prefill.
    pub prefill_queue: PrefillQueue,
    /// Prompt parts and calls that crash servers, kept for entries.
    pub quarantine: Quarantine,
    /// Builds at which streams began, kept for entries.
    pub streams: StreamOrigins,
    /// Latest state of the agent and its engine.
    pub report: AgentReport,
    /// State that entries were last notified of.
    pub published_report: AgentReport,
    /// When entries were last notified.
    pub published_at: MonotonicTime,
    /// Name of the engine's current run, as entries state it; `None` before the
    /// first request of an entry.
    pub engine_run: Option<String>,
}

/// Settings, clients, metrics and state of a running sidecar.
pub struct SidecarContext {
    /// Settings; they apply until the process ends.
    pub settings: SidecarSettings,
    /// Clients of the engine.
    pub ports: SidecarPorts,
    /// Metrics of this process.
    pub metrics: SidecarMetrics,
    /// Random number that identifies this run.
    pub incarnation: u64,
    /// Right of an agent to order the engine beside it.
    pub agent_right: Arc<AgentRight>,
    /// Right of this process to order the engine: that of the agent, unless the engine
    /// is on another host.
    pub order_right: Arc<dyn OrderRight>,
    /// Interval between reads of the engine's report.
    pub report_interval: Duration,
    /// Pauses that the engine asks for.
    pub pause: Box<dyn EnginePause>,
    /// Engines that this process follows for entries.
    pub collector: Arc<Collector>,
    clock: Clock,
    state: Mutex<SidecarState>,
    update_number: watch::Sender<u64>,
}

impl SidecarContext {
    /// Creates the context of a sidecar that has received no report and no
    /// request yet.
    pub fn new(settings: SidecarSettings, ports: SidecarPorts) -> Self {
        let mut weights_change = WeightsChange::within(settings.version_time);
        if !settings.is_first_start {
            weights_change.record_predecessor();
        }
        let state = SidecarState {
            weights_change,
            ..SidecarState::default()
        };
        let incarnation = rand::random();
        let agent_right = Arc::new(AgentRight::new(incarnation));
        Self {
            order_right: Arc::clone(&agent_right) as Arc<dyn OrderRight>,
            agent_right,
            report_interval: REPORT_INTERVAL,
            pause: Box::new(LocalPause::new()),
            settings,
            metrics: SidecarMetrics::new(),
            incarnation,
            collector: Arc::new(Collector::new(Arc::clone(&ports.kv_cache))),
            ports,
            clock: Clock::start(),
            state: Mutex::new(state),
            update_number: watch::channel(1).0,
        }
    }

    /// Creates the context for an engine on another host, which is ordered under
    /// `order_right`, and whose pauses also hold for calls.
    pub fn for_distant_engine(
        settings: SidecarSettings,
        ports: SidecarPorts,
        order_right: Arc<dyn OrderRight>,
        report_interval: Duration,
        pause: Box<dyn EnginePause>,
    ) -> Self {
        let cx = Self::new(settings, ports);
        // The agent grants holds while it lives.
        cx.lock().weights_change.set_other_holders();
        Self {
            order_right,
            report_interval,
            pause,
            ..cx
        }
    }

    /// Returns the monotonic time since the context was created.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Locks the state. The guard must not be held across an await point.
    pub fn lock(&self) -> MutexGuard<'_, SidecarState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a new update and wakes the requests that wait for one.
    pub fn publish(&self) {
        self.update_number.send_modify(|number| *number += 1);
    }

    /// Returns a receiver of the latest update's sequence number, to wait for
    /// later updates.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.update_number.subscribe()
    }
}

impl fmt::Debug for SidecarContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("SidecarContext").finish_non_exhaustive()
    }
}
