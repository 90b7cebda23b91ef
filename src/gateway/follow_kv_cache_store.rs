//! Tracks which prompt parts the KV cache stores hold.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::context::GatewayContext;
use crate::ports::PortError;

/// Longest wait of one read; reads that wait for less than 200 ms are
/// expensive.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1_000);

/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// Delay after a rejected read; each one counts as a probe.
const REJECTED_DELAY: Duration = Duration::from_secs(5);

/// Minimum time between two reads, so that many events need few reads.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks for added and removed stores.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Follows each configured store that no collector follows, for as long as the
/// gateway runs.
pub async fn follow_kv_cache_stores(cx: Arc<GatewayContext>) {
    let mut followers: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
    loop {
        let mut stores = cx.lock().dispatcher.list_kv_cache_stores();
        stores.retain(|store| !cx.collected_stores.borrow().contains(store));
        followers.retain(|store, follower| {
            let is_needed = stores.contains(store);
            if !is_needed {
                follower.abort();
            }
            is_needed
        });
        for store in stores {
            followers
                .entry(store)
                .or_insert_with(|| tokio::spawn(follow_store(Arc::clone(&cx), store)));
        }
        sleep(STORE_POLL_INTERVAL).await;
    }
}

/// Reads the changes of one store.
async fn follow_store(cx: Arc<GatewayContext>, address: SocketAddr) {
    let mut epoch = 0;
    let mut next_sequence = 0;
    let mut is_lost = false;
    loop {
        match cx
            .ports
            .kv_cache
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
                    // A restarted store holds none of its earlier parts.
                    cx.lock()
                        .dispatcher
                        .observe_kv_cache_store(address, &[], true);
                    (epoch, next_sequence) = (update.epoch, 0);
                    continue;
                }
                (epoch, next_sequence) = (update.epoch, update.next_sequence);
                cx.lock()
                    .dispatcher
                    .observe_kv_cache_store(address, &update.changes, false);
                sleep(MIN_READ_INTERVAL).await;
            }
            Err(PortError::Rejected(_)) => {
                // The store limits the number of readers. The known parts are
                // kept.
                cx.lock().dispatcher.mark_kv_cache_store_unwatched(address);
                sleep(REJECTED_DELAY).await;
            }
            Err(e) => {
                if !is_lost {
                    log::warn!("kept-store: lost address={address} reason=\"{e}\"");
                    is_lost = true;
                }
                cx.lock()
                    .dispatcher
                    .mark_kv_cache_store_unreachable(address);
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
