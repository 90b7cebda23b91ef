//! Judges the orders to one worker by the rule ONE.

use std::time::Duration;

use crate::engine::Order;
use crate::record::Record;

/// Bounds of the sheet: `LeaseMs` and `ThawMs`.
const LEASE: Duration = Duration::from_millis(3_000);
const THAW: Duration = Duration::from_millis(300);

/// Returns the number of breaks. `healed_at` are the times at which links healed.
pub fn judge(record: &Record, worker: &str, orders: &[Order], healed_at: &[Duration]) -> usize {
    let counts = |order: &&Order| {
        !healed_at.iter().any(|at| order.at >= *at && order.at < *at + THAW)
    };
    let judged: Vec<&Order> = orders.iter().filter(counts).collect();
    let mut breaks = 0;
    for (index, order) in judged.iter().enumerate() {
        for before in &judged[..index] {
            if before.holder == order.holder {
                continue;
            }
            let problem = if before.fence == order.fence {
                "two holders with one fencing token"
            } else if before.fence > order.fence {
                "a lower fencing token after a higher one"
            } else if order.at.saturating_sub(before.at) < LEASE {
                "holders take turns within LeaseMs"
            } else {
                continue;
            };
            let gap = order.at.saturating_sub(before.at).as_millis();
            breaks += 1;
            record.say(&format!(
                "ONE broken at {worker}: {problem}, {gap} ms apart: {before:?} then {order:?}"
            ));
        }
    }
    breaks
}
