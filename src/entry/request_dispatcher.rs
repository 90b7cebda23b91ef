//! Sends one request to backend servers until one of them responds, within the
//! retry policy.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hyper::Response;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use super::EntryContext;
use super::ErrorCode;
use super::ErrorResponse;
use super::agent_silence::AgentSilence;
use super::attempt::AgentResponse;
use super::attempt::AttemptError;
use super::attempt::send_attempt;
use super::authenticate::Principal;
use super::caller_request::CallerRequest;
use super::chosen_server::ChosenServer;
use super::key_watch::KeyWatch;
use super::key_watch::key_withdrawn_error;
use super::relay_response::RelayContext;
use super::relay_response::relay_response;
use super::stream_resumer::StreamResumer;
use super::token_meter::TokenMeter;
use crate::core::AttemptRefusal;
use crate::core::CacheSalt;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::core::ServerName;
use crate::core::retry::GiveUpReason;
use crate::core::retry::RetryPolicy;
use crate::http::Client;
use crate::http::HttpBody;
use crate::rules::Route;
use crate::rules::RuleSet;
use crate::timeline::EventKind;

const MAX_ATTEMPTS: u32 = 3;
const NO_SERVER_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Sends one request to one server after the other until one responds or the
/// retry policy allows no further attempt.
pub struct RequestDispatcher {
    /// Shared state of the entry.
    pub cx: Arc<EntryContext>,
    /// HTTP client for agents.
    pub client: Client,
    /// Snapshot of the rules that the request runs under.
    pub rules: Arc<RuleSet>,
    /// Route that matched the path; names the server pool.
    pub route: Route,
    /// Account and API key of the request; `None` if it runs for no account.
    pub principal: Option<Principal>,
    /// Id of the request, the same for all its attempts.
    pub request: RequestId,
    /// When the head of the request arrived.
    pub received_at: Instant,
    /// When the response must have begun.
    pub deadline: Instant,
    /// Stops the request when its API key is withdrawn.
    pub key: KeyWatch,
}

impl RequestDispatcher {
    /// Sends attempts until one gets a response, and relays that. If no server is
    /// left and the last attempt may have run, all servers may be tried again,
    /// over new connections.
    ///
    /// # Errors
    ///
    /// No attempt got a response; the charge is refunded if none ran.
    pub async fn dispatch(
        &self,
        req: CallerRequest,
        meter: Option<TokenMeter>,
    ) -> Result<Response<HttpBody>, ErrorResponse> {
        let result = self.try_servers(&req).await;
        let (response, resumer) = match result {
            Ok(pair) => pair,
            Err(error) => {
                if let Some(meter) = meter.filter(|_| error.outcome == Outcome::NotRun) {
                    meter.refund();
                }
                return Err(error);
            }
        };
        let cx = Arc::clone(&self.cx);
        let key = self.key.clone();
        let received_at = self.received_at;
        let context = RelayContext {
            received_at,
            deadline: self.deadline,
            key,
            meter,
        };
        Ok(relay_response(cx, resumer, response, context))
    }

    /// Sends attempts until one gets a response, also while the agents of others are
    /// silent. Also returns what resumes its stream.
    async fn try_servers(
        &self,
        req: &CallerRequest,
    ) -> Result<(AgentResponse, StreamResumer), ErrorResponse> {
        let mut tried = Vec::new();
        let mut attempt = 1;
        let mut may_have_run = false;
        let silence = Arc::new(Notify::new());
        let mut silences: Vec<(u32, Arc<AgentSilence>)> = Vec::new();
        let mut running = FuturesUnordered::new();
        let mut key = self.key.clone();
        let mut next = self.choose_server(req, &mut tried);
        loop {
            if self.key.is_withdrawn() {
                let error = key_withdrawn_error(Outcome::NotRun);
                return Err(error.mark_unknown_if(may_have_run || !running.is_empty()));
            }
            if let Some(server) = next.take() {
                let own_silence = Arc::new(AgentSilence::new(&silence));
                silences.push((attempt, Arc::clone(&own_silence)));
                running.push(self.run_numbered_attempt(attempt, server, req, own_silence));
            }
            let ended = tokio::select! {
                biased;
                () = key.withdrawn() => return Err(key_withdrawn_error(Outcome::Unknown)),
                ended = running.next() => ended,
                () = silence.notified() => {
                    if !silences.iter().all(|(_, silence)| self.is_lasting(silence)) {
                        continue;
                    }
                    next = self.choose_beside_silent(attempt, req, &mut tried);
                    attempt += u32::from(next.is_some());
                    continue;
                }
            };
            let Some((number, server, result)) = ended else {
                return Err(no_server_error().mark_unknown_if(may_have_run));
            };
            silences.retain(|(attempt, _)| *attempt != number);
            let e = match result {
                Ok(response) => {
                    let resumer = StreamResumer {
                        client: self.client.clone(),
                        envelope: self.build_envelope(number, &server),
                        server,
                        resume_count: 0,
                    };
                    return Ok((response, resumer));
                }
                Err(e) => e,
            };
            let last_may_have_run = !e.failure().is_not_run();
            may_have_run |= last_may_have_run;
            let retry = self.check_retry(attempt, &server.name, &e, &mut tried);
            drop(server);
            match retry {
                Ok(()) => {
                    next = self.choose_again(req, &mut tried, last_may_have_run);
                    attempt += u32::from(next.is_some());
                }
                Err(error) if running.is_empty() => {
                    return Err(error.mark_unknown_if(may_have_run));
                }
                // Another attempt, at a silent agent, may still get a response.
                Err(_) => {}
            }
        }
    }

    /// Runs an attempt like [`Self::run_attempt`]. Also returns its number and its server.
    async fn run_numbered_attempt(
        &self,
        attempt: u32,
        server: ChosenServer,
        req: &CallerRequest,
        silence: Arc<AgentSilence>,
    ) -> (u32, ChosenServer, Result<AgentResponse, AttemptError>) {
        let result = self.run_attempt(attempt, &server, req, &silence).await;
        (attempt, server, result)
    }

    fn is_lasting(&self, silence: &AgentSilence) -> bool {
        let traffic = &self.cx.settings.traffic;
        silence.is_lasting(traffic.response_timeout.max(traffic.read_timeout))
    }

    /// Chooses the server of the next attempt after the last one has failed; any server if
    /// all were tried and the last attempt may have run.
    fn choose_again(
        &self,
        req: &CallerRequest,
        tried: &mut Vec<ServerName>,
        last_may_have_run: bool,
    ) -> Option<ChosenServer> {
        let server = self.choose_server(req, tried);
        if server.is_some() || !last_may_have_run {
            return server;
        }
        tried.clear();
        self.choose_server(req, tried)
    }

    /// Chooses the server of an attempt beside those whose agents are silent, which keep
    /// theirs until another one has a response. Returns `None` if no retry is allowed.
    fn choose_beside_silent(
        &self,
        attempt: u32,
        req: &CallerRequest,
        tried: &mut Vec<ServerName>,
    ) -> Option<ChosenServer> {
        let server = self.choose_again(req, tried, true)?;
        let silent = AttemptError::Unknown("agent is silent".into());
        let retry = self.check_retry(attempt, &server.name, &silent, tried);
        if retry.is_err() {
            tried.pop();
            return None;
        }
        Some(server)
    }

    /// Chooses a server that is not in `tried`, adds it there, and counts the
    /// request as in flight at the server. Returns `None` if no server is left.
    pub fn choose_server(
        &self,
        req: &CallerRequest,
        tried: &mut Vec<ServerName>,
    ) -> Option<ChosenServer> {
        let servers = &self.cx.servers;
        let server = servers.choose(&self.route.pool, req.prompt_prefix.as_ref(), tried)?;
        tried.push(server.name.clone());
        Some(server)
    }

    /// Sends one attempt and waits for its response until the deadline. Logs
    /// and records a failure. `silence` is recorded whenever the agent was silent for a time.
    ///
    /// # Errors
    ///
    /// The response did not begin.
    pub async fn run_attempt(
        &self,
        attempt: u32,
        server: &ChosenServer,
        req: &CallerRequest,
        silence: &AgentSilence,
    ) -> Result<AgentResponse, AttemptError> {
        let envelope = self.build_envelope(attempt, server);
        self.record_event(EventKind::Sent(server.name.clone()));
        let response = send_attempt(&self.cx, &self.client, server, &envelope, req, silence);
        let result = timeout_at(self.deadline, response).await;
        let mut result = result.unwrap_or(Err(AttemptError::Deadline));
        match &mut result {
            // Nothing but a stream can be resumed, so a silent agent is waited for.
            Ok(response) if !response.head.streamed || self.route.once => {
                let time_left = self.deadline.saturating_duration_since(Instant::now());
                let gap_timeout = self.cx.settings.traffic.read_timeout;
                response.frames.set_read_timeout(gap_timeout.max(time_left));
            }
            Ok(_) => {}
            Err(e) => {
                server.record_failure(e.failure());
                self.report_failure(&server.name, e);
            }
        }
        result
    }

    /// Checks whether a retry may follow the failed attempt number `attempt`. A
    /// server that refused only because its agent, engine or weights were no
    /// longer those that the envelope names is removed from `tried`.
    ///
    /// # Errors
    ///
    /// No retry is allowed; the error is the response to the caller.
    pub fn check_retry(
        &self,
        attempt: u32,
        server: &ServerName,
        e: &AttemptError,
        tried: &mut Vec<ServerName>,
    ) -> Result<(), ErrorResponse> {
        let policy = RetryPolicy {
            max_attempts: MAX_ATTEMPTS,
            once: self.route.once,
        };
        let failure = e.failure();
        let time_left = self.deadline.saturating_duration_since(Instant::now());
        let decision = policy.check_retry(
            attempt,
            failure,
            time_left,
            &mut self.cx.lock_retry_budget(),
        );
        if let Err(reason) = decision {
            return Err(give_up_error(reason, e));
        }
        if failure.is_stale_plan() {
            tried.retain(|name| name != server);
        }
        Ok(())
    }

    /// Records a refusal in the timeline and logs any other failure.
    fn report_failure(&self, server: &ServerName, e: &AttemptError) {
        match e {
            AttemptError::Refused(refusal) => {
                self.record_event(EventKind::AttemptRefused(server.clone(), *refusal));
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

    fn build_envelope(&self, attempt: u32, server: &ChosenServer) -> Envelope {
        let report = server.report.as_ref();
        let principal = self.principal.as_ref();
        let time_left = self.deadline.saturating_duration_since(Instant::now());
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
            deadline_ms: u64::try_from(time_left.as_millis()).unwrap_or(u64::MAX),
            priority: self.route.priority,
            once: self.route.once,
            stamp: self.cx.timeline.stamp(),
            entry: self.cx.hosts.own_address(),
            resume_after: None,
        }
    }

    /// Returns the salt that separates the account's entries in the prompt
    /// caches from all others; `None` if the request runs for no account.
    pub fn cache_salt(&self) -> Option<CacheSalt> {
        let principal = self.principal.as_ref()?;
        Some(self.rules.accounts[principal.account_key].cache_salt)
    }

    fn record_event(&self, kind: EventKind) {
        self.cx.timeline.record(Some(self.request), kind);
    }
}

/// Returns the error response to a request for which no server is left or no
/// further attempt is allowed.
pub fn no_server_error() -> ErrorResponse {
    let message = "No backend server takes the request now.";
    ErrorResponse::not_run(ErrorCode::NoServer, message).with_retry_after(NO_SERVER_RETRY_AFTER)
}

fn server_failed_error(e: &AttemptError) -> ErrorResponse {
    let message = format!("The server failed: {e}.");
    ErrorResponse::new(ErrorCode::ServerFailed, Outcome::Unknown, message)
}

fn give_up_error(reason: GiveUpReason, e: &AttemptError) -> ErrorResponse {
    let failure = e.failure();
    if matches!(e, AttemptError::Deadline)
        || (reason == GiveUpReason::DeadlineNear && failure.is_not_run())
    {
        let outcome = if failure.is_not_run() {
            Outcome::NotRun
        } else {
            Outcome::Unknown
        };
        let message = "The deadline passed before the answer began.";
        return ErrorResponse::new(ErrorCode::DeadlinePassed, outcome, message);
    }
    match e {
        AttemptError::Refused(refusal) if reason == GiveUpReason::NotRetryable => {
            let message = format!("The request was refused: {refusal}.");
            ErrorResponse::not_run(refusal_code(*refusal), message)
        }
        _ if failure.is_not_run() => no_server_error(),
        _ => server_failed_error(e),
    }
}

/// Returns the error code of a refusal that is not retryable: a passed deadline
/// or a withdrawn key.
fn refusal_code(refusal: AttemptRefusal) -> ErrorCode {
    match refusal {
        AttemptRefusal::DeadlinePassed => ErrorCode::DeadlinePassed,
        _ => ErrorCode::KeyWithdrawn,
    }
}
