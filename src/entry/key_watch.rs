//! Detects that the API key of a running request is withdrawn by newer rules.

use std::future::pending;
use std::sync::Arc;

use tokio::sync::watch;

use super::ErrorCode;
use super::ErrorResponse;
use super::authenticate::Principal;
use crate::config::RulesInForce;
use crate::core::Outcome;
use crate::core::Revision;

/// Checks the API key of one request against the rules in force, and wakes up
/// when a newer revision withdraws it.
#[derive(Debug, Clone)]
pub struct KeyWatch {
    rules: Arc<RulesInForce>,
    revisions: watch::Receiver<Revision>,
    /// Account and API key of the request. `None` if it was sent without a
    /// known key on an open route, where no key is needed and none can be
    /// withdrawn.
    principal: Option<Principal>,
}

impl KeyWatch {
    /// Subscribes to changes of the rules in force.
    pub fn new(rules: &Arc<RulesInForce>, principal: Option<Principal>) -> Self {
        Self {
            rules: Arc::clone(rules),
            revisions: rules.subscribe(),
            principal,
        }
    }

    /// Tells whether the rules in force no longer let the key use its account.
    pub fn is_withdrawn(&self) -> bool {
        self.principal.as_ref().is_some_and(|principal| {
            let rules = self.rules.load();
            !rules.key_belongs_to(&principal.key_id, &principal.account)
        })
    }

    /// Waits until the key is withdrawn; never returns without a principal or
    /// once the rules can no longer change.
    pub async fn withdrawn(&mut self) {
        while !self.is_withdrawn() {
            if self.revisions.changed().await.is_err() {
                return pending().await;
            }
        }
    }
}

/// Returns the error response to a request whose API key was withdrawn;
/// `outcome` says what is known about whether the request ran.
pub fn key_withdrawn_error(outcome: Outcome) -> ErrorResponse {
    let message = "The key was withdrawn.";
    ErrorResponse::new(ErrorCode::KeyWithdrawn, outcome, message)
}
