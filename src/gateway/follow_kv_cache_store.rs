//! Tracks which prompt parts the KV cache store holds.

use std::sync::Arc;
use std::time::Duration;

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

/// Interval between checks whether a store is configured.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Reads the changes of the configured store for as long as the gateway runs.
pub async fn follow_kv_cache_store(cx: Arc<GatewayContext>) {
    let mut epoch = 0;
    let mut next_sequence = 0;
    let mut is_lost = false;
    loop {
        let Some(address) = cx.lock().dispatcher.kv_cache_store() else {
            sleep(STORE_POLL_INTERVAL).await;
            continue;
        };
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
                    cx.lock().dispatcher.observe_kv_cache_store(&[], true);
                    (epoch, next_sequence) = (update.epoch, 0);
                    continue;
                }
                (epoch, next_sequence) = (update.epoch, update.next_sequence);
                cx.lock()
                    .dispatcher
                    .observe_kv_cache_store(&update.changes, false);
                sleep(MIN_READ_INTERVAL).await;
            }
            Err(PortError::Rejected(_)) => {
                // The store limits the number of readers. The known parts are
                // kept.
                cx.lock().dispatcher.mark_kv_cache_store_unwatched();
                sleep(REJECTED_DELAY).await;
            }
            Err(e) => {
                if !is_lost {
                    log::warn!("kept-store: lost address={address} reason=\"{e}\"");
                    is_lost = true;
                }
                cx.lock().dispatcher.mark_kv_cache_store_unreachable();
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
