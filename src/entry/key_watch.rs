//! Watches whether the key of a request is withdrawn while it runs.

use std::future::pending;
use std::sync::Arc;

use tokio::sync::watch;

use super::AnswerError;
use super::ErrorCode;
use super::authenticate::Principal;
use crate::config::RulesInForce;
use crate::core::Outcome;
use crate::core::Revision;

/// Watches whether the key of a request is withdrawn while it runs.
#[derive(Debug, Clone)]
pub struct KeyWatch {
    rules: Arc<RulesInForce>,
    revisions: watch::Receiver<Revision>,
    /// Whose request it is; none on an open route, where no key is needed.
    principal: Option<Principal>,
}

impl KeyWatch {
    /// Watches the key of a request.
    pub fn new(rules: &Arc<RulesInForce>, principal: Option<Principal>) -> Self {
        Self {
            rules: Arc::clone(rules),
            revisions: rules.subscribe(),
            principal,
        }
    }

    /// Tells whether the key has been withdrawn.
    pub fn is_withdrawn(&self) -> bool {
        self.principal.as_ref().is_some_and(|principal| {
            let rules = self.rules.load();
            !rules.key_belongs_to(&principal.key_id, &principal.account)
        })
    }

    /// Waits until the key is withdrawn.
    pub async fn wait(&mut self) {
        while !self.is_withdrawn() {
            if self.revisions.changed().await.is_err() {
                return pending().await;
            }
        }
    }
}

/// Returns the answer to a request whose key has been withdrawn.
pub fn refuse_withdrawn(outcome: Outcome) -> AnswerError {
    let message = "The key was withdrawn.";
    AnswerError::new(ErrorCode::KeyWithdrawn, outcome, message)
}
