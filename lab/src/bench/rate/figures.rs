//! Figures of a run of the rate limiter simulation.

use serde_json::Value;
use serde_json::json;

/// Counts over the measured time of a run.
#[derive(Debug, Clone, Default)]
pub struct Figures {
    /// Requests refused although the rule allowed them.
    pub refused_in_rate: u64,
    /// Admitted requests, and those refused although the rule allowed them.
    pub in_rate_requests: u64,
    /// Requests refused because the rule did not allow them.
    pub refused_beyond_rate: u64,
    /// Tokens admitted beyond the rule, also during the warm-up.
    pub over_limit_tokens: f64,
    /// Bytes that entries sent to each other, each counted once.
    pub control_bytes: u64,
    /// Calls between entries.
    pub control_calls: u64,
    /// Bytes that the entry with the most traffic sent and received.
    pub busiest_entry_bytes: u64,
    /// Calls to the store. Slot renewals count as their mean, so this need not
    /// be whole.
    pub store_calls: f64,
    /// Wait of each admitted request, in milliseconds.
    pub waits_ms: Vec<f64>,
}

impl Figures {
    /// Returns the figures as one JSON object, for a measured time in seconds
    /// and a number of entries.
    pub fn to_json(&self, seconds: f64, entries: usize) -> Value {
        let per_entry = |count: u64| count as f64 / seconds / entries as f64;
        let mut waits = self.waits_ms.clone();
        waits.sort_by(f64::total_cmp);
        let wait = |part: f64| {
            let index = (waits.len() as f64 * part) as usize;
            waits.get(index).copied().unwrap_or(0.0)
        };
        let refused = self.refused_in_rate as f64;
        json!({
            "over_limit_tokens": self.over_limit_tokens.ceil(),
            "refused_in_rate": self.refused_in_rate,
            "in_rate_requests": self.in_rate_requests,
            "refused_in_rate_part": refused / (self.in_rate_requests.max(1) as f64),
            "refused_beyond_rate": self.refused_beyond_rate,
            // Each byte is sent by one entry and received by another.
            "control_bytes_per_second_per_entry": 2.0 * per_entry(self.control_bytes),
            "control_bytes_per_second_busiest_entry": self.busiest_entry_bytes as f64 / seconds,
            "control_calls_per_second_per_entry": per_entry(self.control_calls),
            "store_calls_per_second": self.store_calls / seconds,
            "wait_ms_p50": wait(0.50),
            "wait_ms_p95": wait(0.95),
            "wait_ms_p99": wait(0.99),
        })
    }
}
