//! State and clients that the tasks of a gateway share.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::sync::watch;

use super::admission::WaitingCalls;
use super::agent_connections::AgentConnections;
use super::clock_offsets::ClockOffsets;
use super::drain::Drain;
use super::known_entries::KnownEntries;
use super::led_rollouts::LedRollouts;
use super::report_mesh_traffic::ReportedTraffic;
use super::start_inquiry::StartInquiry;
use super::state::GatewayState;
use super::stream_keepers::StreamKeepers;
use super::unended_holds::UnendedHolds;
use super::zone_relaying::ZoneRelaying;
use crate::clock::Clock;
use crate::core::MonotonicTime;
use crate::core::fleet::AdmissionQueue;
use crate::core::fleet::ServerBytes;
use crate::core::fleet::StopPlan;
use crate::http::ByteBudget;
use crate::http::Client;
use crate::metrics::GatewayMetrics;
use crate::metrics::MeshLabels;
use crate::ports::Area;
use crate::ports::Dialect;
use crate::ports::EngineClient;
use crate::ports::FleetSource;
use crate::ports::KvCacheFeed;
use crate::ports::OrderClaims;
use crate::ports::RolloutRecords;
use crate::settings::GatewaySettings;

/// Interfaces to the systems around a gateway.
#[derive(Clone)]
pub struct GatewayPorts {
    /// HTTP headers of callers and backend servers.
    pub dialect: Arc<dyn Dialect>,
    /// Source of configuration, target versions and members.
    pub source: Arc<dyn FleetSource>,
    /// Feeds of cached prompt parts.
    pub kv_cache: Arc<dyn KvCacheFeed>,
    /// Client of engines that have no agent.
    pub engine: Arc<dyn EngineClient>,
    /// Claims to the right to order such engines.
    pub claims: Arc<dyn OrderClaims>,
    /// States of rollouts.
    pub rollouts: Arc<dyn RolloutRecords>,
}

/// Settings, clients, metrics and state of a running gateway.
pub struct GatewayContext {
    /// Settings at the start; only `seeds` follow later changes.
    pub settings: GatewaySettings,
    /// Interfaces to the systems around the gateway.
    pub ports: GatewayPorts,
    /// HTTP client with its connections to backend servers.
    pub client: Client,
    /// Memory budget of everything that is held for callers.
    pub byte_budget: Arc<ByteBudget>,
    /// Bytes outstanding at each server; counted only if the settings bound them.
    server_bytes: Mutex<ServerBytes>,
    /// Metrics of this process.
    pub metrics: GatewayMetrics,
    /// Random number that identifies this run.
    pub incarnation: u64,
    /// Seeds: peer addresses of some other entries, from the current settings.
    pub seeds: watch::Sender<Vec<SocketAddr>>,
    /// Number of resyncs that were requested, by [`Area::index`].
    pub resync_counts: [watch::Sender<u64>; 2],
    /// Number of times at which there was news of crashed servers for other processes.
    pub news_count: watch::Sender<u64>,
    /// Held while state is fetched from a peer, so that only one fetch runs.
    pub peer_fetch: tokio::sync::Mutex<()>,
    /// Open connections to agents.
    pub agent_connections: AgentConnections,
    /// Holds on the weights of engines that are still to be ended.
    pub unended_holds: UnendedHolds,
    /// KV cache stores that collectors follow.
    pub collected_stores: watch::Sender<HashSet<SocketAddr>>,
    /// Seeds that are asked before the state of the store is used.
    pub start_inquiry: StartInquiry,
    /// Entries from which this one has heard.
    pub known_entries: KnownEntries,
    /// Processes that keep the origins of streams.
    pub stream_keepers: StreamKeepers,
    /// Rollouts that this gateway leads.
    pub rollouts: LedRollouts,
    /// Control messages that are part of the metrics already.
    pub reported_traffic: ReportedTraffic,
    /// Bytes of control messages since the last log line about them.
    pub logged_traffic: Mutex<BTreeMap<MeshLabels, u64>>,
    /// Zones of the other entries, and which ones pass on the state of others.
    pub zone_relaying: ZoneRelaying,
    /// Tasks of calls that wait for servers with room.
    pub waiting_calls: WaitingCalls,
    /// Clock offsets of other processes.
    pub clock_offsets: ClockOffsets,
    /// Course of the drain.
    pub drain: Drain,
    clock: Clock,
    state: Mutex<GatewayState>,
}

impl GatewayContext {
    /// Creates the context of a gateway without configuration and members.
    pub fn new(settings: GatewaySettings, ports: GatewayPorts) -> Self {
        let mut state = GatewayState::new(&settings);
        let zone_cost = settings.zones.cost_ms_per_mb;
        state.dispatcher.set_zone_cost(zone_cost);
        if settings.has_admission() {
            state.admission = Some(AdmissionQueue::new(&settings.name));
        }
        Self {
            client: Client::new(settings.client_timeouts())
                .with_dead_server_timeout(settings.client_timeouts().read)
                .with_receive_buffer(Some(settings.receive_buffer_bytes())),
            byte_budget: Arc::new(ByteBudget::with_shares(settings.max_buffered_bytes())),
            server_bytes: Mutex::new(ServerBytes::new(settings.memory.server_mb * 1_000_000)),
            metrics: GatewayMetrics::new(),
            incarnation: rand::random(),
            seeds: watch::channel(settings.seeds.clone()).0,
            resync_counts: [watch::channel(0).0, watch::channel(0).0],
            news_count: watch::channel(0).0,
            peer_fetch: tokio::sync::Mutex::default(),
            agent_connections: AgentConnections::default(),
            unended_holds: UnendedHolds::default(),
            collected_stores: watch::channel(HashSet::new()).0,
            start_inquiry: StartInquiry::new(&settings.seeds, settings.listen.peers),
            known_entries: KnownEntries::default(),
            stream_keepers: StreamKeepers::default(),
            rollouts: LedRollouts::default(),
            reported_traffic: ReportedTraffic::default(),
            logged_traffic: Mutex::default(),
            zone_relaying: ZoneRelaying::new(&settings.name, &settings.zone),
            waiting_calls: WaitingCalls::default(),
            clock_offsets: ClockOffsets::default(),
            drain: Drain::default(),
            clock: Clock::start(),
            state: Mutex::new(state),
            settings,
            ports,
        }
    }

    /// Returns the monotonic time since the context was created.
    pub fn now(&self) -> MonotonicTime {
        self.clock.now()
    }

    /// Returns the clock of [`Self::now`].
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Locks the state. The guard must not be held across an await point.
    pub fn lock(&self) -> MutexGuard<'_, GatewayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the bytes that are outstanding at servers. The guard must not be held across
    /// an await point.
    pub fn lock_server_bytes(&self) -> MutexGuard<'_, ServerBytes> {
        self.server_bytes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes one retry for a service from the operator's budget and counts it.
    /// Returns false if none is left.
    pub fn take_retry(&self, service: &str) -> bool {
        let now = self.now();
        let mut state = self.lock();
        if state.retries.take_retry(service, now) {
            self.metrics.count_retry();
            return true;
        }
        self.metrics.count_rejected_retry();
        if let Some(usage) = state.retries.report_rejection(service, now) {
            log::info!(
                "retries: budget used up service={service} retries={} limit={:.1} requests={} entries={} age_ms={}",
                usage.retries,
                usage.max_retries,
                usage.requests,
                usage.entry_count,
                now.since(MonotonicTime::ZERO).as_millis(),
            );
        }
        false
    }

    /// Returns whether the operator's budget has a retry left for a service.
    pub fn has_retry(&self, service: &str) -> bool {
        let now = self.now();
        self.lock().retries.has_left(service, now)
    }

    /// Cancels the running watch of an area, so that the whole area is read
    /// again.
    pub fn request_resync(&self, area: Area) {
        self.resync_counts[area.index()].send_modify(|count| *count += 1);
    }

    /// Tells other processes of crashed servers, without waiting for the next exchange.
    pub fn announce_news(&self) {
        self.news_count.send_modify(|count| *count += 1);
    }

    /// Returns whether the gateway is about to stop.
    pub fn is_draining(&self) -> bool {
        self.drain.plan().is_some()
    }

    /// Starts to drain: the gateway is no longer ready and closes connections after the
    /// next response. Calls that wait are refused, and others are sent on by the plan.
    pub fn start_drain(&self, plan: StopPlan, now: MonotonicTime) {
        self.drain.begin(plan, now);
        if let Some(admission) = &mut self.lock().admission {
            admission.stop(now);
        }
        self.waiting_calls.wake();
    }

    /// Returns whether the gateway can serve calls: it has a configuration and
    /// members, it has asked its seeds, and it is not draining.
    pub fn is_ready(&self) -> bool {
        let is_held = self.is_draining() || self.start_inquiry.is_pending();
        let state = self.lock();
        state.route_table.is_some() && state.has_members && !is_held
    }
}

impl fmt::Debug for GatewayContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("GatewayContext").finish_non_exhaustive()
    }
}
