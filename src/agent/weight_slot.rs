//! Semaphore in the store that limits how many agents load weights simultaneously.

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

/// Time after which the slot of an agent that died or was paused is free.
const LEASE_TTL: Duration = Duration::from_secs(30);

const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Time after which a waiting agent renews its lease and reads the queue again.
const MAX_WATCH_TIME: Duration = Duration::from_secs(5);

/// Slot for loading weights, kept as an entry in a queue in the store. The
/// first `weight_loads` entries by creation revision may load. Each of the
/// others watches one entry ahead of it, so that the end of one load wakes one
/// agent. This is the usual etcd semaphore.
#[derive(Debug)]
pub struct WeightSlot {
    store: Store,
    lease: LeaseId,
}

impl WeightSlot {
    /// Joins the queue and waits until the agent may load weights.
    ///
    /// # Errors
    ///
    /// The store did not accept the queue entry, or its lease expired or could
    /// not be renewed.
    pub async fn acquire(cx: &AgentContext, store: &Store) -> Result<Self, StoreError> {
        let key: Bytes = format!("{QUEUE_PREFIX}{}", cx.settings.name).into();
        let lease = store.grant_lease(LEASE_TTL).await?;
        let slot = Self {
            store: store.clone(),
            lease,
        };
        store.put(key.clone(), Bytes::new(), Some(lease)).await?;
        loop {
            match slot
                .find_blocker(&key, cx.settings.orders.max_weight_loads)
                .await
            {
                Ok(None) => return Ok(slot),
                Ok(Some((revision, blocker))) => slot.wait_for_release(blocker, revision).await,
                Err(e) => {
                    log::warn!("agent: Weight queue not read: {e}.");
                    sleep(RETRY_DELAY).await;
                }
            }
            if store.keep_lease_alive(lease).await?.is_zero() {
                return Err(StoreError::NotReached(
                    "lease of the queue entry expired".into(),
                ));
            }
        }
    }

    /// Removes the queue entry, which lets the next agent load. If the store
    /// fails, the entry expires after [`LEASE_TTL`].
    pub async fn release(self) {
        if let Err(e) = self.store.revoke_lease(self.lease).await {
            log::warn!("agent: Weight slot not released: {e}.");
        }
    }

    /// Returns the queue entry that must be deleted before this agent may load,
    /// with the store revision at which it was read; `None` if it may load now.
    async fn find_blocker(
        &self,
        key: &Bytes,
        max_loads: usize,
    ) -> Result<Option<(i64, KeyValue)>, StoreError> {
        let range = KeyRange::Prefix(Bytes::from_static(QUEUE_PREFIX.as_bytes()));
        let (revision, mut queue) = self.store.range_at_revision(&range).await?;
        queue.sort_by_key(|entry| entry.create_revision);
        let own_index = queue.iter().position(|entry| entry.key == *key);
        let own_index =
            own_index.ok_or_else(|| StoreError::NotReached("no entry in the queue".into()))?;
        let blocker = own_index.checked_sub(max_loads);
        Ok(blocker.map(|index| (revision, queue.swap_remove(index))))
    }

    /// Waits until the entry is deleted, at most for [`MAX_WATCH_TIME`]. If the
    /// watch fails, waits for [`RETRY_DELAY`] instead.
    async fn wait_for_release(&self, blocker: KeyValue, revision: i64) {
        let range = KeyRange::Key(blocker.key);
        let deletion = async {
            let mut watch = self.store.watch(&range, revision + 1).await.ok()?;
            while let Ok(change) = watch.next().await {
                if matches!(change, Change::Deleted(..)) {
                    return Some(());
                }
            }
            None
        };
        if timeout(MAX_WATCH_TIME, deletion).await == Ok(None) {
            sleep(RETRY_DELAY).await;
        }
    }
}
