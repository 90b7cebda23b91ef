//! Load of one server as an entry sees it.

use std::collections::VecDeque;
use std::time::Duration;

use super::CostModel;
use crate::core::LoadReport;
use crate::core::MonotonicTime;

/// Own requests remembered until the server reports them.
const MAX_RECENT: usize = 64;

/// Load of one server: the latest report, which lags, corrected by the own
/// requests that it cannot hold yet.
#[derive(Debug, Default)]
pub struct ServerLoad {
    reported: LoadReport,
    reported_at: MonotonicTime,
    recent: VecDeque<SentWork>,
    in_flight: u32,
}

#[derive(Debug, Clone, Copy)]
struct SentWork {
    sent_at: MonotonicTime,
    tokens: u32,
}

impl ServerLoad {
    /// Returns the own requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the memory beside the load itself, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.recent.capacity() * size_of::<SentWork>()
    }

    /// Takes note of a request sent, with the prompt tokens to be computed.
    pub fn record_sent(&mut self, tokens: u32, now: MonotonicTime) {
        self.in_flight += 1;
        if self.recent.len() == MAX_RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(SentWork {
            sent_at: now,
            tokens,
        });
    }

    /// Takes note of the end of a request.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes note of a report that came now.
    pub fn apply_report(&mut self, report: LoadReport, lag: Duration, now: MonotonicTime) {
        self.reported = report;
        self.reported_at = now;
        self.recent.retain(|work| now.since(work.sent_at) < lag);
    }

    /// Predicts how long a request sent now waits before its prompt is begun.
    pub fn predict_wait(&self, rates: &CostModel, now: MonotonicTime) -> f64 {
        let rate = rates.prefill_tokens_per_second;
        let reported = self.reported.queued_prompt_tokens as f64 / rate;
        let passed = now.since(self.reported_at).as_secs_f64();
        let own: f64 = self.recent.iter().map(|work| f64::from(work.tokens)).sum();
        let oldest = self.recent.front();
        let own_passed = oldest.map_or(0.0, |work| now.since(work.sent_at).as_secs_f64());
        let reported_left = (reported - passed).max(0.0);
        let spare = (own_passed - reported).max(0.0);
        let own_left = (own / rate - spare).max(0.0);
        let running = self.reported.running.max(self.in_flight);
        reported_left + own_left + f64::from(running) * rates.wait_per_running.as_secs_f64()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const LAG: Duration = Duration::from_millis(300);

    fn make_rates() -> CostModel {
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
    fn predict_wait_adds_own_requests_not_reported_yet() {
        let rates = make_rates();
        let mut load = ServerLoad::default();
        load.apply_report(report(0), LAG, at(1_000));
        load.record_sent(16_000, at(1_000));
        assert!(load.predict_wait(&rates, at(1_000)) >= 2.0);
    }

    #[test]
    fn apply_report_drops_requests_that_the_report_holds() {
        let rates = make_rates();
        let mut load = ServerLoad::default();
        load.record_sent(16_000, at(1_000));
        load.apply_report(report(0), LAG, at(2_000));
        assert!(load.predict_wait(&rates, at(2_000)) < 0.1);
    }

    #[test]
    fn apply_report_keeps_requests_within_lag() {
        let rates = make_rates();
        let mut load = ServerLoad::default();
        load.record_sent(16_000, at(1_000));
        load.apply_report(report(0), LAG, at(1_100));
        assert!(load.predict_wait(&rates, at(1_100)) > 1.0);
    }

    #[test]
    fn predict_wait_old_report_fades() {
        let rates = make_rates();
        let mut load = ServerLoad::default();
        load.apply_report(report(16_000), LAG, at(0));
        assert!(load.predict_wait(&rates, at(0)) >= 2.0);
        assert!(load.predict_wait(&rates, at(5_000)) < 0.1);
    }
}
