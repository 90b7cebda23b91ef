//! Lease in the store that allows one agent at a time to send orders to a
//! server.

use std::time::Duration;

use bytes::Bytes;

use super::AgentContext;
use crate::core::order::SendGuard;
use crate::registry::Compare;
use crate::registry::KeyRange;
use crate::registry::LeaseId;
use crate::registry::Operation;
use crate::registry::Store;
use crate::registry::StoreError;
use crate::registry::Txn;

/// Time after which the lease expires unless it is renewed.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// Lease under which an agent sends orders to its server. It is held only while
/// an order is pending. The key of the last holder stays in the store, so that
/// the next holder knows whether another agent's order may be in flight.
#[derive(Debug)]
pub struct OrderLease {
    holder_key: Bytes,
    last_holder_key: Bytes,
    own_incarnation: Bytes,
    held: Option<LeaseId>,
}

impl OrderLease {
    /// Creates the lease for this incarnation of the agent; it is not held yet.
    pub fn new(cx: &AgentContext) -> Self {
        let server = &cx.settings.name;
        Self {
            holder_key: format!("/teaseldrum/order-holder/{server}").into(),
            last_holder_key: format!("/teaseldrum/order-last/{server}").into(),
            own_incarnation: cx.incarnation.to_string().into(),
            held: None,
        }
    }

    /// Acquires the lease, or renews it if it is held, and records it in
    /// `guard`. Returns whether it is held; false while another
    /// incarnation of the agent holds it.
    ///
    /// # Errors
    ///
    /// A call of the store failed; whether the lease is held is unknown.
    pub async fn acquire_or_renew(
        &mut self,
        cx: &AgentContext,
        store: &Store,
        guard: &mut SendGuard,
    ) -> Result<bool, StoreError> {
        let requested_at = cx.now();
        if let Some(lease) = self.held {
            if !store.keep_lease_alive(lease).await?.is_zero() {
                guard.record_lease(requested_at, LEASE_TTL, true);
                return Ok(true);
            }
            self.held = None;
        }
        let lease = store.grant_lease(LEASE_TTL).await?;
        let response = store.txn(&self.build_acquire_txn(lease)).await?;
        if !response.succeeded {
            return Ok(false);
        }
        let last_holder = response.reads.first().and_then(|read| read.first());
        let was_holder = last_holder.is_some_and(|pair| pair.value == self.own_incarnation);
        self.held = Some(lease);
        guard.record_lease(requested_at, LEASE_TTL, was_holder);
        Ok(true)
    }

    /// Releases the lease, if it is held. If the store fails, the lease expires
    /// by itself after [`LEASE_TTL`].
    pub async fn release(&mut self, store: &Store) {
        if let Some(lease) = self.held.take()
            && let Err(e) = store.revoke_lease(lease).await
        {
            log::warn!("agent: Order lease not released: {e}.");
        }
    }

    /// Builds the transaction that writes both keys if no holder exists, and
    /// reads the last holder before.
    fn build_acquire_txn(&self, lease: LeaseId) -> Txn {
        let put_holder = Operation::Put(
            self.holder_key.clone(),
            self.own_incarnation.clone(),
            Some(lease),
        );
        Txn {
            compares: vec![Compare::Absent(self.holder_key.clone())],
            success: vec![
                Operation::Range(KeyRange::Key(self.last_holder_key.clone())),
                put_holder,
                Operation::Put(
                    self.last_holder_key.clone(),
                    self.own_incarnation.clone(),
                    None,
                ),
            ],
            failure: Vec::new(),
        }
    }
}
