//! The HTTP side of a store and the handle that switches its faults.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use http::StatusCode;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::json;
use teaseldrum::core::MonotonicTime;
use teaseldrum::http::BodySender;
use teaseldrum::http::ChannelBody;
use teaseldrum::http::HttpBody;
use teaseldrum::http::full_body;
use tokio::sync::watch;
use tokio::time::sleep;

use super::StoreCounts;
use super::StoreFaults;
use super::state::StoreError;
use super::state::StoreState;
use super::wire::Header;
use super::wire::Number;
use super::wire::Streamed;
use super::wire::WatchCreate;
use super::wire::WatchEvent;
use super::wire::WatchRequest;
use super::wire::WatchResponse;
use crate::background_server::BackgroundServer;
use crate::stand_in::ConnectionDropped;
use crate::stand_in::ProcessControl;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::read_json;
use crate::stand_in::start_stand_in;

const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
const MESSAGES_IN_FLIGHT: usize = 64;

/// A store that runs; dropping it stops it.
#[derive(Debug)]
pub struct StoreHandle {
    running: BackgroundServer,
    shared: Arc<Shared>,
    process: ProcessControl,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    origin: Instant,
    /// Revision up to which watches may be told.
    written: watch::Sender<i64>,
    faults: watch::Sender<StoreFaults>,
}

#[derive(Debug)]
struct Inner {
    state: StoreState,
    counts: StoreCounts,
}

/// Starts a store.
///
/// # Panics
///
/// The address cannot be listened on.
pub fn start_store(address: SocketAddr) -> StoreHandle {
    let shared = Arc::new(Shared::new());
    let process = ProcessControl::new();
    let for_calls = Arc::clone(&shared);
    let handle = move |req| answer(Arc::clone(&for_calls), req);
    let running = start_stand_in(address, process.clone(), handle);
    StoreHandle {
        running,
        shared,
        process,
    }
}

impl StoreHandle {
    /// Address that it serves on.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Returns the faults that are switched on.
    pub fn faults(&self) -> StoreFaults {
        *self.shared.faults.borrow()
    }

    /// Returns how often it was called.
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts
    }

    /// Returns its revision.
    pub fn revision(&self) -> i64 {
        self.shared.lock().state.revision()
    }

    /// Switches whether it listens at all, and lets connections go silent.
    pub fn process(&self) -> &ProcessControl {
        &self.process
    }
}

impl Shared {
    fn new() -> Self {
        Self {
            inner: Mutex::new(Inner {
                state: StoreState::new(),
                counts: StoreCounts::default(),
            }),
            origin: Instant::now(),
            written: watch::Sender::new(0),
            faults: watch::Sender::new(StoreFaults::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.origin.elapsed()
    }

    fn expire_leases(&self) {
        let now = self.now();
        let mut inner = self.lock();
        if inner.state.expire(now) {
            self.publish(&inner.state);
        }
    }

    fn publish(&self, state: &StoreState) {
        self.written.send_replace(state.revision());
    }

    /// Tells whether the answer to a write that just took effect is lost.
    fn loses_answer(&self) -> bool {
        let mut loses = false;
        self.faults.send_if_modified(|faults| {
            loses = faults.drop_responses > 0;
            faults.drop_responses = faults.drop_responses.saturating_sub(1);
            loses
        });
        loses
    }
}

/// What a call of the store may be.
enum Call {
    Read(Result<String, StoreError>),
    Written(Result<String, StoreError>),
}

async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> StandInResult {
    let faults = *shared.faults.borrow();
    if faults.hangs {
        pending::<()>().await;
    }
    if faults.is_unavailable {
        return Ok(answer_problem(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
        ));
    }
    sleep(faults.delay).await;
    shared.expire_leases();
    let path = req.uri().path().to_owned();
    if path == "/v3/watch" {
        return answer_watch(shared, req).await;
    }
    let Some(call) = run_call(&shared, &path, req).await else {
        return Ok(answer_problem(StatusCode::BAD_REQUEST, "malformed call"));
    };
    let result = match call {
        Call::Read(result) => result,
        Call::Written(result) => {
            if result.is_ok() && shared.loses_answer() {
                return Err(ConnectionDropped);
            }
            result
        }
    };
    Ok(match result {
        Ok(text) => answer_text(text),
        Err(StoreError::LeaseNotFound) => {
            let problem = StoreError::LeaseNotFound.as_str();
            answer_problem(StatusCode::NOT_FOUND, problem)
        }
        Err(e) => answer_problem(StatusCode::BAD_REQUEST, e.as_str()),
    })
}

async fn run_call(shared: &Shared, path: &str, req: Request<Incoming>) -> Option<Call> {
    let now = shared.now();
    let call = match path {
        "/v3/kv/range" => {
            let req = read_json(req).await?;
            let mut inner = shared.lock();
            inner.counts.range += 1;
            Call::Read(write(Ok(inner.state.range(&req))))
        }
        "/v3/kv/put" => {
            let req = read_json(req).await?;
            let mut inner = shared.lock();
            inner.counts.put += 1;
            Call::Written(write(inner.state.put(&req)))
        }
        "/v3/kv/txn" => {
            let req = read_json(req).await?;
            let mut inner = shared.lock();
            inner.counts.txn += 1;
            Call::Written(write(inner.state.txn(&req)))
        }
        "/v3/kv/deleterange" => {
            let req = read_json(req).await?;
            let mut inner = shared.lock();
            inner.counts.delete_range += 1;
            Call::Written(write(Ok(inner.state.delete_range(&req))))
        }
        "/v3/lease/grant" => {
            let req = read_json(req).await?;
            let mut inner = shared.lock();
            inner.counts.lease += 1;
            Call::Written(write(Ok(inner.state.grant(&req, now))))
        }
        "/v3/lease/keepalive" => {
            let req = read_json(req).await?;
            let mut inner = shared.lock();
            inner.counts.lease += 1;
            let result = inner.state.keep_alive(&req, now);
            Call::Written(write(Ok(Streamed { result })))
        }
        "/v3/lease/revoke" => {
            let req = read_json(req).await?;
            let mut inner = shared.lock();
            inner.counts.lease += 1;
            Call::Written(write(inner.state.revoke(&req)))
        }
        _ => return None,
    };
    shared.publish(&shared.lock().state);
    Some(call)
}

fn write<T: Serialize>(result: Result<T, StoreError>) -> Result<String, StoreError> {
    result.map(|answer| serde_json::to_string(&answer).expect("JSON"))
}

fn answer_text(text: String) -> Response<HttpBody> {
    Response::new(full_body(text))
}

fn answer_problem(status: StatusCode, problem: &str) -> Response<HttpBody> {
    json_response(
        status,
        &json!({"code": status.as_u16(), "message": problem}),
    )
}

async fn answer_watch(shared: Arc<Shared>, req: Request<Incoming>) -> StandInResult {
    let Some(req) = read_json::<WatchRequest>(req).await else {
        return Ok(answer_problem(StatusCode::BAD_REQUEST, "malformed watch"));
    };
    let (tx, body) = ChannelBody::new(MESSAGES_IN_FLIGHT);
    tokio::spawn(async move {
        {
            let mut inner = shared.lock();
            inner.counts.watch += 1;
            inner.counts.waiting += 1;
        }
        tell_events(&shared, &req.create_request, &tx).await;
        shared.lock().counts.waiting -= 1;
    });
    Ok(Response::new(body.boxed_unsync()))
}

/// Tells a watch of writes until its caller is gone or a fault cuts it.
async fn tell_events(shared: &Shared, create: &WatchCreate, tx: &BodySender) {
    let mut written = shared.written.subscribe();
    let mut faults = shared.faults.subscribe();
    let header = shared.lock().state.header();
    let mut next = match create.start_revision.0 {
        0 => header.revision.0 + 1,
        from => from,
    };
    let mut message = WatchResponse {
        header,
        created: true,
        canceled: false,
        compact_revision: Number(0),
        events: Vec::new(),
    };
    if !send_message(tx, &message).await {
        return;
    }
    message.created = false;
    loop {
        if !wait_while_hanging(&mut faults, tx).await {
            return;
        }
        shared.expire_leases();
        let (header, events, compacted) = read_events(shared, create, next);
        message.header = header;
        let Some(events) = events else {
            message.canceled = true;
            message.compact_revision = Number(compacted);
            send_message(tx, &message).await;
            return;
        };
        next = header.revision.0 + 1;
        message.events = events;
        if !message.events.is_empty() && !send_message(tx, &message).await {
            return;
        }
        tokio::select! {
            _ = written.changed() => {}
            _ = faults.changed() => {}
            () = sleep(EXPIRY_INTERVAL) => {}
            () = tx.closed() => return,
        }
    }
}

type Events = Option<Vec<WatchEvent>>;

fn read_events(shared: &Shared, create: &WatchCreate, next: i64) -> (Header, Events, i64) {
    let inner = shared.lock();
    let events = inner
        .state
        .events_from(&create.key, &create.range_end, next);
    (inner.state.header(), events, inner.state.compacted())
}

/// Returns false if the watch is to be cut.
async fn wait_while_hanging(faults: &mut watch::Receiver<StoreFaults>, tx: &BodySender) -> bool {
    tokio::select! {
        _ = faults.wait_for(|faults| !faults.hangs) => {}
        () = tx.closed() => return false,
    }
    !faults.borrow().is_unavailable
}

async fn send_message(tx: &BodySender, message: &WatchResponse) -> bool {
    let message = Streamed { result: message };
    let mut line = serde_json::to_string(&message).expect("JSON");
    line.push('\n');
    tx.send(line.into()).await
}
