//! Measures of a demo run: hit rate, recomputed tokens, time to first token, the
//! slowest account and refusals within the rate.

use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::Value;
use serde_json::json;

use super::DeploymentSpec;

/// Upper bound of the histograms.
const MAX_TTFT_MICROS: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome of one request.
#[derive(Debug, Clone)]
pub enum Sample {
    /// The stream arrived completely.
    Served(Served),
    /// Refused with status 429 and this error code.
    Refused(String),
    /// Failed, with the reason.
    Failed(String),
}

/// Figures of a request whose stream arrived completely.
#[derive(Debug, Clone, Copy)]
pub struct Served {
    /// Time to the first event of the stream.
    pub ttft: Duration,
    /// Prompt tokens as reported by the engine.
    pub prompt_tokens: u64,
    /// Prompt tokens found in the cache, as reported by the engine.
    pub cached_tokens: u64,
    /// Prompt tokens that no earlier request of the account had.
    pub new_tokens: u64,
    /// Tokens of the response.
    pub output_tokens: u64,
}

/// Measures of a run, per account and over all accounts.
#[derive(Debug)]
pub struct Measures {
    name: &'static str,
    accounts: Vec<AccountMeasures>,
    all: AccountMeasures,
}

#[derive(Debug, Clone)]
struct AccountMeasures {
    name: &'static str,
    ttft_us: Histogram<u64>,
    served: u64,
    refused: u64,
    failed: u64,
    prompt_tokens: u64,
    cached_tokens: u64,
    recomputed_tokens: u64,
    output_tokens: u64,
}

impl Measures {
    /// Creates empty measures.
    pub fn new(deployment: &DeploymentSpec) -> Self {
        let accounts = deployment.accounts.iter();
        Self {
            name: deployment.name,
            accounts: accounts
                .map(|account| AccountMeasures::new(account.name))
                .collect(),
            all: AccountMeasures::new("all"),
        }
    }

    /// Records the outcome of a request of the account with this index.
    pub fn record(&mut self, account: usize, sample: &Sample) {
        self.accounts[account].record(sample);
        self.all.record(sample);
    }

    /// Returns the number of requests whose stream arrived completely.
    pub fn served(&self) -> u64 {
        self.all.served
    }

    /// Returns the number of requests that failed.
    pub fn failed(&self) -> u64 {
        self.all.failed
    }

    /// Returns the number of requests refused with status 429. In the demo every
    /// account stays within its rate, so none should be.
    pub fn refused(&self) -> u64 {
        self.all.refused
    }

    /// Returns the share of prompt tokens found in a cache, from 0 to 1.
    pub fn hit_rate(&self) -> f64 {
        ratio(self.all.cached_tokens, self.all.prompt_tokens)
    }

    /// Returns the share of prompt tokens, from 0 to 1, that were computed again
    /// although an earlier request of the account had them.
    pub fn recomputed(&self) -> f64 {
        ratio(self.all.recomputed_tokens, self.all.prompt_tokens)
    }

    /// Returns the measures over all accounts and of the slowest account.
    pub fn to_json(&self) -> Value {
        let slowest = self.find_slowest_account();
        json!({
            "deployment": self.name,
            "served": self.all.served,
            "failed": self.all.failed,
            "hit_rate": self.hit_rate(),
            "recomputed": self.recomputed(),
            "ttft_p50_ms": self.all.ttft_ms(0.50),
            "ttft_p95_ms": self.all.ttft_ms(0.95),
            "ttft_p99_ms": self.all.ttft_ms(0.99),
            "worst_account": slowest.name,
            "worst_account_ttft_p95_ms": slowest.ttft_ms(0.95),
            "refused_inside_rate": self.all.refused,
        })
    }

    /// Returns the account with the highest p95 time to first token.
    fn find_slowest_account(&self) -> &AccountMeasures {
        let served = self.accounts.iter().filter(|account| account.served > 0);
        served
            .max_by(|a, b| a.ttft_ms(0.95).total_cmp(&b.ttft_ms(0.95)))
            .unwrap_or(&self.all)
    }
}

impl AccountMeasures {
    fn new(name: &'static str) -> Self {
        let histogram = Histogram::new_with_max(MAX_TTFT_MICROS, SIGNIFICANT_DIGITS);
        Self {
            name,
            ttft_us: histogram.expect("valid bounds"),
            served: 0,
            refused: 0,
            failed: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            recomputed_tokens: 0,
            output_tokens: 0,
        }
    }

    fn record(&mut self, sample: &Sample) {
        let served = match sample {
            Sample::Served(served) => served,
            Sample::Refused(_) => {
                self.refused += 1;
                return;
            }
            Sample::Failed(_) => {
                self.failed += 1;
                return;
            }
        };
        let micros = u64::try_from(served.ttft.as_micros()).unwrap_or(u64::MAX);
        self.ttft_us.saturating_record(micros);
        self.served += 1;
        self.prompt_tokens += served.prompt_tokens;
        self.cached_tokens += served.cached_tokens;
        self.output_tokens += served.output_tokens;
        let computed = served.prompt_tokens.saturating_sub(served.cached_tokens);
        self.recomputed_tokens += computed.saturating_sub(served.new_tokens);
    }

    fn ttft_ms(&self, quantile: f64) -> f64 {
        let micros = self.ttft_us.value_at_quantile(quantile);
        (micros / 100) as f64 / 10.0
    }
}

impl fmt::Display for Measures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.name)?;
        writeln!(
            f,
            "  {:<12} {:>8} {:>8} {:>9} {:>12} {:>10} {:>10} {:>10}",
            "account",
            "answered",
            "failed",
            "hit rate",
            "recomputed",
            "TTFT p50",
            "TTFT p95",
            "TTFT p99"
        )?;
        for row in self.accounts.iter().chain([&self.all]) {
            writeln!(f, "  {row}")?;
        }
        let slowest = self.find_slowest_account();
        writeln!(
            f,
            "  worst served: {} (TTFT p95 {:.1} ms); refused inside their rate: {}",
            slowest.name,
            slowest.ttft_ms(0.95),
            self.all.refused
        )
    }
}

impl fmt::Display for AccountMeasures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<12} {:>8} {:>8} {:>8.1}% {:>11.1}% {:>7.1} ms {:>7.1} ms {:>7.1} ms",
            self.name,
            self.served,
            self.failed,
            100.0 * ratio(self.cached_tokens, self.prompt_tokens),
            100.0 * ratio(self.recomputed_tokens, self.prompt_tokens),
            self.ttft_ms(0.50),
            self.ttft_ms(0.95),
            self.ttft_ms(0.99)
        )
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        0.0
    } else {
        part as f64 / whole as f64
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn record_repeated_computation() {
        let mut measures = Measures::new(&DeploymentSpec::guild());
        let first = Served {
            ttft: Duration::from_millis(900),
            prompt_tokens: 1_000,
            cached_tokens: 0,
            new_tokens: 1_000,
            output_tokens: 4,
        };
        let second = Served {
            cached_tokens: 600,
            new_tokens: 100,
            ..first
        };
        measures.record(0, &Sample::Served(first));
        measures.record(1, &Sample::Served(second));
        assert_eq!(measures.hit_rate(), 0.3);
        assert_eq!(measures.recomputed(), 0.15);
    }

    #[test]
    fn find_slowest_account_by_p95() {
        let mut measures = Measures::new(&DeploymentSpec::guild());
        for (account, millis) in [(0, 10), (1, 90), (2, 20)] {
            let served = Served {
                ttft: Duration::from_millis(millis),
                prompt_tokens: 1,
                cached_tokens: 0,
                new_tokens: 0,
                output_tokens: 1,
            };
            measures.record(account, &Sample::Served(served));
        }
        assert_eq!(measures.find_slowest_account().name, "players");
    }
}
