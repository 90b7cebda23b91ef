//! Settings for giving orders to a backend server: fencing, polling and the
//! limit on simultaneous weight loads.

use std::time::Duration;

use super::Section;

/// How an agent gives orders to its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderSettings {
    /// Whether the server rejects orders with an outdated fencing token.
    pub server_checks_fencing: bool,
    /// Longest time from sending an order until it can still take effect. An
    /// agent whose server does not check fencing tokens waits this long for
    /// orders of an earlier agent.
    pub max_order_time: Duration,
    /// Servers that may load weights from the weight store at the same time.
    pub max_weight_loads: usize,
    /// Interval at which the agent reads the orders from the store.
    pub poll_interval: Duration,
    /// Interval at which the agent compares the orders with the server's state.
    pub reconcile_interval: Duration,
}

impl OrderSettings {
    /// Reads the section `orders`.
    pub fn read(section: &mut Section) -> Self {
        let server_checks_fencing = section.take("fenced", false);
        let max_weight_loads = section.take_number("weight_loads", 2, 1..=1_024);
        let mut millis = |name: &str, default: u64| {
            Duration::from_millis(section.take_number(name, default, 1..=3_600_000))
        };
        Self {
            server_checks_fencing,
            max_order_time: millis("max_order_time_ms", 30_000),
            poll_interval: millis("poll_ms", 5_000),
            max_weight_loads: usize::try_from(max_weight_loads).unwrap_or(usize::MAX),
            reconcile_interval: millis("interval_ms", 1_000),
        }
    }
}
