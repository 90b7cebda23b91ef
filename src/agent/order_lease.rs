//! The lease under which an agent gives orders to its server.

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

/// Time for which the lease is granted and kept alive.
const LEASE_TTL: Duration = Duration::from_secs(10);

/// The lease under which an agent gives orders to its server. It is held only
/// while an order is due; who held it last stays written.
#[derive(Debug)]
pub struct OrderLease {
    holder_key: Bytes,
    last_holder_key: Bytes,
    own_incarnation: Bytes,
    held: Option<LeaseId>,
}

impl OrderLease {
    /// Creates the lease of this run of the agent; it is not held yet.
    pub fn new(cx: &AgentContext) -> Self {
        let server = &cx.settings.name;
        Self {
            holder_key: format!("/teaseldrum/order-holder/{server}").into(),
            last_holder_key: format!("/teaseldrum/order-last/{server}").into(),
            own_incarnation: cx.incarnation.to_string().into(),
            held: None,
        }
    }

    /// Takes the lease or keeps it alive. Returns whether it is held.
    ///
    /// # Errors
    ///
    /// The store did not say.
    pub async fn acquire_or_renew(
        &mut self,
        cx: &AgentContext,
        store: &Store,
        guard: &mut SendGuard,
    ) -> Result<bool, StoreError> {
        let requested_at = cx.now();
        if let Some(lease) = self.held {
            if !store.keep_lease(lease).await?.is_zero() {
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

    /// Gives the lease up.
    pub async fn release(&mut self, store: &Store) {
        if let Some(lease) = self.held.take()
            && let Err(e) = store.revoke_lease(lease).await
        {
            log::warn!("agent: Order lease not given up: {e}.");
        }
    }

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
