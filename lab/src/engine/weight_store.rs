//! Stand-in for the store from which engines load weights, with limited total
//! bandwidth.

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::sleep;

/// Weight store that several engines share. Beyond `full_speed_loads` concurrent
/// loads, each load takes proportionally longer. Clones share the same store.
#[derive(Debug, Clone)]
pub struct WeightStore {
    load_time: Duration,
    full_speed_loads: u32,
    loads: Arc<Loads>,
}

#[derive(Debug, Default)]
struct Loads {
    running: AtomicU32,
    peak: AtomicU32,
}

impl WeightStore {
    /// Creates a store whose loads take `load_time` while at most
    /// `full_speed_loads` run at once.
    pub fn new(load_time: Duration, full_speed_loads: u32) -> Self {
        Self {
            load_time,
            full_speed_loads: full_speed_loads.max(1),
            loads: Arc::default(),
        }
    }

    /// Returns the highest number of loads that ran at the same time.
    pub fn peak_loads(&self) -> u32 {
        self.loads.peak.load(Ordering::Acquire)
    }

    /// Waits as long as a load takes with the loads that run when it starts.
    pub async fn load(&self) {
        let running = self.loads.running.fetch_add(1, Ordering::AcqRel) + 1;
        self.loads.peak.fetch_max(running, Ordering::AcqRel);
        sleep(self.load_time * running.max(self.full_speed_loads) / self.full_speed_loads).await;
        self.loads.running.fetch_sub(1, Ordering::AcqRel);
    }
}
