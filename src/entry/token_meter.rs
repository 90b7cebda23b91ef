//! Charges a request to its account by an estimate of its tokens, and settles
//! the charge to the usage that the engine reports.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde_json::Value;

use super::EntryContext;
use super::ErrorCode;
use super::ErrorResponse;
use crate::core::AccountName;
use crate::core::limit::AdmissionDecision;
use crate::core::limit::Charge;

/// Bytes of request body that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;

/// Size up to which the body of an unstreamed response is kept to read its
/// usage.
const MAX_BUFFERED_BODY_BYTES: usize = 1024 * 1024;

/// Charge of a running request to its account. Settled when the engine reports
/// the usage; without such a report the estimate stays charged.
#[derive(Debug)]
pub struct TokenMeter {
    cx: Arc<EntryContext>,
    charge: Charge,
    buffered_body: BytesMut,
    prompt: PromptUsage,
}

/// The part of an engine's response or stream event that reports usage.
#[derive(Debug, Deserialize)]
struct UsageReport {
    usage: Option<Usage>,
}

#[derive(Debug, Deserialize)]
struct Usage {
    prompt_tokens: Option<u64>,
    completion_tokens: Option<u64>,
    total_tokens: Option<u64>,
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Debug, Deserialize)]
struct PromptDetails {
    cached_tokens: Option<u64>,
}

/// Prompt tokens by the latest report, and how many of them the engine took
/// from its cache.
#[derive(Debug, Clone, Copy, Default)]
struct PromptUsage {
    tokens: u64,
    cached: u64,
}

impl TokenMeter {
    /// Waits until the account's rate limit admits a request of `tokens`, and
    /// charges them.
    ///
    /// # Errors
    ///
    /// The account has used up its rate, or `tokens` is more than its burst.
    pub async fn admit(
        cx: &Arc<EntryContext>,
        account: &AccountName,
        tokens: u64,
    ) -> Result<Self, ErrorResponse> {
        match cx.limiter.admit(account, tokens).await {
            AdmissionDecision::Admitted(charge) => Ok(Self {
                cx: Arc::clone(cx),
                charge,
                buffered_body: BytesMut::new(),
                prompt: PromptUsage::default(),
            }),
            AdmissionDecision::Refused(wait) => {
                let message = "The account has used up its rate.";
                Err(ErrorResponse::not_run(ErrorCode::RateLimited, message).with_retry_after(wait))
            }
            AdmissionDecision::TooLarge => {
                let message = format!("The request needs {tokens} tokens, more than the burst.");
                Err(ErrorResponse::not_run(ErrorCode::RateLimited, message))
            }
        }
    }

    /// Gives the charge back, for a request that certainly did not run.
    pub fn refund(self) {
        self.cx.limiter.settle(self.charge, 0);
    }

    /// Settles the charge if an event of a stream reports usage.
    pub fn read_event(&mut self, data: &str) {
        if data.contains("\"usage\"") {
            self.settle_usage(data.as_bytes());
        }
    }

    /// Buffers a part of an unstreamed response, up to
    /// [`MAX_BUFFERED_BODY_BYTES`].
    pub fn read_chunk(&mut self, chunk: &Bytes) {
        if self.buffered_body.len() + chunk.len() <= MAX_BUFFERED_BODY_BYTES {
            self.buffered_body.extend_from_slice(chunk);
        }
    }

    /// Settles the charge by the usage in a complete unstreamed response. Does
    /// nothing if no part was buffered.
    pub fn finish(&mut self) {
        let body = std::mem::take(&mut self.buffered_body);
        if !body.is_empty() {
            self.settle_usage(&body);
        }
    }

    fn settle_usage(&mut self, json: &[u8]) {
        let report: Option<UsageReport> = serde_json::from_slice(json).ok();
        let Some(usage) = report.and_then(|report| report.usage) else {
            return;
        };
        self.prompt = usage.prompt();
        if let Some(used) = usage.total() {
            self.cx.limiter.settle(self.charge, used);
            // Each later report of the same request adjusts the settled charge.
            self.charge = self.charge.settled_to(used);
        }
    }
}

impl Drop for TokenMeter {
    fn drop(&mut self) {
        let prompt = self.prompt;
        self.cx
            .metrics
            .count_prompt_tokens(prompt.tokens, prompt.cached);
    }
}

impl Usage {
    fn prompt(&self) -> PromptUsage {
        let details = self.prompt_tokens_details.as_ref();
        let cached = details.and_then(|details| details.cached_tokens);
        PromptUsage {
            tokens: self.prompt_tokens.unwrap_or(0),
            cached: cached.unwrap_or(0),
        }
    }

    fn total(&self) -> Option<u64> {
        let parts = || Some(self.prompt_tokens? + self.completion_tokens?);
        self.total_tokens.or_else(parts)
    }
}

/// Estimates the tokens of a request: one for every four bytes of its body, and
/// for an engine also the maximum output of each choice. `default_output` is
/// that maximum if the body names none.
pub fn estimate_tokens(body: &Bytes, is_for_engine: bool, default_output: u64) -> u64 {
    let prompt = body.len().div_ceil(BYTES_PER_TOKEN).max(1) as u64;
    if !is_for_engine {
        return prompt;
    }
    let fields: Value = serde_json::from_slice(body).unwrap_or_default();
    let number = |name: &str| fields[name].as_u64();
    let output = number("max_completion_tokens").or_else(|| number("max_tokens"));
    let choices = number("n").max(number("best_of")).unwrap_or(1).max(1);
    let output = output.unwrap_or(default_output).saturating_mul(choices);
    prompt.saturating_add(output)
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    #[rstest]
    #[case::most_named(br#"{"prompt":"12345678","max_tokens":50}"#, true, 10 + 50)]
    #[case::choices(br#"{"n":3,"max_completion_tokens":50}"#, true, 9 + 150)]
    #[case::default(br#"{"prompt":"1234"}"#, true, 5 + 256)]
    #[case::service(br#"{"order":"1"}"#, false, 4)]
    #[case::empty(b"", false, 1)]
    fn estimate_tokens_cases(
        #[case] body: &'static [u8],
        #[case] engine: bool,
        #[case] tokens: u64,
    ) {
        let body = Bytes::from_static(body);
        assert_eq!(estimate_tokens(&body, engine, 256), tokens);
    }
}
