//! Serves at-most-once requests: records the intent of each attempt in the
//! platform's store before it is sent, and its outcome and response after it.

use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_TYPE;
use hyper::Response;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::ErrorCode;
use super::ErrorResponse;
use super::agent_silence::AgentSilence;
use super::attempt::AgentResponse;
use super::caller_request::CallerRequest;
use super::chosen_server::ChosenServer;
use super::error_response::OUTCOME_HEADER;
use super::error_response::REQUEST_ID_HEADER;
use super::once_store::OnceStore;
use super::request_dispatcher::RequestDispatcher;
use super::request_dispatcher::no_server_error;
use super::token_meter::TokenMeter;
use crate::core::Outcome;
use crate::core::RequestId;
use crate::core::ServerName;
use crate::core::once::AttemptTarget;
use crate::core::once::OnceAction;
use crate::core::once::OnceCall;
use crate::core::once::OnceError;
use crate::core::once::OnceEvent;
use crate::core::once::OnceKey;
use crate::core::once::RequestDigest;
use crate::core::once::StoredResponse;
use crate::http::HttpBody;
use crate::http::full_body;
use crate::http::write_event;
use crate::relay::Frame;
use crate::timeline::EventKind;

/// Header with the caller's key for one operation; repeats of the operation
/// carry the same key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

const MAX_KEY_BYTES: usize = 255;
const STORE_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

type CallerResult = Result<Response<HttpBody>, ErrorResponse>;

/// Serves a request that may run at most once. It runs in a task of its own,
/// so that its outcome is recorded even if the caller disconnects.
///
/// # Errors
///
/// The request was refused, or it is unknown whether it ran.
pub async fn serve_once(
    dispatcher: RequestDispatcher,
    store: Option<&OnceStore>,
    req: CallerRequest,
    meter: Option<TokenMeter>,
) -> CallerResult {
    let key = read_idempotency_key(&dispatcher, &req)?;
    let store = store.ok_or_else(|| once_error_response(OnceError::StoreUnavailable))?;
    let digest = RequestDigest::new(req.method.as_str(), &req.target, &req.body);
    let (caller_tx, response_rx) = oneshot::channel();
    let request = dispatcher.request;
    let once_request = OnceRequest {
        call: OnceCall::new(digest, request),
        dispatcher,
        store: store.clone(),
        key,
        req,
        tried: Vec::new(),
        server: None,
        pending_response: None,
        caller_tx: Some(caller_tx),
        meter,
    };
    store.spawn(once_request.run());
    response_rx.await.unwrap_or_else(|_| {
        let message = "The request was dropped.";
        Err(ErrorResponse::new(
            ErrorCode::ServerFailed,
            Outcome::Unknown,
            message,
        ))
    })
}

fn read_idempotency_key(
    dispatcher: &RequestDispatcher,
    req: &CallerRequest,
) -> Result<OnceKey, ErrorResponse> {
    let value = req.headers.get(IDEMPOTENCY_KEY_HEADER);
    let value = value.map(|value| value.as_bytes()).unwrap_or_default();
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        let message = "The route needs an Idempotency-Key header of 1 to 255 bytes.";
        return Err(ErrorResponse::not_run(
            ErrorCode::IdempotencyKeyMissing,
            message,
        ));
    }
    let account = dispatcher.principal.as_ref();
    Ok(OnceKey::new(
        account.map(|principal| &principal.account),
        value,
    ))
}

/// Performs the actions that the state machine [`OnceCall`] of one request
/// returns, and reports their results to it.
struct OnceRequest {
    call: OnceCall,
    dispatcher: RequestDispatcher,
    store: OnceStore,
    key: OnceKey,
    req: CallerRequest,
    tried: Vec<ServerName>,
    server: Option<ChosenServer>,
    /// Response after the latest attempt; sent to the caller once no further
    /// attempt is made.
    pending_response: Option<CallerResult>,
    caller_tx: Option<oneshot::Sender<CallerResult>>,
    /// Charge of the request; `None` if it runs for no account, or after a
    /// refund.
    meter: Option<TokenMeter>,
}

impl OnceRequest {
    async fn run(mut self) {
        let mut event = self.plan_attempt();
        loop {
            let action = self.call.step(event);
            let is_idle = matches!(action, OnceAction::Wait(_) | OnceAction::Stop);
            if self.call.can_answer() && is_idle {
                self.send_pending_response();
            }
            event = match action {
                OnceAction::Write(condition, record) => {
                    self.store.write(self.key, condition, &record).await
                }
                OnceAction::Read => self.store.read(self.key).await,
                OnceAction::Wait(delay) => {
                    sleep(delay).await;
                    OnceEvent::Waited
                }
                OnceAction::Plan => self.plan_attempt(),
                OnceAction::Send(attempt) => self.send_attempt(attempt).await,
                OnceAction::Respond(stored) => {
                    self.pending_response =
                        Some(Ok(build_response(&stored, self.dispatcher.request)));
                    self.refund();
                    self.send_pending_response();
                    OnceEvent::Replied
                }
                OnceAction::Refuse(e) => {
                    self.pending_response = Some(Err(once_error_response(e)));
                    self.send_pending_response();
                    OnceEvent::Replied
                }
                OnceAction::Stop => break,
            };
        }
    }

    /// Chooses a server for the next attempt, unless the failure of the latest
    /// one allows no retry.
    fn plan_attempt(&mut self) -> OnceEvent {
        if self.pending_response.is_some() {
            return OnceEvent::NoServer;
        }
        self.server = None;
        let Some(server) = self.dispatcher.choose_server(&self.req, &mut self.tried) else {
            self.pending_response = Some(Err(no_server_error()));
            return OnceEvent::NoServer;
        };
        let target = AttemptTarget {
            server: server.name.clone(),
            agent: server.report.as_ref().map(|report| report.agent),
        };
        self.server = Some(server);
        OnceEvent::Planned(target)
    }

    async fn send_attempt(&mut self, attempt: u32) -> OnceEvent {
        let Some(server) = self.server.take() else {
            return OnceEvent::NotRun;
        };
        let response = self
            .dispatcher
            .run_attempt(attempt, &server, &self.req, &AgentSilence::default())
            .await;
        let e = match response {
            Ok(response) => return self.read_response(response, server).await,
            Err(e) => e,
        };
        let retry = self
            .dispatcher
            .check_retry(attempt, &server.name, &e, &mut self.tried);
        self.pending_response = retry.err().map(Err);
        if e.failure().is_not_run() {
            OnceEvent::NotRun
        } else {
            OnceEvent::OutcomeUnknown
        }
    }

    /// Reads the whole response, so that it can be stored for repeats of the
    /// request.
    async fn read_response(&mut self, response: AgentResponse, server: ChosenServer) -> OnceEvent {
        let status = response.head.status;
        let content_type = response.head.content_type.clone();
        let max_bytes = self.dispatcher.cx.settings.traffic.max_body_bytes;
        let body = read_whole_body(response, max_bytes).await;
        drop(server);
        match body {
            Ok(body) => {
                if let Some(meter) = &mut self.meter {
                    meter.read_chunk(&body);
                    meter.finish();
                }
                self.record_event(EventKind::Ended(Outcome::Ran));
                let full_response = StoredResponse {
                    status,
                    content_type: content_type.clone(),
                    body: Some(body.clone()),
                };
                self.pending_response =
                    Some(Ok(build_response(&full_response, self.dispatcher.request)));
                OnceEvent::Ran(StoredResponse::new(status, content_type, body))
            }
            Err(reason) => {
                self.record_event(EventKind::Ended(Outcome::Unknown));
                let message = format!("The answer broke off: {reason}.");
                let error = ErrorResponse::new(ErrorCode::AnswerCut, Outcome::Unknown, message);
                self.pending_response = Some(Err(error));
                OnceEvent::OutcomeUnknown
            }
        }
    }

    fn send_pending_response(&mut self) {
        let Some(caller_tx) = self.caller_tx.take() else {
            return;
        };
        let response = self.pending_response.take();
        let response =
            response.unwrap_or_else(|| Err(once_error_response(OnceError::StoreUnavailable)));
        if matches!(&response, Err(e) if e.outcome == Outcome::NotRun) {
            self.refund();
        }
        // Fails if the caller has disconnected.
        let _ = caller_tx.send(response);
    }

    /// Gives the charge back, since this request itself did not run.
    fn refund(&mut self) {
        if let Some(meter) = self.meter.take() {
            meter.refund();
        }
    }

    fn record_event(&self, kind: EventKind) {
        let timeline = &self.dispatcher.cx.timeline;
        timeline.record(Some(self.dispatcher.request), kind);
    }
}

async fn read_whole_body(mut response: AgentResponse, max_bytes: usize) -> Result<Bytes, String> {
    let mut buf = BytesMut::new();
    loop {
        match response.frames.next().await.map_err(|e| e.to_string())? {
            Frame::Body(chunk) => buf.extend_from_slice(&chunk),
            Frame::Event(event) => {
                let data = std::str::from_utf8(&event.data).map_err(|e| e.to_string())?;
                buf.extend_from_slice(&write_event(&event.number.to_string(), "", data));
            }
            Frame::End(_) => {
                response.frames.finish().await;
                return Ok(buf.freeze());
            }
            Frame::Heartbeat => {}
            Frame::Failed(_, reason) => return Err(reason),
            Frame::Accepted(_) | Frame::Refused(..) | Frame::Head(_) => {
                return Err("unexpected frame after the response head".into());
            }
        }
        if buf.len() > max_bytes {
            return Err(format!("response is larger than {max_bytes} bytes"));
        }
    }
}

fn build_response(stored: &StoredResponse, request: RequestId) -> Response<HttpBody> {
    let mut builder = Response::builder()
        .status(stored.status)
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(REQUEST_ID_HEADER, request.to_string());
    if let Some(content_type) = &stored.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    let body = stored.body.clone().unwrap_or_default();
    builder.body(full_body(body)).unwrap_or_else(|_| {
        let message = "The server's answer has a malformed head.";
        ErrorResponse::new(ErrorCode::ServerFailed, Outcome::Ran, message).to_response(request)
    })
}

fn once_error_response(e: OnceError) -> ErrorResponse {
    match e {
        OnceError::KeyReused => {
            let message = "The idempotency key came with a different request before.";
            ErrorResponse::not_run(ErrorCode::IdempotencyKeyReused, message)
        }
        OnceError::InDoubt => {
            let message = "An earlier request with this idempotency key may have run.";
            ErrorResponse::new(ErrorCode::InDoubt, Outcome::Unknown, message)
                .with_retry_after(STORE_RETRY_AFTER)
        }
        OnceError::StoreUnavailable => {
            let message = "The request cannot be recorded now; this request did not run.";
            ErrorResponse::not_run(ErrorCode::StoreUnavailable, message)
                .with_retry_after(STORE_RETRY_AFTER)
        }
        OnceError::ResponseNotStored => {
            let message = "The request ran before; its answer was too large to keep.";
            ErrorResponse::new(ErrorCode::AnswerNotKept, Outcome::Ran, message)
        }
    }
}
