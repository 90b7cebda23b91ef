//! Figures of an entry.

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

/// Upper bounds of the buckets of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKETS_S: [f64; 12] = [
    0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.2, 1.6, 2.4, 4.8, 9.6, 30.0,
];

/// Figures of an entry.
pub struct EntryMetrics {
    registry: Registry,
    answers: Family<RequestLabels, Counter>,
    first_token: Histogram,
    prompt_tokens: Counter,
    cached_tokens: Counter,
    revision: Gauge,
}

impl EntryMetrics {
    /// Creates figures of which nothing has been counted.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix(PREFIX),
            answers: Family::default(),
            first_token: Histogram::new(FIRST_TOKEN_BUCKETS_S),
            prompt_tokens: Counter::default(),
            cached_tokens: Counter::default(),
            revision: Gauge::default(),
        };
        metrics.register()
    }

    /// Counts a request that has ended.
    pub fn count_request(&self, code: &'static str, outcome: Outcome) {
        let outcome = outcome.as_str();
        let labels = RequestLabels { code, outcome };
        self.answers.get_or_create(&labels).inc();
    }

    /// Counts the first event of a streamed answer.
    pub fn observe_first_token(&self, since_request: Duration) {
        self.first_token.observe(since_request.as_secs_f64());
    }

    /// Counts prompt tokens of an answer, and those among them that the engine
    /// had cached.
    pub fn count_prompt_tokens(&self, prompt_tokens: u64, cached_tokens: u64) {
        self.prompt_tokens.inc_by(prompt_tokens);
        self.cached_tokens.inc_by(cached_tokens);
    }

    /// Writes the figures in the OpenMetrics text format.
    pub fn encode(&self, revision: Revision) -> String {
        let revision = i64::try_from(revision.0).unwrap_or(i64::MAX);
        self.revision.set(revision);
        encode_registry(&self.registry)
    }

    fn register(mut self) -> Self {
        let registry = &mut self.registry;
        let answers = self.answers.clone();
        registry.register("answers", "Requests by code and outcome", answers);
        let first_token = self.first_token.clone();
        registry.register(
            "first_token_seconds",
            "Time from a request's head to the first event of its answer",
            first_token,
        );
        let prompt_tokens = self.prompt_tokens.clone();
        registry.register(
            "prompt_tokens",
            "Prompt tokens that engines reported for requests of accounts",
            prompt_tokens,
        );
        let cached_tokens = self.cached_tokens.clone();
        registry.register(
            "cached_prompt_tokens",
            "Prompt tokens that engines had cached",
            cached_tokens,
        );
        let revision = self.revision.clone();
        registry.register("rules_revision", "Rules revision in force", revision);
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
    fn encode_counted_figures() {
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
