//! Serves updates about the engine to entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tarpc::context::Context;
use tokio::time::timeout;

use super::collector::Subscription;
use super::context::SidecarContext;
use super::order_right::OrderRight;
use crate::clock::read_wall_clock_ms;
use crate::core::ServerName;
use crate::core::fleet::AgentReport;
use crate::core::fleet::KnownOrigin;
use crate::core::fleet::Member;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::RolloutPlan;
use crate::core::fleet::RolloutReport;
use crate::core::fleet::StreamKey;
use crate::core::fleet::StreamOrigin;
use crate::core::fleet::TargetVersion;
use crate::core::fleet::WeightsHold;
use crate::mesh::CollectRequest;
use crate::mesh::CollectResponse;
use crate::mesh::EngineUpdate;
use crate::mesh::MembersCursor;
use crate::mesh::MembersUpdate;
use crate::mesh::Mesh;
use crate::mesh::ObserveRequest;
use crate::mesh::PeerState;
use crate::mesh::ZoneExchange;
use crate::mesh::release_hold;
use crate::mesh::request_hold;

/// Maximum wait for a change before a request is answered. It is shorter than
/// the silence after which an entry stops trusting the last update.
const UPDATE_WAIT: Duration = Duration::from_millis(500);

/// RPC service of a sidecar for one connection of an entry or collector.
#[derive(Clone)]
pub struct SidecarService {
    cx: Arc<SidecarContext>,
    subscription: Arc<Subscription>,
}

impl Mesh for SidecarService {
    async fn observe(self, _: Context, req: ObserveRequest) -> Option<EngineUpdate> {
        let mut updates = self.cx.subscribe();
        self.apply_request(&req);
        let is_same_incarnation = req.incarnation == self.cx.incarnation;
        if is_same_incarnation && *updates.borrow_and_update() == req.known_update {
            // After a timeout, the response tells the entry that the agent is
            // alive.
            let _ = timeout(UPDATE_WAIT, updates.changed()).await;
        }
        let sequence = *updates.borrow_and_update();
        self.cx.metrics.count_update();
        Some(self.build_update(&req, is_same_incarnation, sequence))
    }

    async fn announce(self, _: Context, prefill_time: Duration) {
        let now = self.cx.now();
        self.cx.lock().prefill_queue.add(prefill_time, now);
        self.cx.publish();
    }

    async fn collect(self, _: Context, req: CollectRequest) -> Option<CollectResponse> {
        if let Some(engines) = &req.engines {
            self.subscription.set_engines(engines);
            self.subscription.set_stores(&req.kv_cache_stores);
        }
        let collector = self.subscription.collector();
        collector.learn_targets(&req.targets);
        self.subscription.wait_for_updates().await;
        Some(CollectResponse {
            clock_ms: read_wall_clock_ms(),
            engines: self.subscription.take_updates(),
            kv_cache_stores: self.subscription.take_store_updates(),
            targets: collector.list_targets_except(&req.targets),
        })
    }

    async fn forward_announcement(self, _: Context, server: ServerName, prefill_time: Duration) {
        self.subscription
            .collector()
            .announce(&server, prefill_time);
    }

    async fn yield_orders(self, _: Context, fence: u64) {
        // Sent by entries of an earlier release.
        log::info!("weights: ordered by another process fence={fence}");
        self.cx.agent_right.record_fenced();
    }

    async fn grant_orders(self, _: Context, term: u64, fence: u64) {
        log::info!("weights: orders permitted term={term:x} fence={fence}");
        self.cx.agent_right.record_fence(term, fence);
    }

    async fn hold_weights(self, _: Context, hold: WeightsHold) -> bool {
        if self.is_own_engine(&hold.server) {
            let now = self.cx.now();
            let is_granted = self.cx.lock().weights_change.grant_hold(&hold, now);
            if !is_granted {
                log::info!(
                    "weights: hold refused id={:x} model={} version={}",
                    hold.id,
                    hold.model,
                    hold.version
                );
            }
            return is_granted;
        }
        match self.cx.collector.find_client(&hold.server) {
            Some(client) => request_hold(&client, hold).await.unwrap_or(false),
            None => false,
        }
    }

    async fn release_weights(self, _: Context, server: ServerName, hold: u64) {
        if self.is_own_engine(&server) {
            self.cx.lock().weights_change.end_hold(hold);
        } else if let Some(client) = self.cx.collector.find_client(&server) {
            release_hold(&client, server, hold).await;
        }
    }

    async fn keep_streams(self, _: Context, origins: Vec<StreamOrigin>) {
        let now = self.cx.now();
        let mut state = self.cx.lock();
        state.streams.expire(now);
        for origin in origins {
            state.streams.learn(origin, now);
        }
    }

    async fn find_stream(self, _: Context, stream: StreamKey, service: String) -> KnownOrigin {
        self.cx.lock().streams.find(stream, &service, self.cx.now())
    }

    async fn report_rollout(self, _: Context, _: RolloutReport) -> Option<RolloutPlan> {
        None
    }

    async fn share_quarantine(self, _: Context, news: QuarantineNews) -> QuarantineNews {
        let now = self.cx.now();
        let mut state = self.cx.lock();
        // An entry that has nothing to tell has started, or connects again.
        let is_asking = news.is_empty();
        let learned = state.quarantine.apply_news(news, now);
        for suspect in learned.quarantined {
            log::info!("quarantine: kept {suspect}");
        }
        state.quarantine.expire(now);
        if is_asking {
            state.quarantine.build_record(now)
        } else {
            state.quarantine.build_news(Duration::ZERO, now)
        }
    }

    // The other requests are only sent between entries.

    async fn exchange(self, _: Context, _: PeerState) -> Option<PeerState> {
        None
    }

    async fn exchange_zones(self, _: Context, _: ZoneExchange) -> Option<ZoneExchange> {
        None
    }

    async fn get_configuration(self, _: Context, _: u64) -> Option<Bytes> {
        None
    }

    async fn get_members(self, _: Context) -> Vec<Member> {
        Vec::new()
    }

    async fn follow_members(self, _: Context, _: MembersCursor) -> Option<MembersUpdate> {
        None
    }
}

impl SidecarService {
    /// Creates the service for a new connection.
    pub fn new(cx: Arc<SidecarContext>) -> Self {
        let subscription = Subscription::new(Arc::clone(&cx.collector));
        Self {
            cx,
            subscription: Arc::new(subscription),
        }
    }

    fn is_own_engine(&self, server: &ServerName) -> bool {
        self.cx.lock().engine_run.as_deref() == Some(server.as_str())
    }

    fn apply_request(&self, req: &ObserveRequest) {
        self.cx.agent_right.record_contact();
        let now = self.cx.now();
        let mut state = self.cx.lock();
        state
            .weights_change
            .set_batch_position(req.batch_position.0, req.batch_position.1);
        // Only an earlier process can have told another number.
        if req.incarnation != 0 && req.incarnation != self.cx.incarnation {
            state.weights_change.record_predecessor();
        }
        if state.engine_run.as_ref() != Some(&req.engine_run) {
            // The entry names the engine's current run as listed in the store.
            log::info!("engine: named server={}", req.engine_run);
            state.engine_run = Some(req.engine_run.clone());
        }
        let new_targets: Vec<&TargetVersion> = req
            .targets
            .iter()
            .filter(|target| state.weights_change.observe_target(target, now))
            .collect();
        for target in &new_targets {
            log::info!(
                "weights: wanted model={} version={} revision={} place={} of={}",
                target.model,
                target.version,
                target.revision,
                req.batch_position.0,
                req.batch_position.1
            );
        }
        let has_new_targets = !new_targets.is_empty();
        drop(state);
        if has_new_targets {
            self.cx.publish();
        }
    }

    fn build_update(
        &self,
        req: &ObserveRequest,
        is_same_incarnation: bool,
        sequence: u64,
    ) -> EngineUpdate {
        let state = self.cx.lock();
        let changes = is_same_incarnation
            .then(|| state.cached_parts.changes_since(req.next_kv_change))
            .flatten();
        let is_full_list = changes.is_none();
        let prefill_left = state.prefill_queue.remaining(self.cx.now());
        let mut targets_unknown_to_entry = state.weights_change.list_target_versions();
        targets_unknown_to_entry.retain(|target| !req.targets.contains(target));
        EngineUpdate {
            incarnation: self.cx.incarnation,
            clock_ms: read_wall_clock_ms(),
            sequence,
            report: AgentReport {
                prefill_ms: u32::try_from(prefill_left.as_millis()).unwrap_or(u32::MAX),
                ..state.report.clone()
            },
            kv_changes: changes.unwrap_or_else(|| state.cached_parts.list()),
            is_full_list,
            next_kv_change: state.cached_parts.next_number(),
            targets: targets_unknown_to_entry,
        }
    }
}
