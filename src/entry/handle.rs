//! Takes a caller's request from its head to the head of its response: routes,
//! authenticates, reads the body, charges the account and dispatches.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::EntryContext;
use super::ErrorCode;
use super::ErrorResponse;
use super::authenticate::authenticate;
use super::caller_request::CallerRequest;
use super::key_watch::KeyWatch;
use super::key_watch::key_withdrawn_error;
use super::once::serve_once;
use super::once_store::OnceStore;
use super::request_dispatcher::RequestDispatcher;
use super::token_meter::TokenMeter;
use super::token_meter::estimate_tokens;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::http::BodyReadError;
use crate::http::Client;
use crate::http::HttpBody;
use crate::http::read_body_in_budget;
use crate::http::record_whole_body;
use crate::timeline::EventKind;

/// Header with the milliseconds that a caller waits for its response to begin.
const DEADLINE_HEADER: &str = "x-teaseldrum-deadline-ms";

const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);
const MAX_DEADLINE_MS: u64 = 600_000;
const OVERLOAD_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Clients of one traffic thread for calls to other processes.
#[derive(Debug, Clone)]
pub struct OutboundClients {
    /// HTTP client for agents.
    pub agents: Client,
    /// Records of at-most-once requests; `None` if the settings name no store.
    pub once_store: Option<OnceStore>,
}

/// Serves one request of a caller. Errors become error responses, which are
/// counted and recorded on the timeline.
pub async fn handle_request(
    cx: Arc<EntryContext>,
    clients: OutboundClients,
    req: Request<Incoming>,
) -> Response<HttpBody> {
    let request = RequestId::random();
    match serve_request(&cx, &clients, request, req).await {
        Ok(response) => response,
        Err(error) => {
            let code = error.code.as_str();
            cx.metrics.count_request(code, error.outcome);
            cx.timeline
                .record(Some(request), EventKind::RequestRefused(code.into()));
            error.to_response(request)
        }
    }
}

async fn serve_request(
    cx: &Arc<EntryContext>,
    clients: &OutboundClients,
    request: RequestId,
    req: Request<Incoming>,
) -> Result<Response<HttpBody>, ErrorResponse> {
    let received_at = Instant::now();
    let (head, body) = req.into_parts();
    let rules = cx.rules.load_full();
    let route = rules
        .find_route(head.uri.path())
        .ok_or_else(|| ErrorResponse::not_run(ErrorCode::NoRoute, "No route matches the path."))?;
    let deadline = read_deadline(&head.headers)?;
    let principal = authenticate(&rules, route, &head.headers)?;
    let traffic = &cx.settings.traffic;
    let mut reservation = cx.body_budget.start_reservation();
    let body = read_body_in_budget(
        body,
        traffic.max_body_bytes,
        traffic.body_timeout,
        &mut reservation,
    );
    let body = body.await.map_err(body_error_response)?;
    record_whole_body(&head.extensions);
    let mut req = CallerRequest::new(&head, body);
    let pool = rules.find_pool(&route.pool);
    let is_for_engine = pool.is_some_and(|pool| pool.model.is_some());
    let mut key = KeyWatch::new(&cx.rules, principal.clone());
    let meter = match &principal {
        Some(principal) => {
            let default_output = cx.settings.share.default_output_tokens;
            let tokens = estimate_tokens(&req.body, is_for_engine, default_output);
            let admitted = tokio::select! {
                admitted = TokenMeter::admit(cx, &principal.account, tokens) => admitted,
                () = key.withdrawn() => Err(key_withdrawn_error(Outcome::NotRun)),
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
    let dispatcher = RequestDispatcher {
        cx: Arc::clone(cx),
        client: clients.agents.clone(),
        route: route.clone(),
        rules: Arc::clone(&rules),
        principal,
        request,
        received_at,
        deadline,
        key,
    };
    if is_for_engine {
        let max_prompt_bytes = cx.settings.max_prompt_bytes;
        req.prepare_for_engine(dispatcher.cache_salt(), route.priority, max_prompt_bytes)?;
    }
    if route.once {
        serve_once(dispatcher, clients.once_store.as_ref(), req, meter).await
    } else {
        dispatcher.dispatch(req, meter).await
    }
}

/// Reads the time by which the response must begin, [`DEFAULT_DEADLINE`] from
/// now if the caller sent no header.
fn read_deadline(headers: &HeaderMap) -> Result<Instant, ErrorResponse> {
    let Some(value) = headers.get(DEADLINE_HEADER) else {
        return Ok(Instant::now() + DEFAULT_DEADLINE);
    };
    let millis: Option<u64> = value.to_str().ok().and_then(|text| text.parse().ok());
    let millis = millis.filter(|millis| (1..=MAX_DEADLINE_MS).contains(millis));
    let millis = millis.ok_or_else(|| {
        let message = format!("{DEADLINE_HEADER} must be from 1 to {MAX_DEADLINE_MS}.");
        ErrorResponse::not_run(ErrorCode::BadRequest, message)
    })?;
    Ok(Instant::now() + Duration::from_millis(millis))
}

fn body_error_response(e: BodyReadError) -> ErrorResponse {
    match e {
        BodyReadError::TooLarge => {
            ErrorResponse::not_run(ErrorCode::BodyTooLarge, "The body is larger than allowed.")
        }
        BodyReadError::TimedOut => {
            ErrorResponse::not_run(ErrorCode::BodyTooSlow, "The body came too slowly.")
        }
        BodyReadError::BudgetExhausted => {
            let message = "Too many large requests are being read.";
            ErrorResponse::not_run(ErrorCode::Overloaded, message)
                .with_retry_after(OVERLOAD_RETRY_AFTER)
        }
        BodyReadError::Broken => {
            ErrorResponse::not_run(ErrorCode::BadRequest, "The body broke off.")
        }
    }
}
