//! One request from its head to the head of its answer.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::AnswerError;
use super::EntryContext;
use super::ErrorCode;
use super::authenticate::authenticate;
use super::caller_request::CallerRequest;
use super::key_watch::KeyWatch;
use super::key_watch::refuse_withdrawn;
use super::meter::Meter;
use super::meter::estimate_tokens;
use super::once::serve_once;
use super::once_store::OnceStore;
use super::planner::Planner;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::http::AnswerBody;
use crate::http::BodyReadError;
use crate::http::Client;
use crate::http::read_body_within;
use crate::timeline::EventKind;

/// Header in which a caller says how many milliseconds it waits for its
/// answer to begin.
const DEADLINE_HEADER: &str = "x-teaseldrum-deadline-ms";

const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const MAX_DEADLINE_MS: u64 = 600_000;
const OVERLOAD_RETRY: Duration = Duration::from_secs(1);

/// What one traffic thread reaches others by.
#[derive(Debug, Clone)]
pub struct Reach {
    /// Connections to agents.
    pub client: Client,
    /// Records of requests that may run at most once; none without a store.
    pub once: Option<OnceStore>,
}

/// Serves one request of a caller.
pub async fn handle_request(
    cx: Arc<EntryContext>,
    reach: Reach,
    req: Request<Incoming>,
) -> Response<AnswerBody> {
    let request = RequestId::random();
    match serve_request(&cx, &reach, request, req).await {
        Ok(response) => response,
        Err(error) => {
            let code = error.code.as_str();
            cx.metrics.count_answer(code, error.outcome);
            cx.timeline
                .record(Some(request), EventKind::RequestRefused(code.into()));
            error.to_response(request)
        }
    }
}

async fn serve_request(
    cx: &Arc<EntryContext>,
    reach: &Reach,
    request: RequestId,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, AnswerError> {
    let begun = Instant::now();
    let (head, body) = req.into_parts();
    let rules = cx.rules.load_full();
    let route = rules
        .find_route(head.uri.path())
        .ok_or_else(|| AnswerError::not_run(ErrorCode::NoRoute, "No route matches the path."))?;
    let deadline = read_deadline(&head.headers)?;
    let principal = authenticate(&rules, route, &head.headers)?;
    let traffic = &cx.settings.traffic;
    let mut share = cx.body_budget.share();
    let body = read_body_within(
        body,
        traffic.max_body_bytes,
        traffic.body_timeout,
        &mut share,
    );
    let body = body.await.map_err(explain_body_error)?;
    let mut req = CallerRequest::new(&head, body);
    let pool = rules.find_pool(&route.pool);
    let is_for_engine = pool.is_some_and(|pool| pool.model.is_some());
    let mut key = KeyWatch::new(&cx.rules, principal.clone());
    let meter = match &principal {
        Some(principal) => {
            let output = cx.settings.share.default_output_tokens;
            let tokens = estimate_tokens(&req.body, is_for_engine, output);
            let admitted = tokio::select! {
                admitted = Meter::admit(cx, &principal.account, tokens) => admitted,
                () = key.wait() => Err(refuse_withdrawn(Outcome::NotRun)),
            };
            Some(admitted?)
        }
        None => None,
    };
    let account = principal
        .as_ref()
        .map(|principal| principal.account.clone());
    cx.timeline
        .record(Some(request), EventKind::Admitted(account));
    cx.lock_retry_budget().add_request();
    let planner = Planner {
        cx: Arc::clone(cx),
        client: reach.client.clone(),
        route: route.clone(),
        rules: Arc::clone(&rules),
        principal,
        request,
        begun,
        deadline,
        key,
    };
    if is_for_engine {
        let limit = cx.settings.max_prompt_bytes;
        req.prepare_for_engine(planner.cache_salt(), route.priority, limit)?;
    }
    if route.once {
        serve_once(planner, reach.once.as_ref(), req, meter).await
    } else {
        planner.run(req, meter).await
    }
}

/// Reads how long the caller waits for its answer to begin.
fn read_deadline(headers: &HeaderMap) -> Result<Instant, AnswerError> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Instant::now() + DEFAULT_DEADLINE);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis));
    let millis = millis.ok_or_else(|| {
        let message = format!("{DEADLINE_HEADER} must be from 1 to {MAX_DEADLINE_MS}.");
        AnswerError::not_run(ErrorCode::BadRequest, message)
    })?;
    Ok(Instant::now() + Duration::from_millis(millis))
}

fn explain_body_error(e: BodyReadError) -> AnswerError {
    match e {
        BodyReadError::TooLarge => {
            AnswerError::not_run(ErrorCode::BodyTooLarge, "The body is larger than allowed.")
        }
        BodyReadError::Slow => {
            AnswerError::not_run(ErrorCode::BodyTooSlow, "The body came too slowly.")
        }
        BodyReadError::NoRoom => {
            let message = "Too many large requests are being read.";
            AnswerError::not_run(ErrorCode::Overloaded, message).with_retry_after(OVERLOAD_RETRY)
        }
        BodyReadError::Broken => AnswerError::not_run(ErrorCode::BadRequest, "The body broke off."),
    }
}
