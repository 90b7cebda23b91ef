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
const TTL: Duration = Duration::from_secs(10);

/// The lease under which an agent gives orders to its server. It is held only
/// while an order is due; who held it last stays written.
#[derive(Debug)]
pub struct OrderLease {
    holder_key: Bytes,
    last_key: Bytes,
    own: Bytes,
    held: Option<LeaseId>,
}

impl OrderLease {
    /// Creates the lease of this run of the agent; it is not held yet.
    pub fn new(cx: &AgentContext) -> Self {
        let server = &cx.settings.name;
        Self {
            holder_key: format!("/teaseldrum/order-holder/{server}").into(),
            last_key: format!("/teaseldrum/order-last/{server}").into(),
            own: cx.incarnation.to_string().into(),
            held: None,
        }
    }

    /// Takes the lease or keeps it alive. Returns whether it is held.
    ///
    /// # Errors
    ///
    /// The store did not say.
    pub async fn hold(
        &mut self,
        cx: &AgentContext,
        store: &Store,
        guard: &mut SendGuard,
    ) -> Result<bool, StoreError> {
        let asked = cx.now();
        if let Some(lease) = self.held {
            if !store.keep_lease_alive(lease).await?.is_zero() {
                guard.record_lease(asked, TTL, true);
                return Ok(true);
            }
            self.held = None;
        }
        let lease = store.grant_lease(TTL).await?;
        let answer = store.txn(&self.build_claim(lease)).await?;
        if !answer.succeeded {
            return Ok(false);
        }
        let last = answer.reads.first().and_then(|read| read.first());
        let was_own = last.is_some_and(|pair| pair.value == self.own);
        self.held = Some(lease);
        guard.record_lease(asked, TTL, was_own);
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

    fn build_claim(&self, lease: LeaseId) -> Txn {
        let holder = Operation::Put(self.holder_key.clone(), self.own.clone(), Some(lease));
        Txn {
            compares: vec![Compare::Absent(self.holder_key.clone())],
            success: vec![
                Operation::Range(KeyRange::Key(self.last_key.clone())),
                holder,
                Operation::Put(self.last_key.clone(), self.own.clone(), None),
            ],
            failure: Vec::new(),
        }
    }
}
