//! Metrics of an entry.

use std::fmt;
use std::time::Duration;

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

use super::PREFIX;
use super::RequestLabels;
use super::encode_registry;
use crate::core::Outcome;
use crate::core::Revision;

/// Upper bounds of the time-to-first-token histogram's buckets, in seconds.
const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.8, 9.6, 30.0,
];

/// Metrics of an entry.
pub struct EntryMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    first_token_time: Histogram,
    prompt_tokens: Counter,
    cached_tokens: Counter,
    rules_revision: Gauge,
}

impl EntryMetrics {
    /// Registers the metrics, all at zero.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            requests: Family::default(),
            first_token_time: Histogram::new(FIRST_TOKEN_BUCKETS_S),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            rules_revision: Gauge::default(),
        };
        metrics.register()
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, code: &'static str, outcome: Outcome) {
        let outcome = outcome.as_str();
        let labels = RequestLabels { code, outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Records the time from a request's head to the first event of its
    /// streamed response.
    pub fn observe_first_token(&self, elapsed: Duration) {
        self.first_token_time.observe(elapsed.as_secs_f64());
    }

    /// Adds the prompt tokens of one request as the engine reported them.
    /// `cached_tokens` are those of them that it had cached.
    pub fn count_prompt_tokens(&self, prompt_tokens: u64, cached_tokens: u64) {
        self.prompt_tokens.inc_by(prompt_tokens);
        self.cached_tokens.inc_by(cached_tokens);
    }

    /// Encodes all metrics in the OpenMetrics text format.
    pub fn encode(&self, rules_revision: Revision) -> String {
        let revision = i64::try_from(rules_revision.0).unwrap_or(i64::MAX);
        self.rules_revision.set(revision);
        encode_registry(&self.registry)
    }

    fn register(mut self) -> Self {
        let registry = &mut self.registry;
        let requests = self.requests.clone();
        registry.register(
            "answers",
            "Ended requests by response code and outcome",
            requests,
        );
        let first_token_time = self.first_token_time.clone();
        registry.register(
            "first_token_seconds",
            "Time from a request's head to the first event of its response",
            first_token_time,
        );
        let prompt_tokens = self.prompt_tokens.clone();
        registry.register(
            "prompt_tokens",
            "Prompt tokens that engines reported for requests of client accounts",
            prompt_tokens,
        );
        let cached_tokens = self.cached_tokens.clone();
        registry.register(
            "cached_prompt_tokens",
            "Prompt tokens that engines found in their prefix caches",
            cached_tokens,
        );
        let rules_revision = self.rules_revision.clone();
        registry.register(
            "rules_revision",
            "Revision of the rules in force",
            rules_revision,
        );
        self
    }
}

impl Default for EntryMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Debug for EntryMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EntryMetrics").finish_non_exhaustive()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn encode_counted_metrics() {
        let metrics = EntryMetrics::new();
        metrics.count_request("complete", Outcome::Ran);
        metrics.observe_first_token(Duration::from_millis(30));
        metrics.count_prompt_tokens(100, 60);
        let text = metrics.encode(Revision(7));
        let lines = [
            r#"teaseldrum_answers_total{code="complete",outcome="ran"} 1"#,
            r#"teaseldrum_first_token_seconds_bucket{le="0.05"} 1"#,
            "teaseldrum_prompt_tokens_total 100",
            "teaseldrum_cached_prompt_tokens_total 60",
            "teaseldrum_rules_revision 7",
        ];
        for line in lines {
            assert!(text.contains(line), "{line} not in\n{text}");
        }
    }
}
