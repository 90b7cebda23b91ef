//! Weights of accounts, from their configured rates.

use std::collections::HashMap;

use super::OfferedCall;
use crate::core::AccountName;
use crate::core::fleet::AccountRule;

/// Tokens of a call that are assumed for accounts whose rate counts calls: the usual
/// length of a short prompt.
const TOKENS_PER_CALL: f64 = 2_500.0;

/// Weights of accounts, in proportion to their configured rates in tokens. Accounts
/// without a rate have the mean weight.
#[derive(Debug, Default)]
pub(super) struct AccountWeights {
    weights: HashMap<AccountName, u32>,
}

impl AccountWeights {
    /// Computes the weights of configured accounts.
    pub fn new(rules: &[AccountRule]) -> Self {
        let rates: Vec<(&AccountName, f64)> = rules
            .iter()
            .filter_map(|rule| Some((&rule.name, tokens_per_s(rule)?)))
            .collect();
        let sum: f64 = rates.iter().map(|(_, rate)| rate).sum();
        let mean = sum / rates.len().max(1) as f64;
        let weight = |rate: f64| rate / mean * f64::from(OfferedCall::MEAN_WEIGHT);
        let weights = rates.into_iter();
        Self {
            weights: weights
                .map(|(name, rate)| (name.clone(), weight(rate).max(1.0) as u32))
                .collect(),
        }
    }

    /// Returns the weight of an account, or of callers without one.
    pub fn get(&self, account: Option<&AccountName>) -> u32 {
        let weight = account.and_then(|account| self.weights.get(account));
        weight.copied().unwrap_or(OfferedCall::MEAN_WEIGHT)
    }
}

fn tokens_per_s(rule: &AccountRule) -> Option<f64> {
    let rate = rule.rate.filter(|rate| *rate > 0)? as f64;
    Some(if rule.counts_tokens {
        rate
    } else {
        rate * TOKENS_PER_CALL
    })
}
