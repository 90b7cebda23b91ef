//! Reconcile loop that sends pending orders to the backend server, one at a
//! time.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use serde::Serialize;
use tokio::sync::Notify;
use tokio::time::sleep;
use tokio::time::timeout;

use super::AgentContext;
use super::engine_state::refresh_engine_state;
use super::order_lease::OrderLease;
use super::weight_slot::WeightSlot;
use crate::core::order::DesiredOrders;
use crate::core::order::PendingOrder;
use crate::core::order::SendGuard;
use crate::core::order::ServerOrder;
use crate::core::order::ServerState;
use crate::http::Client;
use crate::http::ClientTimeouts;
use crate::http::full_body;
use crate::registry::KeyRange;
use crate::registry::KeyValue;
use crate::registry::Store;

const ORDERS_PATH: &str = "/orders";
const MAX_RESPONSE_BYTES: usize = 65_536;
/// Maximum wait for running attempts to end before an order to load weights is
/// sent.
const MAX_WAIT_UNTIL_IDLE: Duration = Duration::from_secs(10);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// JSON body of an order as the server expects it.
#[derive(Debug, Serialize)]
struct OrderMessage<'a> {
    #[serde(flatten)]
    order: &'a ServerOrder,
    fencing: Option<u64>,
}

/// Compares the orders in the store with the state of the server and sends the
/// pending ones, for as long as the agent runs. On a server that ignores fencing
/// tokens, an old order may take effect late; a later comparison finds that, and
/// the newer order is sent again. Returns immediately if the settings name no
/// store.
pub async fn reconcile_orders(cx: Arc<AgentContext>) {
    if cx.settings.platform.store.is_empty() {
        return;
    }
    let reconciler = OrderReconciler::new(cx);
    tokio::join!(reconciler.poll_orders(), reconciler.reconcile());
}

struct OrderReconciler {
    cx: Arc<AgentContext>,
    store: Store,
    client: Client,
    desired: Mutex<DesiredOrders>,
    orders_changed: Notify,
}

impl OrderReconciler {
    fn new(cx: Arc<AgentContext>) -> Self {
        let max_order_time = cx.settings.orders.max_order_time;
        let timeouts = ClientTimeouts {
            head: max_order_time,
            ..cx.settings.traffic.client_timeouts()
        };
        Self {
            store: Store::new(&cx.settings.platform),
            client: Client::new(timeouts),
            desired: Mutex::default(),
            orders_changed: Notify::new(),
            cx,
        }
    }

    /// Reads the orders from the store at a fixed interval. A watch for each of
    /// many agents would cost the store more.
    async fn poll_orders(&self) {
        let prefix = ServerOrder::store_prefix(&self.cx.settings.name);
        let range = KeyRange::Prefix(prefix.into());
        loop {
            match self.store.range(&range).await {
                Ok(orders) => orders.iter().for_each(|pair| self.record_order(pair)),
                Err(e) => log::warn!("agent: Orders not read: {e}."),
            }
            sleep(self.cx.settings.orders.poll_interval).await;
        }
    }

    fn record_order(&self, pair: &KeyValue) {
        let Ok(order) = serde_json::from_slice::<ServerOrder>(&pair.value) else {
            log::error!("agent: Order in the store is malformed.");
            return;
        };
        if self.lock_desired().record(pair.mod_revision, order) {
            self.orders_changed.notify_one();
        }
    }

    /// Sends each pending order while the agent holds the order lease, which lets
    /// one agent process at a time send orders to the server.
    async fn reconcile(&self) {
        let settings = &self.cx.settings.orders;
        let mut guard = SendGuard::new(
            settings.server_checks_fencing,
            settings.max_order_time,
            self.cx.now(),
        );
        let mut lease = OrderLease::new(&self.cx);
        loop {
            let found = self.find_pending().await;
            let Some((state, pending)) = found else {
                lease.release(&self.store).await;
                // The wait ends at a new order or when the next comparison is due.
                let _ = timeout(settings.reconcile_interval, self.orders_changed.notified()).await;
                continue;
            };
            match lease
                .acquire_or_renew(&self.cx, &self.store, &mut guard)
                .await
            {
                Ok(true) if guard.may_send(self.cx.now()) => {
                    self.apply_order(&state, &pending, &mut guard, &mut lease)
                        .await;
                }
                Ok(_) => sleep(settings.reconcile_interval.min(Duration::from_millis(200))).await,
                Err(e) => {
                    log::warn!("agent: Order lease not acquired or renewed: {e}.");
                    sleep(settings.reconcile_interval).await;
                }
            }
        }
    }

    /// Returns the server's state and an order that it has yet to fulfil;
    /// `None` if there is no such order or the server sent no valid state.
    async fn find_pending(&self) -> Option<(ServerState, PendingOrder)> {
        if *self.lock_desired() == DesiredOrders::default() {
            return None;
        }
        let state = refresh_engine_state(&self.cx, &self.client).await?;
        let pending = self.lock_desired().find_pending(&state)?;
        Some((state, pending))
    }

    /// Sends an order. Before an order to load weights, the agent waits for a
    /// weight slot, which limits how many servers load weights simultaneously,
    /// refuses new attempts and waits until the running ones have ended. The
    /// order is then sent only if an order is still pending and the lease is
    /// still held.
    async fn apply_order(
        &self,
        state: &ServerState,
        pending: &PendingOrder,
        guard: &mut SendGuard,
        lease: &mut OrderLease,
    ) {
        if !matches!(pending.order, ServerOrder::LoadWeights { .. }) {
            return self.send_order(state, pending, guard).await;
        }
        let slot = match WeightSlot::acquire(&self.cx, &self.store).await {
            Ok(slot) => slot,
            Err(e) => {
                log::warn!("agent: Weight slot not acquired: {e}.");
                return sleep(self.cx.settings.orders.reconcile_interval).await;
            }
        };
        self.cx.loading_weights.store(true, Ordering::Release);
        self.wait_until_idle().await;
        // A newer order may have arrived and the lease may have expired during
        // the wait.
        let pending = self.lock_desired().find_pending(state);
        let lease_result = lease.acquire_or_renew(&self.cx, &self.store, guard).await;
        if let (Some(pending), Ok(true)) = (pending, lease_result)
            && guard.may_send(self.cx.now())
        {
            self.send_order(state, &pending, guard).await;
        }
        self.cx.loading_weights.store(false, Ordering::Release);
        slot.release().await;
    }

    /// Waits until no attempt runs, at most for [`MAX_WAIT_UNTIL_IDLE`].
    async fn wait_until_idle(&self) {
        let idle = async {
            while self.cx.running.load(Ordering::Acquire) > 0 {
                sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        if timeout(MAX_WAIT_UNTIL_IDLE, idle).await.is_err() {
            log::warn!(
                "agent: Requests still running after {MAX_WAIT_UNTIL_IDLE:?}; no longer waiting for them before loading weights."
            );
        }
    }

    /// Sends an order, then refreshes the stored state of the server.
    async fn send_order(&self, state: &ServerState, pending: &PendingOrder, guard: &mut SendGuard) {
        log::info!(
            "agent: Sending order {:?}, fencing token {}.",
            pending.order,
            pending.fencing_token
        );
        let status = self.post_order(pending).await;
        match status {
            Some(StatusCode::OK) => {
                let mut desired = self.lock_desired();
                desired.record_done(state.incarnation, &pending.order);
            }
            Some(status) => {
                log::warn!("agent: Order refused with status {status}.");
                sleep(self.cx.settings.orders.reconcile_interval).await;
            }
            None => {
                log::warn!("agent: Order got no complete response.");
                guard.record_lost_answer(self.cx.now());
            }
        }
        refresh_engine_state(&self.cx, &self.client).await;
    }

    /// Posts an order to the server and returns the response status; `None` if no
    /// complete response arrived. The order may then have been sent and still
    /// take effect.
    async fn post_order(&self, pending: &PendingOrder) -> Option<StatusCode> {
        let address = self.cx.settings.server;
        let body = OrderMessage {
            order: &pending.order,
            fencing: u64::try_from(pending.fencing_token).ok(),
        };
        let request = Request::post(ORDERS_PATH)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(serde_json::to_vec(&body).ok()?))
            .ok()?;
        let mut exchange = self.client.send(address, request).await.ok()?;
        let status = exchange.status();
        exchange.read_rest(MAX_RESPONSE_BYTES).await.ok()?;
        Some(status)
    }

    fn lock_desired(&self) -> std::sync::MutexGuard<'_, DesiredOrders> {
        self.desired.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
