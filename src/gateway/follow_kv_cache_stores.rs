//! Tracks which prompt parts the KV cache stores hold.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::sleep;

use super::context::GatewayContext;
use crate::ports::KvCacheStoreEvent;
use crate::ports::follow_kv_cache_store;

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

async fn follow_store(cx: Arc<GatewayContext>, address: SocketAddr) {
    let observe = |event| {
        let dispatcher = &mut cx.lock().dispatcher;
        match event {
            KvCacheStoreEvent::Changed(changes) => {
                dispatcher.observe_kv_cache_store(address, &changes, false);
            }
            KvCacheStoreEvent::Restarted => dispatcher.observe_kv_cache_store(address, &[], true),
            // The known parts are kept.
            KvCacheStoreEvent::Rejected => dispatcher.mark_kv_cache_store_unwatched(address),
            KvCacheStoreEvent::Unreachable => dispatcher.mark_kv_cache_store_unreachable(address),
        }
    };
    follow_kv_cache_store(&*cx.ports.kv_cache, address, observe).await;
}
