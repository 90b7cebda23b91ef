//! How orders are given to a backend server.

use std::time::Duration;

use super::Section;

/// How orders are given to a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// The server refuses orders with an old fencing number.
    pub fenced: bool,
    /// Longest time after which an order can still take effect.
    pub max_order_time: Duration,
    /// Loads that the weight store bears at once.
    pub max_weight_loads: usize,
    /// Time between two reads of the orders in the store.
    pub poll_interval: Duration,
    /// Time between two comparisons of orders and state.
    pub reconcile_interval: Duration,
}

impl OrderSettings {
    /// Reads the section.
    pub fn read(section: &mut Section) -> Self {
        let fenced = section.take("fenced", false);
        let max_weight_loads = section.take_number("weight_loads", 2, 1..=1_024);
        let mut millis = |name: &str, default: u64| {
            Duration::from_millis(section.take_number(name, default, 1..=3_600_000))
        };
        Self {
            fenced,
            max_order_time: millis("max_order_time_ms", 30_000),
            poll_interval: millis("poll_ms", 5_000),
            max_weight_loads: usize::try_from(max_weight_loads).unwrap_or(usize::MAX),
            reconcile_interval: millis("interval_ms", 1_000),
        }
    }
}
