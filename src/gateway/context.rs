//! What the parts of a gateway share.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio::sync::watch;

use super::agent_connections::AgentConnections;
use super::clock_offsets::ClockOffsets;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::core::MonotonicTime;
use crate::http::BodyBudget;
use crate::http::Client;
use crate::metrics::GatewayMetrics;
use crate::ports::Area;
use crate::ports::Dialect;
use crate::ports::FleetSource;
use crate::ports::KvCacheFeed;
use crate::settings::GatewaySettings;

/// The systems around a gateway.
#[derive(Clone)]
pub struct GatewayPorts {
    /// How callers and backend servers speak.
    pub dialect: Arc<dyn Dialect>,
    /// Where configuration and members come from.
    pub source: Arc<dyn FleetSource>,
    /// Feeds of cached prompt parts.
    pub kv_cache: Arc<dyn KvCacheFeed>,
}

/// What the parts of a gateway share.
pub struct GatewayContext {
    /// Settings.
    pub settings: GatewaySettings,
    /// The systems around it.
    pub ports: GatewayPorts,
    /// Connections to backend servers.
    pub client: Client,
    /// Memory of request bodies.
    pub body_budget: Arc<BodyBudget>,
    /// Figures.
    pub metrics: GatewayMetrics,
    /// Differs in each run.
    pub incarnation: u64,
    /// Control addresses of some other entries, as the settings name them now.
    pub seeds: watch::Sender<Vec<SocketAddr>>,
    /// Counts the times at which each area must be read anew.
    pub resync_counts: [watch::Sender<u64>; 2],
    /// Held while a configuration is fetched from a peer.
    pub configuration_fetch: tokio::sync::Mutex<()>,
    /// Connections to agents.
    pub agent_connections: AgentConnections,
    /// Clocks of other processes.
    pub clock_offsets: ClockOffsets,
    clock: Clock,
    state: Mutex<GatewayState>,
    draining: AtomicBool,
}

impl GatewayContext {
    /// Creates the context of a gateway that knows nothing yet.
    pub fn new(settings: GatewaySettings, ports: GatewayPorts) -> Self {
        let state = GatewayState::new(&settings.zone, &settings.bounds);
        Self {
            client: Client::new(settings.client_timeouts()),
            body_budget: Arc::new(BodyBudget::new(settings.body_bytes())),
            metrics: GatewayMetrics::new(),
            incarnation: rand::random(),
            seeds: watch::channel(settings.seeds.clone()).0,
            resync_counts: [watch::channel(0).0, watch::channel(0).0],
            configuration_fetch: tokio::sync::Mutex::default(),
            agent_connections: AgentConnections::default(),
            clock_offsets: ClockOffsets::default(),
            clock: Clock::start(),
            state: Mutex::new(state),
            draining: AtomicBool::new(false),
            settings,
            ports,
        }
    }

    /// Returns the time.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Locks what the gateway believes; never held over a wait.
    pub fn lock(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a repeated send to a service out of the operator's bound; false
    /// if none is left.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let is_allowed = self.lock().retries.take_retry(service, now);
        if is_allowed {
            self.metrics.count_repeat();
        }
        is_allowed
    }

    /// Gives a running watch of an area up and has the area read anew.
    pub fn request_resync(&self, area: Area) {
        self.resync_counts[area.index()].send_modify(|count| *count += 1);
    }

    /// Tells whether the gateway is about to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins to drain.
    pub fn start_drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether the gateway serves calls.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.route_table.is_some() && state.has_members && !self.is_draining()
    }
}

impl fmt::Debug for GatewayContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayContext").finish_non_exhaustive()
    }
}
