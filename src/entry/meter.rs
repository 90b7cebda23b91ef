//! What a request is charged, and what it used.

use std::sync::Arc;

use bytes::Bytes;
use bytes::BytesMut;
use serde::Deserialize;
use serde_json::Value;

use super::AnswerError;
use super::EntryContext;
use super::ErrorCode;
use crate::core::AccountName;
use crate::core::limit::AdmissionDecision;
use crate::core::limit::Charge;

/// Bytes of prompt text that count as a token before the engine has counted.
const BYTES_PER_TOKEN: usize = 4;

/// Bytes of an answer that is no stream, up to which its usage is looked for.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Charge of a request that runs. Settled when its usage is known; a charge
/// whose request ends without a report stays as it is.
#[derive(Debug)]
pub struct Meter {
    cx: Arc<EntryContext>,
    charge: Charge,
    answer: BytesMut,
    prompt: PromptUsage,
}

/// Usage as engines report it.
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

/// Prompt tokens by the latest report, and those among them that were cached.
#[derive(Debug, Clone, Copy, Default)]
struct PromptUsage {
    tokens: u64,
    cached: u64,
}

impl Meter {
    /// Waits until the account may run a request of this size.
    ///
    /// # Errors
    ///
    /// The account has used up its rate, or the request is larger than its
    /// burst.
    pub async fn admit(
        cx: &Arc<EntryContext>,
        account: &AccountName,
        tokens: u64,
    ) -> Result<Self, AnswerError> {
        match cx.shares.admit(account, tokens).await {
            AdmissionDecision::Admitted(charge) => Ok(Self {
                cx: Arc::clone(cx),
                charge,
                answer: BytesMut::new(),
                prompt: PromptUsage::default(),
            }),
            AdmissionDecision::Refused(wait) => {
                let message = "The account has used up its rate.";
                Err(AnswerError::not_run(ErrorCode::RateLimited, message).with_retry_after(wait))
            }
            AdmissionDecision::TooLarge => {
                let message = format!("The request needs {tokens} tokens, more than the burst.");
                Err(AnswerError::not_run(ErrorCode::RateLimited, message))
            }
        }
    }

    /// Returns the charge of a request that certainly did not run.
    pub fn refund(self) {
        self.cx.shares.settle(self.charge, 0);
    }

    /// Notes an event of a stream.
    pub fn read_event(&mut self, data: &str) {
        if data.contains("\"usage\"") {
            self.settle(data.as_bytes());
        }
    }

    /// Notes a part of an answer that is no stream.
    pub fn read_chunk(&mut self, chunk: &Bytes) {
        if self.answer.len() + chunk.len() <= MAX_ANSWER_BYTES {
            self.answer.extend_from_slice(chunk);
        }
    }

    /// Notes that an answer that is no stream is complete.
    pub fn finish(&mut self) {
        let answer = std::mem::take(&mut self.answer);
        if !answer.is_empty() {
            self.settle(&answer);
        }
    }

    fn settle(&mut self, report: &[u8]) {
        let report: Option<UsageReport> = serde_json::from_slice(report).ok();
        let Some(usage) = report.and_then(|report| report.usage) else {
            return;
        };
        self.prompt = usage.prompt();
        if let Some(used) = usage.total() {
            self.cx.shares.settle(self.charge, used);
            // A later report of the same request counts from here.
            self.charge = self.charge.settled_to(used);
        }
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        let prompt = self.prompt;
        self.cx.metrics.count_prompt(prompt.tokens, prompt.cached);
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

/// Estimates the tokens of a request: its body at four bytes a token, and for
/// an engine the most output that each choice may have.
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
    fn estimate_tokens_of(#[case] body: &'static [u8], #[case] engine: bool, #[case] tokens: u64) {
        let body = Bytes::from_static(body);
        assert_eq!(estimate_tokens(&body, engine, 256), tokens);
    }
}
