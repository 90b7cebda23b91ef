//! A place among the few that load weights at once.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;
use tokio::time::timeout;

use super::AgentContext;
use crate::registry::Change;
use crate::registry::KeyRange;
use crate::registry::KeyValue;
use crate::registry::LeaseId;
use crate::registry::Store;
use crate::registry::StoreError;

const QUEUE_PREFIX: &str = "/teaseldrum/weight-queue/";

/// Time after which the place of an agent that died or was paused is free.
const TTL: Duration = Duration::from_secs(30);

const RETRY_WAIT: Duration = Duration::from_millis(200);

/// Time after which a waiting agent looks anew and keeps its lease alive.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A place in the queue for loading weights. The first few by creation
/// revision load; each of the others waits for one ahead of it to go, so that
/// one end of a load wakes one agent. The method is the usual semaphore of
/// etcd.
#[derive(Debug)]
pub struct WeightSlot {
    store: Store,
    lease: LeaseId,
}

impl WeightSlot {
    /// Queues and waits until the agent may load.
    ///
    /// # Errors
    ///
    /// The store did not take the place.
    pub async fn acquire(cx: &AgentContext, store: &Store) -> Result<Self, StoreError> {
        let key: Bytes = format!("{QUEUE_PREFIX}{}", cx.settings.name).into();
        let lease = store.grant_lease(TTL).await?;
        let slot = Self {
            store: store.clone(),
            lease,
        };
        store.put(key.clone(), Bytes::new(), Some(lease)).await?;
        loop {
            match slot
                .find_blocker(&key, cx.settings.orders.weight_loads)
                .await
            {
                Ok(None) => return Ok(slot),
                Ok(Some((revision, blocker))) => slot.wait_for(blocker, revision).await,
                Err(e) => {
                    log::warn!("agent: Weight queue not read: {e}.");
                    sleep(RETRY_WAIT).await;
                }
            }
            if store.keep_lease_alive(lease).await?.is_zero() {
                return Err(StoreError::NotReached("place in the queue lapsed".into()));
            }
        }
    }

    /// Frees the place.
    pub async fn release(self) {
        if let Err(e) = self.store.revoke_lease(self.lease).await {
            log::warn!("agent: Weight queue not left: {e}.");
        }
    }

    /// Returns the place that must go before this one may load, with the
    /// store revision at which it was there.
    async fn find_blocker(
        &self,
        key: &Bytes,
        limit: usize,
    ) -> Result<Option<(i64, KeyValue)>, StoreError> {
        let range = KeyRange::Prefix(Bytes::from_static(QUEUE_PREFIX.as_bytes()));
        let (revision, mut queue) = self.store.range_at_revision(&range).await?;
        queue.sort_by_key(|place| place.create_revision);
        let own = queue.iter().position(|place| place.key == *key);
        let own = own.ok_or_else(|| StoreError::NotReached("no place in the queue".into()))?;
        let blocker = own.checked_sub(limit);
        Ok(blocker.map(|index| (revision, queue.swap_remove(index))))
    }

    async fn wait_for(&self, blocker: KeyValue, revision: i64) {
        let range = KeyRange::Key(blocker.key);
        let watched = async {
            let mut watch = self.store.watch(&range, revision + 1).await.ok()?;
            while let Ok(change) = watch.next().await {
                if matches!(change, Change::Deleted(..)) {
                    return Some(());
                }
            }
            None
        };
        if timeout(MAX_WAIT, watched).await == Ok(None) {
            sleep(RETRY_WAIT).await;
        }
    }
}
