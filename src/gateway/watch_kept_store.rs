//! Follows what the store of kept KV cache holds.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::context::GatewayContext;
use crate::ports::PortError;

/// Longest wait of one read; reads that wait for less than 200 ms are dear.
const READ_WAIT: Duration = Duration::from_millis(1_000);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(400);

/// Pause after a read that was turned away: each counts as a probe.
const FULL_PAUSE: Duration = Duration::from_secs(5);

/// Least time between two reads, so that many events cost few reads.
const READ_PAUSE: Duration = Duration::from_millis(100);

/// Time between two looks at whether there is a store.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Follows the store for as long as the gateway runs.
pub async fn watch_kept_store(cx: Arc<GatewayContext>) {
    let mut epoch = 0;
    let mut next = 0;
    let mut is_lost = false;
    loop {
        let Some(store) = cx.lock().dispatcher.store() else {
            sleep(LOOK_INTERVAL).await;
            continue;
        };
        match cx.ports.kv_cache.read_changes(store, next, READ_WAIT).await {
            Ok(page) => {
                let is_new = page.epoch != epoch;
                if is_new || is_lost {
                    log::info!("kept-store: follows address={store} epoch={}", page.epoch);
                    is_lost = false;
                }
                if is_new && epoch != 0 && next > 0 {
                    // A restarted store holds nothing of before.
                    cx.lock().dispatcher.observe_store(&[], true);
                    (epoch, next) = (page.epoch, 0);
                    continue;
                }
                (epoch, next) = (page.epoch, page.next_sequence);
                cx.lock().dispatcher.observe_store(&page.changes, false);
                sleep(READ_PAUSE).await;
            }
            Err(PortError::Rejected(_)) => {
                // It serves only so many readers; what is known stays.
                cx.lock().dispatcher.note_store_unread();
                sleep(FULL_PAUSE).await;
            }
            Err(e) => {
                if !is_lost {
                    log::warn!("kept-store: lost address={store} reason=\"{e}\"");
                    is_lost = true;
                }
                cx.lock().dispatcher.note_store_lost();
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}
