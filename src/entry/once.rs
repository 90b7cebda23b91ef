//! Serves requests that may run at most once.

use bytes::Bytes;
use bytes::BytesMut;
use http::header::CONTENT_TYPE;
use hyper::Response;
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::AnswerError;
use super::ErrorCode;
use super::answer_error::OUTCOME_HEADER;
use super::answer_error::REQUEST_ID_HEADER;
use super::attempt::Answer;
use super::caller_request::CallerRequest;
use super::choice::Choice;
use super::meter::Meter;
use super::once_store::OnceStore;
use super::planner::Planner;
use super::planner::refuse_without_server;
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
use crate::http::AnswerBody;
use crate::http::full_body;
use crate::http::write_event;
use crate::relay::Frame;
use crate::timeline::EventKind;

/// Header in which a caller names its operation.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

const MAX_KEY_BYTES: usize = 255;
const STORE_RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

type CallerAnswer = Result<Response<AnswerBody>, AnswerError>;

/// Serves a request that may run at most once. Once its intent is recorded it
/// goes on though the caller goes away.
///
/// # Errors
///
/// The request was refused, or it is not known whether it ran.
pub async fn serve_once(
    planner: Planner,
    store: Option<&OnceStore>,
    req: CallerRequest,
    meter: Option<Meter>,
) -> CallerAnswer {
    let key = read_key(&planner, &req)?;
    let store = store.ok_or_else(|| explain(OnceError::StoreUnavailable))?;
    let digest = RequestDigest::new(req.method.as_str(), &req.target, &req.body);
    let (reply, answer) = oneshot::channel();
    let request = planner.request;
    let run = OnceRun {
        call: OnceCall::new(digest, request),
        planner,
        store: store.clone(),
        key,
        req,
        tried: Vec::new(),
        choice: None,
        pending: None,
        reply: Some(reply),
        meter,
    };
    store.spawn(run.run());
    answer.await.unwrap_or_else(|_| {
        let message = "The request was dropped.";
        Err(AnswerError::new(
            ErrorCode::ServerFailed,
            Outcome::Unknown,
            message,
        ))
    })
}

fn read_key(planner: &Planner, req: &CallerRequest) -> Result<OnceKey, AnswerError> {
    let value = req.headers.get(IDEMPOTENCY_KEY_HEADER);
    let value = value.map(|value| value.as_bytes()).unwrap_or_default();
    if value.is_empty() || value.len() > MAX_KEY_BYTES {
        let message = "The route needs an Idempotency-Key header of 1 to 255 bytes.";
        return Err(AnswerError::not_run(
            ErrorCode::IdempotencyKeyMissing,
            message,
        ));
    }
    let account = planner.principal.as_ref();
    Ok(OnceKey::new(
        account.map(|principal| &principal.account),
        value,
    ))
}

/// One request that may run at most once, carrying out what its
/// [`OnceCall`] decides.
struct OnceRun {
    call: OnceCall,
    planner: Planner,
    store: OnceStore,
    key: OnceKey,
    req: CallerRequest,
    tried: Vec<ServerName>,
    choice: Option<Choice>,
    /// Answer of the latest attempt; the caller gets it once no further
    /// attempt is made.
    pending: Option<CallerAnswer>,
    reply: Option<oneshot::Sender<CallerAnswer>>,
    /// Charge of the request; none on an open route.
    meter: Option<Meter>,
}

impl OnceRun {
    async fn run(mut self) {
        let mut event = self.plan();
        loop {
            let action = self.call.step(event);
            let is_idle = matches!(action, OnceAction::Wait(_) | OnceAction::Stop);
            if self.call.is_answered() && is_idle {
                self.reply_pending();
            }
            event = match action {
                OnceAction::Write(expect, record) => {
                    self.store.write(self.key, expect, &record).await
                }
                OnceAction::Read => self.store.read(self.key).await,
                OnceAction::Wait(span) => {
                    sleep(span).await;
                    OnceEvent::Waited
                }
                OnceAction::Plan => self.plan(),
                OnceAction::Send(attempt) => self.send(attempt).await,
                OnceAction::Respond(kept) => {
                    self.pending = Some(Ok(build_response(&kept, self.planner.request)));
                    self.refund();
                    self.reply_pending();
                    OnceEvent::Replied
                }
                OnceAction::Refuse(e) => {
                    self.pending = Some(Err(explain(e)));
                    self.reply_pending();
                    OnceEvent::Replied
                }
                OnceAction::Stop => break,
            };
        }
    }

    /// Plans the next attempt, unless the latest failure was final.
    fn plan(&mut self) -> OnceEvent {
        if self.pending.is_some() {
            return OnceEvent::NoServer;
        }
        self.choice = None;
        let Some(choice) = self.planner.choose(&self.req, &mut self.tried) else {
            self.pending = Some(Err(refuse_without_server()));
            return OnceEvent::NoServer;
        };
        let plan = AttemptTarget {
            server: choice.name.clone(),
            agent: choice.report.as_ref().map(|report| report.agent),
        };
        self.choice = Some(choice);
        OnceEvent::Planned(plan)
    }

    async fn send(&mut self, attempt: u32) -> OnceEvent {
        let Some(choice) = self.choice.take() else {
            return OnceEvent::NotRun;
        };
        let answer = self.planner.attempt(attempt, &choice, &self.req).await;
        let e = match answer {
            Ok(answer) => return self.collect(answer, choice).await,
            Err(e) => e,
        };
        let judged = self
            .planner
            .judge(attempt, &choice.name, &e, &mut self.tried);
        self.pending = judged.err().map(Err);
        if e.failure().is_not_run() {
            OnceEvent::NotRun
        } else {
            OnceEvent::OutcomeUnknown
        }
    }

    /// Reads the whole answer, so that it can be kept.
    async fn collect(&mut self, answer: Answer, choice: Choice) -> OnceEvent {
        let status = answer.head.status;
        let content_type = answer.head.content_type.clone();
        let max_bytes = self.planner.cx.settings.traffic.max_body_bytes;
        let body = read_whole(answer, max_bytes).await;
        drop(choice);
        match body {
            Ok(body) => {
                if let Some(meter) = &mut self.meter {
                    meter.read_chunk(&body);
                    meter.finish();
                }
                self.record(EventKind::Ended(Outcome::Ran));
                let whole = StoredResponse {
                    status,
                    content_type: content_type.clone(),
                    body: Some(body.clone()),
                };
                self.pending = Some(Ok(build_response(&whole, self.planner.request)));
                OnceEvent::Ran(StoredResponse::new(status, content_type, body))
            }
            Err(reason) => {
                self.record(EventKind::Ended(Outcome::Unknown));
                let message = format!("The answer broke off: {reason}.");
                let error = AnswerError::new(ErrorCode::AnswerCut, Outcome::Unknown, message);
                self.pending = Some(Err(error));
                OnceEvent::OutcomeUnknown
            }
        }
    }

    fn reply_pending(&mut self) {
        let Some(reply) = self.reply.take() else {
            return;
        };
        let answer = self.pending.take();
        let answer = answer.unwrap_or_else(|| Err(explain(OnceError::StoreUnavailable)));
        if matches!(&answer, Err(e) if e.outcome == Outcome::NotRun) {
            self.refund();
        }
        // A caller that went away needs no answer.
        let _ = reply.send(answer);
    }

    /// Returns the charge of a request that did not run this time.
    fn refund(&mut self) {
        if let Some(meter) = self.meter.take() {
            meter.refund();
        }
    }

    fn record(&self, kind: EventKind) {
        let timeline = &self.planner.cx.timeline;
        timeline.record(Some(self.planner.request), kind);
    }
}

async fn read_whole(mut answer: Answer, max_bytes: usize) -> Result<Bytes, String> {
    let mut buf = BytesMut::new();
    loop {
        match answer.frames.next().await.map_err(|e| e.to_string())? {
            Frame::Body(chunk) => buf.extend_from_slice(&chunk),
            Frame::Event(event) => {
                let data = std::str::from_utf8(&event.data).map_err(|e| e.to_string())?;
                buf.extend_from_slice(&write_event(&event.number.to_string(), "", data));
            }
            Frame::End(_) => {
                answer.frames.finish().await;
                return Ok(buf.freeze());
            }
            Frame::Heartbeat => {}
            Frame::Failed(_, reason) => return Err(reason),
            Frame::Accepted(_) | Frame::Refused(..) | Frame::Head(_) => {
                return Err("second head".into());
            }
        }
        if buf.len() > max_bytes {
            return Err("answer too large".into());
        }
    }
}

fn build_response(kept: &StoredResponse, request: RequestId) -> Response<AnswerBody> {
    let mut builder = Response::builder()
        .status(kept.status)
        .header(OUTCOME_HEADER, Outcome::Ran.as_str())
        .header(REQUEST_ID_HEADER, request.to_string());
    if let Some(content_type) = &kept.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    let body = kept.body.clone().unwrap_or_default();
    builder.body(full_body(body)).unwrap_or_else(|_| {
        let problem = "The server's answer has a malformed head.";
        AnswerError::new(ErrorCode::ServerFailed, Outcome::Ran, problem).to_response(request)
    })
}

fn explain(e: OnceError) -> AnswerError {
    match e {
        OnceError::KeyReused => {
            let message = "The idempotency key came with a different request before.";
            AnswerError::not_run(ErrorCode::IdempotencyKeyReused, message)
        }
        OnceError::InDoubt => {
            let message = "An earlier request with this idempotency key may have run.";
            AnswerError::new(ErrorCode::InDoubt, Outcome::Unknown, message)
                .with_retry_after(STORE_RETRY_AFTER)
        }
        OnceError::StoreUnavailable => {
            let message = "The request cannot be recorded now; this request did not run.";
            AnswerError::not_run(ErrorCode::StoreUnavailable, message)
                .with_retry_after(STORE_RETRY_AFTER)
        }
        OnceError::ResponseNotStored => {
            let message = "The request ran before; its answer was too large to keep.";
            AnswerError::new(ErrorCode::AnswerNotKept, Outcome::Ran, message)
        }
    }
}
