//! Attempts of one call that run at the same time, each at another server.

use std::fmt;
use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::StreamExt;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;

use super::attempt::AttemptOutcome;
use super::attempt::SILENT;
use super::attempt::attempt_call;
use super::attempt::record_attempt;
use super::context::GatewayContext;
use super::read_call::Call;
use super::server_wait::ServerWait;
use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::BackendChoice;
use crate::core::fleet::BackendKey;

/// Interval between checks whether the servers of a call are silent.
pub const LIVENESS_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time after a look for another server that found none, before the next one.
pub const REPLACEMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Attempts of one call that run at the same time, each at another server. A server that
/// is only silent may still answer, so its attempt runs on until another one has a
/// response. Dropping them resets their connections, which ends their work.
pub struct RunningAttempts {
    cx: Arc<GatewayContext>,
    call: Arc<Call>,
    attempts: Vec<RunningAttempt>,
    outcomes: FuturesUnordered<BoxFuture<'static, (BackendKey, AttemptOutcome)>>,
}

/// Attempt whose outcome is not known yet.
#[derive(Debug)]
struct RunningAttempt {
    choice: BackendChoice,
    sent_at: MonotonicTime,
    wait: Arc<ServerWait>,
}

impl RunningAttempts {
    /// Creates an empty set of attempts of `call`.
    pub fn new(cx: &Arc<GatewayContext>, call: &Arc<Call>) -> Self {
        Self {
            cx: Arc::clone(cx),
            call: Arc::clone(call),
            attempts: Vec::new(),
            outcomes: FuturesUnordered::new(),
        }
    }

    /// Starts an attempt at a server that has none yet; a stream goes on after
    /// `last_event_id`. It makes progress only while [`Self::next_outcome`] is polled.
    pub fn start(&mut self, choice: BackendChoice, last_event_id: Option<String>) {
        let wait = Arc::new(ServerWait::default());
        self.attempts.push(RunningAttempt {
            choice: choice.clone(),
            sent_at: self.cx.now(),
            wait: Arc::clone(&wait),
        });
        let (cx, call) = (Arc::clone(&self.cx), Arc::clone(&self.call));
        let attempt = async move {
            let key = choice.key;
            let outcome = attempt_call(&cx, &call, choice, last_event_id.as_deref(), &wait).await;
            (key, outcome)
        };
        self.outcomes.push(attempt.boxed());
    }

    /// Returns whether no attempt runs.
    pub fn is_empty(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns whether an attempt at the server runs.
    pub fn contains(&self, server: BackendKey) -> bool {
        let mut servers = self.attempts.iter().map(|attempt| attempt.choice.key);
        servers.any(|key| key == server)
    }

    /// Returns the server of the attempt that was started first.
    pub fn first_server(&self) -> Option<&ServerName> {
        self.attempts.first().map(|attempt| &attempt.choice.name)
    }

    /// Waits for the next attempt that ends, and returns its server; never returns while
    /// no attempt runs. Nothing is lost if the future is dropped.
    pub async fn next_outcome(&mut self) -> (BackendKey, AttemptOutcome) {
        let Some((server, outcome)) = self.outcomes.next().await else {
            return pending().await;
        };
        self.attempts.retain(|attempt| attempt.choice.key != server);
        (server, outcome)
    }

    /// Returns whether the servers of all attempts are suspected dead.
    pub fn are_silent(&self) -> bool {
        self.attempts.iter().all(|attempt| self.is_silent(attempt))
    }

    /// Ends all attempts, since the call needs them no more. Those at silent servers count
    /// as failed.
    pub fn abandon(&mut self) {
        for attempt in &self.attempts {
            if self.is_silent(attempt) {
                let outcome = AttemptOutcome::Unknown(SILENT);
                let RunningAttempt {
                    choice, sent_at, ..
                } = attempt;
                record_attempt(&self.cx, &self.call, choice, *sent_at, &outcome);
            }
        }
        self.attempts.clear();
        self.outcomes.clear();
    }

    fn is_silent(&self, attempt: &RunningAttempt) -> bool {
        let now = self.cx.now();
        let state = self.cx.lock();
        let waited = attempt.wait.elapsed();
        state
            .dispatcher
            .is_suspected_dead(attempt.choice.key, waited, now)
    }
}

impl fmt::Debug for RunningAttempts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RunningAttempts")
            .field("attempts", &self.attempts)
            .finish_non_exhaustive()
    }
}
