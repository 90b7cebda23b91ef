//! One request from its head to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::AnswerError;
use super::EntryContext;
use super::ErrorCode;
use super::attempt::AttemptError;
use super::attempt::make_attempt;
use super::authenticate::Principal;
use super::authenticate::authenticate;
use super::caller_request::CallerRequest;
use super::relay_answer::relay_answer;
use super::servers::Choice;
use crate::core::CacheSalt;
use crate::core::Envelope;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::core::ServerName;
use crate::http::AnswerBody;
use crate::http::BodyReadError;
use crate::http::Client;
use crate::http::read_body;
use crate::rules::Route;
use crate::rules::RuleSet;
use crate::timeline::EventKind;

const MAX_ATTEMPTS: u32 = 3;
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const NO_SERVER_RETRY: Duration = Duration::from_secs(1);

/// Serves one request of a caller.
pub async fn handle_request(
    cx: Arc<EntryContext>,
    client: Client,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let request = RequestId::draw();
    match serve_request(&cx, &client, request, req).await {
        Ok(response) => response,
        Err(error) => {
            let code = error.code.as_str().into();
            cx.timeline
                .record(Some(request), EventKind::RequestRefused(code));
            error.to_response(request)
        }
    }
}

async fn serve_request(
    cx: &Arc<EntryContext>,
    client: &Client,
    request: RequestId,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, AnswerError> {
    let (head, body) = req.into_parts();
    let rules = cx.rules.load_full();
    let route = rules
        .find_route(head.uri.path())
        .ok_or_else(|| AnswerError::not_run(ErrorCode::NoRoute, "No route matches the path."))?;
    let principal = authenticate(&rules, route, &head.headers)?;
    let traffic = &cx.settings.traffic;
    let body = read_body(body, traffic.max_body_bytes, traffic.body_timeout)
        .await
        .map_err(explain_body_error)?;
    let account = principal
        .as_ref()
        .map(|principal| principal.account.clone());
    cx.timeline
        .record(Some(request), EventKind::Admitted(account));
    let planner = Planner {
        cx,
        client,
        rules: &rules,
        route,
        principal,
        request,
        deadline: Instant::now() + DEFAULT_DEADLINE,
    };
    planner.run(CallerRequest::new(&head, body)).await
}

fn explain_body_error(e: BodyReadError) -> AnswerError {
    match e {
        BodyReadError::TooLarge => {
            AnswerError::not_run(ErrorCode::BodyTooLarge, "The body is larger than allowed.")
        }
        BodyReadError::Slow => {
            AnswerError::not_run(ErrorCode::BodyTooSlow, "The body came too slowly.")
        }
        BodyReadError::Broken => AnswerError::not_run(ErrorCode::BadRequest, "The body broke off."),
    }
}

/// Plans attempts until one is answered or no more may be made.
struct Planner<'a> {
    cx: &'a Arc<EntryContext>,
    client: &'a Client,
    rules: &'a RuleSet,
    route: &'a Route,
    principal: Option<Principal>,
    request: RequestId,
    deadline: Instant,
}

impl Planner<'_> {
    async fn run(&self, mut req: CallerRequest) -> Result<Response<AnswerBody>, AnswerError> {
        let pool = self.rules.find_pool(&self.route.pool);
        if pool.is_some_and(|pool| pool.model.is_some()) {
            req.prepare_for_engine(self.cache_salt(), self.route.priority)?;
        }
        let mut tried = Vec::new();
        for attempt in 1..=MAX_ATTEMPTS {
            let Some(choice) = self.cx.servers.choose(&self.route.pool, &tried) else {
                break;
            };
            tried.push(choice.name.clone());
            let envelope = self.build_envelope(attempt, &choice);
            self.record(EventKind::Sent(choice.name.clone()));
            match make_attempt(self.cx, self.client, &choice, &envelope, &req).await {
                Ok(answer) => {
                    let cx = Arc::clone(self.cx);
                    return Ok(relay_answer(cx, choice.name, self.request, answer));
                }
                Err(e) => self.judge(&choice.name, e)?,
            }
        }
        let message = "No backend server takes the request now.";
        Err(AnswerError::not_run(ErrorCode::NoServer, message).with_retry_after(NO_SERVER_RETRY))
    }

    /// Returns if another attempt may be made.
    fn judge(&self, server: &ServerName, e: AttemptError) -> Result<(), AnswerError> {
        self.cx.servers.release(server);
        match e {
            AttemptError::Refused(refusal) => {
                self.record(EventKind::AttemptRefused(server.clone(), refusal));
                if refusal.may_plan_again() {
                    return Ok(());
                }
                let message = format!("The request was refused: {refusal}.");
                Err(AnswerError::not_run(ErrorCode::KeyWithdrawn, message))
            }
            AttemptError::Unsent(e) => {
                log::warn!("entry: Server {server} not reached: {e}.");
                Ok(())
            }
            AttemptError::Unknown(reason) => {
                log::warn!("entry: Attempt at server {server} failed: {reason}.");
                let message = format!("The server failed: {reason}.");
                Err(AnswerError::new(
                    ErrorCode::ServerFailed,
                    Outcome::Unknown,
                    message,
                ))
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
        }
    }

    fn cache_salt(&self) -> Option<CacheSalt> {
        let principal = self.principal.as_ref()?;
        Some(self.rules.accounts[principal.account_key].cache_salt)
    }

    fn record(&self, kind: EventKind) {
        self.cx.timeline.record(Some(self.request), kind);
    }
}
