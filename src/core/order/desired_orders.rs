//! Orders that stand for one server.

use std::collections::BTreeMap;

use super::OrderKind;
use super::ServerOrder;
use super::ServerState;

/// Orders that stand for one server, at most one of each kind, with the store
/// revisions at which they were given.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DesiredOrders {
    orders: BTreeMap<OrderKind, (i64, ServerOrder)>,
    /// Adapter that the given run of the server has loaded.
    adapter: Option<(u64, String)>,
}

/// An order that the server has yet to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PendingOrder {
    /// Order.
    pub order: ServerOrder,
    /// Fencing number: the highest store revision of the orders that stand,
    /// so that whoever knows only older ones is refused.
    pub fencing_token: i64,
}

impl DesiredOrders {
    /// Takes note of an order; an older one than known of its kind is
    /// ignored. Returns whether the order is new.
    pub fn record(&mut self, revision: i64, order: ServerOrder) -> bool {
        let known = self.orders.get(&order.kind());
        let is_new = known.is_none_or(|(known, _)| *known < revision);
        if is_new {
            self.orders.insert(order.kind(), (revision, order));
        }
        is_new
    }

    /// Takes note that a run of the server has loaded an adapter, which its
    /// state does not show.
    pub fn record_done(&mut self, incarnation: u64, order: &ServerOrder) {
        if let ServerOrder::LoadAdapter { adapter } = order {
            self.adapter = Some((incarnation, adapter.clone()));
        }
    }

    /// Returns the oldest order that the server's state does not fulfil.
    pub fn find_pending(&self, state: &ServerState) -> Option<PendingOrder> {
        let fencing_token = self.fencing_token()?;
        let due = self.orders.values();
        let due = due.filter(|(_, order)| !self.is_done(order, state));
        let (_, order) = due.min_by_key(|(revision, _)| *revision)?;
        Some(PendingOrder {
            order: order.clone(),
            fencing_token,
        })
    }

    fn fencing_token(&self) -> Option<i64> {
        self.orders.values().map(|(revision, _)| *revision).max()
    }

    fn is_done(&self, order: &ServerOrder, state: &ServerState) -> bool {
        match order {
            ServerOrder::LoadWeights { version } => state.weights == *version,
            ServerOrder::ChangeRole { role } => state.role == *role,
            ServerOrder::LoadAdapter { adapter } => {
                self.adapter.as_ref() == Some(&(state.incarnation, adapter.clone()))
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
        let due = desired.find_pending(&make_state(2)).expect("an order");
        assert_eq!(due.order, weights(3));
        assert_eq!(due.fencing_token, 7);
        assert_eq!(desired.find_pending(&make_state(3)), None);
    }

    #[test]
    fn find_pending_oldest_first_with_highest_fencing() {
        let mut desired = DesiredOrders::default();
        let role = ServerOrder::ChangeRole { role: "x".into() };
        desired.record(9, role);
        desired.record(5, weights(2));
        let due = desired.find_pending(&make_state(1)).expect("an order");
        assert_eq!(due.order, weights(2));
        assert_eq!(due.fencing_token, 9);
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
