//! Follows the prompt parts that a KV cache store holds.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::sleep;

use super::KvCacheFeed;
use super::PortError;
use crate::core::fleet::CachedPartChange;

/// Longest wait of one read; reads that wait for less than 200 ms are
/// expensive.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Delay after a rejected read; each one counts as a probe.
const REJECTED_DELAY: Duration = Duration::from_secs(5);

/// Minimum time between two reads, so that many events need few reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// What a read of a KV cache store has shown.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KvCacheStoreEvent {
    /// The store has added or removed parts.
    Changed(Vec<CachedPartChange>),
    /// The store has restarted and holds none of its earlier parts.
    Restarted,
    /// The store limits the number of readers and rejected this one.
    Rejected,
    /// The store does not answer.
    Unreachable,
}

/// Reads the changes of the store at `address` for as long as the returned future
/// is polled, and passes what each read shows to `observe`.
pub async fn follow_kv_cache_store(
    feed: &dyn KvCacheFeed,
    address: SocketAddr,
    observe: impl Fn(KvCacheStoreEvent),
) {
    let mut epoch = 0;
    let mut next_sequence = 0;
    let mut is_lost = false;
    loop {
        match feed
            .read_changes(address, next_sequence, LONG_POLL_WAIT)
            .await
        {
            Ok(update) => {
                let is_new_epoch = update.epoch != epoch;
                if is_new_epoch || is_lost {
                    log::info!(
                        "kept-store: following address={address} epoch={}",
                        update.epoch
                    );
                    is_lost = false;
                }
                if is_new_epoch && epoch != 0 && next_sequence > 0 {
                    observe(KvCacheStoreEvent::Restarted);
                    (epoch, next_sequence) = (update.epoch, 0);
                    continue;
                }
                (epoch, next_sequence) = (update.epoch, update.next_sequence);
                observe(KvCacheStoreEvent::Changed(update.changes));
                sleep(MIN_READ_INTERVAL).await;
            }
            Err(PortError::Rejected(_)) => {
                observe(KvCacheStoreEvent::Rejected);
                sleep(REJECTED_DELAY).await;
            }
            Err(e) => {
                if !is_lost {
                    log::warn!("kept-store: lost address={address} reason=\"{e}\"");
                    is_lost = true;
                }
                observe(KvCacheStoreEvent::Unreachable);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
