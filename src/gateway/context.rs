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

use super::agent_links::AgentLinks;
use super::clocks::Clocks;
use super::state::GatewayState;
use crate::clock::Clock;
use crate::core::MonotonicTime;
use crate::http::BodyBudget;
use crate::http::Client;
use crate::metrics::GatewayMetrics;
use crate::ports::Area;
use crate::ports::Dialect;
use crate::ports::FleetSource;
use crate::ports::PartsFeed;
use crate::settings::GatewaySettings;

/// The systems around a gateway.
#[derive(Clone)]
pub struct GatewayPorts {
    /// How callers and backend servers speak.
    pub dialect: Arc<dyn Dialect>,
    /// Where configuration and members come from.
    pub source: Arc<dyn FleetSource>,
    /// Feeds of cached prompt parts.
    pub parts: Arc<dyn PartsFeed>,
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
    pub read_anew: [watch::Sender<u64>; 2],
    /// Held while a configuration is fetched from a peer.
    pub fetching: tokio::sync::Mutex<()>,
    /// Connections to agents.
    pub agents: AgentLinks,
    /// Clocks of other processes.
    pub clocks: Clocks,
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
            body_budget: Arc::new(BodyBudget::new(settings.max_buffered_bytes())),
            metrics: GatewayMetrics::new(),
            incarnation: rand::random(),
            seeds: watch::channel(settings.seeds.clone()).0,
            read_anew: [watch::channel(0).0, watch::channel(0).0],
            fetching: tokio::sync::Mutex::default(),
            agents: AgentLinks::default(),
            clocks: Clocks::default(),
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
    pub fn take_repeat(&self, service: &str) -> bool {
        let now = self.now();
        let is_taken = self.lock().retries.take_retry(service, now);
        if is_taken {
            self.metrics.count_repeat();
        }
        is_taken
    }

    /// Gives a running watch of an area up and has the area read anew.
    pub fn ask_read_anew(&self, area: Area) {
        self.read_anew[area.index()].send_modify(|count| *count += 1);
    }

    /// Tells whether the gateway is about to stop.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Acquire)
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.draining.store(true, Ordering::Release);
    }

    /// Tells whether the gateway serves calls.
    pub fn is_ready(&self) -> bool {
        let state = self.lock();
        state.table.is_some() && state.has_members && !self.is_draining()
    }
}

impl fmt::Debug for GatewayContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayContext").finish_non_exhaustive()
    }
}
