//! Plans the attempts of one request.

use std::sync::Arc;
use std::time::Duration;

use hyper::Response;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::AnswerError;
use super::EntryContext;
use super::ErrorCode;
use super::attempt::Answer;
use super::attempt::AttemptError;
use super::attempt::make_attempt;
use super::authenticate::Principal;
use super::caller_request::CallerRequest;
use super::choice::Choice;
use super::key_watch::KeyWatch;
use super::key_watch::refuse_withdrawn;
use super::meter::Meter;
use super::relay_answer::Watched;
use super::relay_answer::relay_answer;
use super::resumer::Resumer;
use crate::core::AttemptRefusal;
use crate::core::CacheSalt;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::core::ServerName;
use crate::core::retry::GiveUpReason;
use crate::core::retry::RetryPolicy;
use crate::http::AnswerBody;
use crate::http::Client;
use crate::rules::Route;
use crate::rules::RuleSet;
use crate::timeline::EventKind;

const MAX_ATTEMPTS: u32 = 3;
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Plans attempts until one is answered or no more may be made.
pub struct Planner {
    /// What the parts of the entry share.
    pub cx: Arc<EntryContext>,
    /// Connections to agents.
    pub client: Client,
    /// Rules that the request runs under.
    pub rules: Arc<RuleSet>,
    /// Route of the request.
    pub route: Route,
    /// Whose request it is; none on an open route.
    pub principal: Option<Principal>,
    /// Identity of the request.
    pub request: RequestId,
    /// When the head of the request came.
    pub begun: Instant,
    /// When the answer must have begun.
    pub deadline: Instant,
    /// Whether the key of the request still opens its account.
    pub key: KeyWatch,
}

impl Planner {
    /// Makes attempts until one is answered, and relays the answer. A server
    /// that broke off is tried again, over a new connection, only where no
    /// other is left.
    ///
    /// # Errors
    ///
    /// No attempt was answered.
    pub async fn run(
        &self,
        req: CallerRequest,
        meter: Option<Meter>,
    ) -> Result<Response<AnswerBody>, AnswerError> {
        let answered = self.find_answer(&req).await;
        let (answer, resumer) = match answered {
            Ok(found) => found,
            Err(error) => {
                if let Some(meter) = meter.filter(|_| error.outcome == Outcome::NotRun) {
                    meter.refund();
                }
                return Err(error);
            }
        };
        let cx = Arc::clone(&self.cx);
        let key = self.key.clone();
        let begun = self.begun;
        let watched = Watched { begun, key, meter };
        Ok(relay_answer(cx, resumer, answer, watched))
    }

    /// Makes attempts until one is answered.
    async fn find_answer(&self, req: &CallerRequest) -> Result<(Answer, Resumer), AnswerError> {
        let mut tried = Vec::new();
        let mut attempt = 1;
        let mut may_have_run = false;
        let mut was_cut_off = false;
        loop {
            if self.key.is_withdrawn() {
                return Err(refuse_withdrawn(Outcome::NotRun).or_unknown(may_have_run));
            }
            let mut choice = self.choose(req, &mut tried);
            if choice.is_none() && was_cut_off {
                tried.clear();
                choice = self.choose(req, &mut tried);
            }
            let Some(choice) = choice else {
                return Err(refuse_without_server().or_unknown(may_have_run));
            };
            let mut key = self.key.clone();
            let attempted = tokio::select! {
                attempted = self.attempt(attempt, &choice, req) => attempted,
                () = key.wait() => return Err(refuse_withdrawn(Outcome::Unknown)),
            };
            let e = match attempted {
                Ok(answer) => {
                    let resumer = Resumer {
                        client: self.client.clone(),
                        envelope: self.build_envelope(attempt, &choice),
                        choice,
                        resumes: 0,
                    };
                    return Ok((answer, resumer));
                }
                Err(e) => e,
            };
            was_cut_off = !e.failure().is_not_run();
            may_have_run |= was_cut_off;
            self.judge(attempt, &choice.name, &e, &mut tried)
                .map_err(|error| error.or_unknown(may_have_run))?;
            attempt += 1;
        }
    }

    /// Chooses a server that was not tried, and counts the request there.
    pub fn choose(&self, req: &CallerRequest, tried: &mut Vec<ServerName>) -> Option<Choice> {
        let servers = &self.cx.servers;
        let choice = servers.choose(&self.route.pool, req.prefix.as_ref(), tried)?;
        tried.push(choice.name.clone());
        Some(choice)
    }

    /// Makes one attempt.
    ///
    /// # Errors
    ///
    /// The answer did not begin.
    pub async fn attempt(
        &self,
        attempt: u32,
        choice: &Choice,
        req: &CallerRequest,
    ) -> Result<Answer, AttemptError> {
        let envelope = self.build_envelope(attempt, choice);
        self.record(EventKind::Sent(choice.name.clone()));
        let sent = make_attempt(&self.cx, &self.client, choice, &envelope, req);
        let result = timeout_at(self.deadline, sent).await;
        let result = result.unwrap_or(Err(AttemptError::Deadline));
        if let Err(e) = &result {
            choice.note_failure(e.failure());
            self.note_failure(&choice.name, e);
        }
        result
    }

    /// Returns if another attempt may follow the failed one.
    ///
    /// # Errors
    ///
    /// None may; the error is the caller's answer.
    pub fn judge(
        &self,
        attempt: u32,
        server: &ServerName,
        e: &AttemptError,
        tried: &mut Vec<ServerName>,
    ) -> Result<(), AnswerError> {
        let policy = RetryPolicy {
            max_attempts: MAX_ATTEMPTS,
            once: self.route.once,
        };
        let failure = e.failure();
        let left = self.deadline.saturating_duration_since(Instant::now());
        let judged = policy.check_retry(attempt, failure, left, &mut self.cx.lock_retry_budget());
        if let Err(give_up) = judged {
            return Err(explain_give_up(give_up, e));
        }
        if failure.is_stale_plan() {
            tried.retain(|name| name != server);
        }
        Ok(())
    }

    fn note_failure(&self, server: &ServerName, e: &AttemptError) {
        match e {
            AttemptError::Refused(refusal) => {
                self.record(EventKind::AttemptRefused(server.clone(), *refusal));
            }
            AttemptError::Unsent(e) => {
                log::warn!("entry: Server {server} not reached: {e}.");
            }
            AttemptError::Unknown(reason) => {
                log::warn!("entry: Attempt at server {server} failed: {reason}.");
            }
            AttemptError::Deadline => {
                log::warn!("entry: Server {server} did not answer by the deadline.");
            }
        }
    }

    fn build_envelope(&self, attempt: u32, choice: &Choice) -> Envelope {
        let report = choice.report.as_ref();
        let principal = self.principal.as_ref();
        let left = self.deadline.saturating_duration_since(Instant::now());
        Envelope {
            request: self.request,
            attempt,
            account: principal.map(|principal| principal.account.clone()),
            key_id: principal.map(|principal| principal.key_id.clone()),
            revision: self.rules.revision,
            agent: report.map(|report| report.agent),
            engine: report.and_then(|report| report.engine),
            weights: report.and_then(|report| report.weights),
            cache_salt: self.cache_salt(),
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            priority: self.route.priority,
            once: self.route.once,
            stamp: self.cx.timeline.stamp(),
            entry: self.cx.hosts.own_address(),
            resume_after: None,
        }
    }

    /// Returns what separates the account's cache entries from all others.
    pub fn cache_salt(&self) -> Option<CacheSalt> {
        let principal = self.principal.as_ref()?;
        Some(self.rules.accounts[principal.account_key].cache_salt)
    }

    fn record(&self, kind: EventKind) {
        self.cx.timeline.record(Some(self.request), kind);
    }
}

/// Returns the answer to a request that no server takes.
pub fn refuse_without_server() -> AnswerError {
    let message = "No backend server takes the request now.";
    AnswerError::not_run(ErrorCode::NoServer, message).with_retry_after(RETRY_AFTER)
}

fn explain_unknown(e: &AttemptError) -> AnswerError {
    let message = format!("The server failed: {e}.");
    AnswerError::new(ErrorCode::ServerFailed, Outcome::Unknown, message)
}

fn explain_give_up(give_up: GiveUpReason, e: &AttemptError) -> AnswerError {
    let failure = e.failure();
    if matches!(e, AttemptError::Deadline)
        || (give_up == GiveUpReason::DeadlineNear && failure.is_not_run())
    {
        let outcome = if failure.is_not_run() {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let message = "The deadline passed before the answer began.";
        return AnswerError::new(ErrorCode::DeadlinePassed, outcome, message);
    }
    match e {
        AttemptError::Refused(refusal) if give_up == GiveUpReason::NotRetryable => {
            let message = format!("The request was refused: {refusal}.");
            AnswerError::not_run(refusal_code(*refusal), message)
        }
        _ if failure.is_not_run() => refuse_without_server(),
        _ => explain_unknown(e),
    }
}

fn refusal_code(refusal: AttemptRefusal) -> ErrorCode {
    match refusal {
        AttemptRefusal::DeadlinePassed => ErrorCode::DeadlinePassed,
        _ => ErrorCode::KeyWithdrawn,
    }
}
