//! Load of one server, as an entry estimates it.

use std::collections::VecDeque;
use std::time::Duration;

use super::CostModel;
use crate::core::LoadReport;
use crate::core::MonotonicTime;

/// Maximum number of requests remembered that the server has yet to report.
const MAX_UNREPORTED: usize = 64;

/// Load of one server: its latest report, which lags behind, plus the requests
/// of this entry that the report cannot include yet.
#[derive(Debug, Default)]
pub struct ServerLoad {
    reported: LoadReport,
    reported_at: MonotonicTime,
    /// Requests sent that no report can include yet, oldest first.
    unreported: VecDeque<SentRequest>,
    in_flight: u32,
}

#[derive(Debug, Clone, Copy)]
struct SentRequest {
    sent_at: MonotonicTime,
    /// Prompt tokens to be computed.
    tokens: u32,
}

impl ServerLoad {
    /// Returns the number of this entry's requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the heap memory used by the load, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.unreported.capacity() * size_of::<SentRequest>()
    }

    /// Records a request sent now, with the prompt tokens to be computed.
    pub fn record_sent(&mut self, tokens: u32, now: MonotonicTime) {
        self.in_flight += 1;
        if self.unreported.len() == MAX_UNREPORTED {
            self.unreported.pop_front();
        }
        self.unreported.push_back(SentRequest {
            sent_at: now,
            tokens,
        });
    }

    /// Records the end of a request.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Applies a report that arrived now. It is taken to include the requests
    /// sent at least `lag` ago.
    pub fn apply_report(&mut self, report: LoadReport, lag: Duration, now: MonotonicTime) {
        self.reported = report;
        self.reported_at = now;
        self.unreported
            .retain(|request| now.since(request.sent_at) < lag);
    }

    /// Predicts the seconds that a request sent now waits until the engine
    /// begins its prompt.
    pub fn predict_wait(&self, costs: &CostModel, now: MonotonicTime) -> f64 {
        let rate = costs.prefill_tokens_per_second;
        let reported = self.reported.queued_prompt_tokens as f64 / rate;
        let elapsed = now.since(self.reported_at).as_secs_f64();
        let unreported_tokens: f64 = self
            .unreported
            .iter()
            .map(|request| f64::from(request.tokens))
            .sum();
        let oldest = self.unreported.front();
        let unreported_elapsed =
            oldest.map_or(0.0, |request| now.since(request.sent_at).as_secs_f64());
        let reported_left = (reported - elapsed).max(0.0);
        let spare = (unreported_elapsed - reported).max(0.0);
        let unreported_left = (unreported_tokens / rate - spare).max(0.0);
        let running = self.reported.running.max(self.in_flight);
        reported_left
            + unreported_left
            + f64::from(running) * costs.wait_per_running_request.as_secs_f64()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LAG: Duration = Duration::from_millis(300);

    fn make_costs() -> CostModel {
        CostModel {
            prefill_tokens_per_second: 8_000.0,
            ..CostModel::default()
        }
    }

    fn at(millis: u64) -> MonotonicTime {
        MonotonicTime::ZERO + Duration::from_millis(millis)
    }

    fn report(tokens: u64) -> LoadReport {
        LoadReport {
            queued_prompt_tokens: tokens,
            ..LoadReport::default()
        }
    }

    #[test]
    fn predict_wait_adds_unreported_requests() {
        let costs = make_costs();
        let mut load = ServerLoad::default();
        load.apply_report(report(0), LAG, at(1_000));
        load.record_sent(16_000, at(1_000));
        assert!(load.predict_wait(&costs, at(1_000)) >= 2.0);
    }

    #[test]
    fn apply_report_drops_reported_requests() {
        let costs = make_costs();
        let mut load = ServerLoad::default();
        load.record_sent(16_000, at(1_000));
        load.apply_report(report(0), LAG, at(2_000));
        assert!(load.predict_wait(&costs, at(2_000)) < 0.1);
    }

    #[test]
    fn apply_report_keeps_requests_within_lag() {
        let costs = make_costs();
        let mut load = ServerLoad::default();
        load.record_sent(16_000, at(1_000));
        load.apply_report(report(0), LAG, at(1_100));
        assert!(load.predict_wait(&costs, at(1_100)) > 1.0);
    }

    #[test]
    fn predict_wait_drains_old_report() {
        let costs = make_costs();
        let mut load = ServerLoad::default();
        load.apply_report(report(16_000), LAG, at(0));
        assert!(load.predict_wait(&costs, at(0)) >= 2.0);
        assert!(load.predict_wait(&costs, at(5_000)) < 0.1);
    }
}
