//! Orders in force for one server, and which of them it has yet to fulfil.

use std::collections::BTreeMap;

use super::OrderKind;
use super::ServerOrder;
use super::ServerState;

/// Orders in force for one server, at most one of each kind, with the store
/// revisions at which they were written.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredOrders {
    orders: BTreeMap<OrderKind, (i64, ServerOrder)>,
    /// Incarnation of the server that last loaded an adapter, and its name.
    loaded_adapter: Option<(u64, String)>,
}

/// Order that the server has yet to fulfil.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Order to send.
    pub order: ServerOrder,
    /// Fencing token: the highest store revision of the orders in force. The
    /// server refuses an agent that knows only older orders, whose token is
    /// lower.
    pub fencing_token: i64,
}

impl DesiredOrders {
    /// Records an order and returns whether it is new. An order that is not
    /// newer than the recorded one of its kind is ignored.
    pub fn record(&mut self, revision: i64, order: ServerOrder) -> bool {
        let recorded = self.orders.get(&order.kind());
        let is_new = recorded.is_none_or(|(recorded, _)| *recorded < revision);
        if is_new {
            self.orders.insert(order.kind(), (revision, order));
        }
        is_new
    }

    /// Records that an incarnation of the server has carried out an order. Only
    /// a loaded adapter is recorded, because the server's state does not show
    /// it.
    pub fn record_done(&mut self, incarnation: u64, order: &ServerOrder) {
        if let ServerOrder::LoadAdapter { adapter } = order {
            self.loaded_adapter = Some((incarnation, adapter.clone()));
        }
    }

    /// Returns the oldest order that the server has yet to fulfil.
    pub fn find_pending(&self, state: &ServerState) -> Option<PendingOrder> {
        let fencing_token = self.fencing_token()?;
        let pending = self.orders.values();
        let pending = pending.filter(|(_, order)| !self.is_fulfilled(order, state));
        let (_, order) = pending.min_by_key(|(revision, _)| *revision)?;
        Some(PendingOrder {
            order: order.clone(),
            fencing_token,
        })
    }

    fn fencing_token(&self) -> Option<i64> {
        self.orders.values().map(|(revision, _)| *revision).max()
    }

    fn is_fulfilled(&self, order: &ServerOrder, state: &ServerState) -> bool {
        match order {
            ServerOrder::LoadWeights { version } => state.weights == *version,
            ServerOrder::ChangeRole { role } => state.role == *role,
            ServerOrder::LoadAdapter { adapter } => {
                self.loaded_adapter.as_ref() == Some(&(state.incarnation, adapter.clone()))
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn weights(version: u64) -> ServerOrder {
        ServerOrder::LoadWeights { version }
    }

    fn make_state(weights: u64) -> ServerState {
        ServerState {
            incarnation: 1,
            weights,
            role: "mixed".into(),
        }
    }

    #[test]
    fn find_pending_newest_of_kind() {
        let mut desired = DesiredOrders::default();
        desired.record(7, weights(3));
        desired.record(5, weights(2));
        let pending = desired
            .find_pending(&make_state(2))
            .expect("an order is pending");
        assert_eq!(pending.order, weights(3));
        assert_eq!(pending.fencing_token, 7);
        assert_eq!(desired.find_pending(&make_state(3)), None);
    }

    #[test]
    fn find_pending_oldest_first_with_highest_fencing() {
        let mut desired = DesiredOrders::default();
        let role = ServerOrder::ChangeRole { role: "x".into() };
        desired.record(9, role);
        desired.record(5, weights(2));
        let pending = desired
            .find_pending(&make_state(1))
            .expect("an order is pending");
        assert_eq!(pending.order, weights(2));
        assert_eq!(pending.fencing_token, 9);
    }

    #[test]
    fn find_pending_adapter_again_after_restart() {
        let mut desired = DesiredOrders::default();
        let order = ServerOrder::LoadAdapter {
            adapter: "a".into(),
        };
        desired.record(5, order.clone());
        desired.record_done(1, &order);
        assert_eq!(desired.find_pending(&make_state(0)), None);
        let restarted = ServerState {
            incarnation: 2,
            ..make_state(0)
        };
        assert!(desired.find_pending(&restarted).is_some());
    }
}
