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
use super::engine_state::read_state;
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
const MAX_ANSWER_BYTES: usize = 65_536;
const DRAIN_LIMIT: Duration = Duration::from_secs(10);
const DRAIN_INTERVAL: Duration = Duration::from_millis(10);

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
pub async fn give_orders(cx: Arc<AgentContext>) {
    if cx.settings.platform.store.is_empty() {
        return;
    }
    let giver = OrderGiver::new(cx);
    tokio::join!(giver.follow_orders(), giver.run());
}

struct OrderGiver {
    cx: Arc<AgentContext>,
    store: Store,
    client: Client,
    desired: Mutex<DesiredOrders>,
    changed: Notify,
}

impl OrderGiver {
    fn new(cx: Arc<AgentContext>) -> Self {
        let order_time = cx.settings.orders.max_order_time;
        let timeouts = ClientTimeouts {
            head: order_time,
            ..cx.settings.traffic.client_timeouts()
        };
        Self {
            store: Store::new(&cx.settings.platform),
            client: Client::new(timeouts),
            desired: Mutex::default(),
            changed: Notify::new(),
            cx,
        }
    }

    /// Reads the orders from time to time: a watch for each of many agents
    /// would cost the store more.
    async fn follow_orders(&self) {
        let prefix = ServerOrder::store_prefix(&self.cx.settings.name);
        let range = KeyRange::Prefix(prefix.into());
        loop {
            match self.store.range(&range).await {
                Ok(orders) => orders.iter().for_each(|pair| self.note(pair)),
                Err(e) => log::warn!("agent: Orders not read: {e}."),
            }
            sleep(self.cx.settings.orders.poll_interval).await;
        }
    }

    fn note(&self, pair: &KeyValue) {
        let Ok(order) = serde_json::from_slice::<ServerOrder>(&pair.value) else {
            log::error!("agent: Order is malformed.");
            return;
        };
        if self.lock_desired().record(pair.mod_revision, order) {
            self.changed.notify_one();
        }
    }

    async fn run(&self) {
        let orders = &self.cx.settings.orders;
        let mut guard = SendGuard::new(orders.fenced, orders.max_order_time, self.cx.now());
        let mut lease = OrderLease::new(&self.cx);
        loop {
            let found = self.find_pending().await;
            let Some((state, due)) = found else {
                lease.release(&self.store).await;
                // Either a new order or time for another look.
                let _ = timeout(orders.interval, self.changed.notified()).await;
                continue;
            };
            match lease.hold(&self.cx, &self.store, &mut guard).await {
                Ok(true) if guard.may_send(self.cx.now()) => {
                    self.carry_out(&state, &due, &mut guard, &mut lease).await;
                }
                Ok(_) => sleep(orders.interval.min(Duration::from_millis(200))).await,
                Err(e) => {
                    log::warn!("agent: Order lease not had: {e}.");
                    sleep(orders.interval).await;
                }
            }
        }
    }

    async fn find_pending(&self) -> Option<(ServerState, PendingOrder)> {
        if *self.lock_desired() == DesiredOrders::default() {
            return None;
        }
        let state = read_state(&self.cx, &self.client).await?;
        let due = self.lock_desired().find_pending(&state)?;
        Some((state, due))
    }

    async fn carry_out(
        &self,
        state: &ServerState,
        due: &PendingOrder,
        guard: &mut SendGuard,
        lease: &mut OrderLease,
    ) {
        if !matches!(due.order, ServerOrder::LoadWeights { .. }) {
            return self.send(state, due, guard).await;
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
        let due = self.lock_desired().find_pending(state);
        let held = lease.hold(&self.cx, &self.store, guard).await;
        if let (Some(due), Ok(true)) = (due, held)
            && guard.may_send(self.cx.now())
        {
            self.send(state, &due, guard).await;
        }
        self.cx.reloading.store(false, Ordering::Release);
        slot.release().await;
    }

    /// Waits until no request runs, for a bounded time.
    async fn wait_until_idle(&self) {
        let idle = async {
            while self.cx.running.load(Ordering::Acquire) > 0 {
                sleep(DRAIN_INTERVAL).await;
            }
        };
        if timeout(DRAIN_LIMIT, idle).await.is_err() {
            log::warn!("agent: Weights are loaded under running requests.");
        }
    }

    async fn send(&self, state: &ServerState, due: &PendingOrder, guard: &mut SendGuard) {
        log::info!(
            "agent: Order {:?} given, fencing {}.",
            due.order,
            due.fencing_token
        );
        let status = self.post(due).await;
        match status {
            Some(StatusCode::OK) => {
                let mut desired = self.lock_desired();
                desired.record_done(state.incarnation, &due.order);
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
        read_state(&self.cx, &self.client).await;
    }

    async fn post(&self, due: &PendingOrder) -> Option<StatusCode> {
        let address = self.cx.settings.server;
        let message = OrderMessage {
            order: &due.order,
            fencing: u64::try_from(due.fencing_token).ok(),
        };
        let message = Request::post(ORDERS_PATH)
            .header(HOST, address.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(full_body(serde_json::to_vec(&message).ok()?))
            .ok()?;
        let mut exchange = self
            .client
            .send_on_new_connection(address, message)
            .await
            .ok()?;
        let status = exchange.status();
        exchange.read_rest(MAX_ANSWER_BYTES).await.ok()?;
        Some(status)
    }

    fn lock_desired(&self) -> std::sync::MutexGuard<'_, DesiredOrders> {
        self.desired.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
