//! Gives orders to the backend server, one after the other.

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
use super::engine_state::fetch_engine_state;
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
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Body of an order as the server takes it.
#[derive(Debug, Serialize)]
struct OrderMessage<'a> {
    #[serde(flatten)]
    order: &'a ServerOrder,
    fencing: Option<u64>,
}

/// Compares the orders in the store with the state of the server, and gives
/// those that are due, for as long as the agent runs. Because the state is
/// compared again and again, an old order that takes effect late on a server
/// that ignores fencing numbers is made good.
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

    /// Reads the orders from time to time: a watch for each of many agents
    /// would cost the store more.
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
            log::error!("agent: Order is malformed.");
            return;
        };
        if self.lock_desired().record(pair.mod_revision, order) {
            self.orders_changed.notify_one();
        }
    }

    async fn reconcile(&self) {
        let settings = &self.cx.settings.orders;
        let mut guard = SendGuard::new(settings.fenced, settings.max_order_time, self.cx.now());
        let mut lease = OrderLease::new(&self.cx);
        loop {
            let found = self.find_pending().await;
            let Some((state, pending)) = found else {
                lease.release(&self.store).await;
                // Either a new order or time for another look.
                let _ = timeout(settings.interval, self.orders_changed.notified()).await;
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
                Ok(_) => sleep(settings.interval.min(Duration::from_millis(200))).await,
                Err(e) => {
                    log::warn!("agent: Order lease not had: {e}.");
                    sleep(settings.interval).await;
                }
            }
        }
    }

    async fn find_pending(&self) -> Option<(ServerState, PendingOrder)> {
        if *self.lock_desired() == DesiredOrders::default() {
            return None;
        }
        let state = fetch_engine_state(&self.cx, &self.client).await?;
        let pending = self.lock_desired().find_pending(&state)?;
        Some((state, pending))
    }

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
                log::warn!("agent: No place to load weights: {e}.");
                return sleep(self.cx.settings.orders.interval).await;
            }
        };
        self.cx.reloading.store(true, Ordering::Release);
        self.wait_until_idle().await;
        // The wait may have been long, and a newer order may have come.
        let pending = self.lock_desired().find_pending(state);
        let lease_result = lease.acquire_or_renew(&self.cx, &self.store, guard).await;
        if let (Some(pending), Ok(true)) = (pending, lease_result)
            && guard.may_send(self.cx.now())
        {
            self.send_order(state, &pending, guard).await;
        }
        self.cx.reloading.store(false, Ordering::Release);
        slot.release().await;
    }

    /// Waits until no request runs, for a bounded time.
    async fn wait_until_idle(&self) {
        let idle = async {
            while self.cx.running.load(Ordering::Acquire) > 0 {
                sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        if timeout(IDLE_TIMEOUT, idle).await.is_err() {
            log::warn!("agent: Weights are loaded under running requests.");
        }
    }

    async fn send_order(&self, state: &ServerState, pending: &PendingOrder, guard: &mut SendGuard) {
        log::info!(
            "agent: Order {:?} given, fencing {}.",
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
                log::warn!("agent: Order refused with {status}.");
                sleep(self.cx.settings.orders.interval).await;
            }
            None => {
                log::warn!("agent: Order got no answer.");
                guard.record_lost_answer(self.cx.now());
            }
        }
        fetch_engine_state(&self.cx, &self.client).await;
    }

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
        let mut exchange = self.client.send_fresh(address, request).await.ok()?;
        let status = exchange.status();
        exchange.read_rest(MAX_RESPONSE_BYTES).await.ok()?;
        Some(status)
    }

    fn lock_desired(&self) -> std::sync::MutexGuard<'_, DesiredOrders> {
        self.desired.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
