//! HTTP endpoints of a store, and the handle by which a test observes it and
//! injects faults.

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

/// Interval at which open watches check for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

const MAX_BUFFERED_MESSAGES: usize = 64;

/// Handle of a running store. Dropping it stops the server.
#[derive(Debug)]
pub struct StoreHandle {
    server: BackgroundServer,
    shared: Arc<SharedStore>,
    process: ProcessControl,
}

#[derive(Debug)]
struct SharedStore {
    contents: Mutex<StoreContents>,
    started_at: Instant,
    /// Newest revision; open watches wait for its change.
    published_revision: watch::Sender<i64>,
    faults: watch::Sender<StoreFaults>,
}

#[derive(Debug)]
struct StoreContents {
    state: StoreState,
    counts: StoreCounts,
}

/// Starts an empty store.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub fn start_store(address: SocketAddr) -> StoreHandle {
    let shared = Arc::new(SharedStore::new());
    let process = ProcessControl::new();
    let request_state = Arc::clone(&shared);
    let handle = move |req| handle_request(Arc::clone(&request_state), req);
    let server = start_stand_in(address, process.clone(), handle);
    StoreHandle {
        server,
        shared,
        process,
    }
}

impl StoreHandle {
    /// Returns the address that the store listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.shared.faults.send_replace(faults);
    }

    /// Returns the injected faults, with the number of responses still to drop.
    pub fn faults(&self) -> StoreFaults {
        *self.shared.faults.borrow()
    }

    /// Returns the counts of the calls so far.
    pub fn counts(&self) -> StoreCounts {
        self.shared.lock().counts
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.shared.lock().state.revision()
    }

    /// Returns the control that stops, restarts or freezes the server.
    pub fn process(&self) -> &ProcessControl {
        &self.process
    }
}

impl SharedStore {
    fn new() -> Self {
        Self {
            contents: Mutex::new(StoreContents {
                state: StoreState::new(),
                counts: StoreCounts::default(),
            }),
            started_at: Instant::now(),
            published_revision: watch::Sender::new(0),
            faults: watch::Sender::new(StoreFaults::default()),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreContents> {
        self.contents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> MonotonicTime {
        MonotonicTime::ZERO + self.started_at.elapsed()
    }

    fn expire_leases(&self) {
        let now = self.now();
        let mut contents = self.lock();
        if contents.state.expire(now) {
            self.publish(&contents.state);
        }
    }

    fn publish(&self, state: &StoreState) {
        self.published_revision.send_replace(state.revision());
    }

    /// Returns whether the response to the write that just took effect must be
    /// dropped, and counts it as dropped.
    fn take_dropped_response(&self) -> bool {
        let mut is_dropped = false;
        self.faults.send_if_modified(|faults| {
            is_dropped = faults.drop_responses > 0;
            faults.drop_responses = faults.drop_responses.saturating_sub(1);
            is_dropped
        });
        is_dropped
    }
}

/// Result of a call. Only the response to a write can be dropped.
enum CallResult {
    Read(Result<String, StoreError>),
    Write(Result<String, StoreError>),
}

async fn handle_request(shared: Arc<SharedStore>, req: Request<Incoming>) -> StandInResult {
    let faults = *shared.faults.borrow();
    if faults.hangs {
        pending::<()>().await;
    }
    if faults.is_unavailable {
        return Ok(error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            "unavailable",
        ));
    }
    sleep(faults.delay).await;
    shared.expire_leases();
    let path = req.uri().path().to_owned();
    if path == "/v3/watch" {
        return handle_watch(shared, req).await;
    }
    let Some(call) = execute_call(&shared, &path, req).await else {
        return Ok(error_response(StatusCode::BAD_REQUEST, "malformed call"));
    };
    let result = match call {
        CallResult::Read(result) => result,
        CallResult::Write(result) => {
            if result.is_ok() && shared.take_dropped_response() {
                return Err(ConnectionDropped);
            }
            result
        }
    };
    Ok(match result {
        Ok(text) => json_text_response(text),
        Err(StoreError::LeaseNotFound) => {
            let message = StoreError::LeaseNotFound.as_str();
            error_response(StatusCode::NOT_FOUND, message)
        }
        Err(e) => error_response(StatusCode::BAD_REQUEST, e.as_str()),
    })
}

async fn execute_call(
    shared: &SharedStore,
    path: &str,
    req: Request<Incoming>,
) -> Option<CallResult> {
    let now = shared.now();
    let call = match path {
        "/v3/kv/range" => {
            let req = read_json(req).await?;
            let mut contents = shared.lock();
            contents.counts.range += 1;
            CallResult::Read(serialize_result(Ok(contents.state.range(&req))))
        }
        "/v3/kv/put" => {
            let req = read_json(req).await?;
            let mut contents = shared.lock();
            contents.counts.put += 1;
            CallResult::Write(serialize_result(contents.state.put(&req)))
        }
        "/v3/kv/txn" => {
            let req = read_json(req).await?;
            let mut contents = shared.lock();
            contents.counts.txn += 1;
            CallResult::Write(serialize_result(contents.state.txn(&req)))
        }
        "/v3/kv/deleterange" => {
            let req = read_json(req).await?;
            let mut contents = shared.lock();
            contents.counts.delete_range += 1;
            CallResult::Write(serialize_result(Ok(contents.state.delete_range(&req))))
        }
        "/v3/lease/grant" => {
            let req = read_json(req).await?;
            let mut contents = shared.lock();
            contents.counts.lease += 1;
            CallResult::Write(serialize_result(Ok(contents.state.grant(&req, now))))
        }
        "/v3/lease/keepalive" => {
            let req = read_json(req).await?;
            let mut contents = shared.lock();
            contents.counts.lease += 1;
            let result = contents.state.keep_alive(&req, now);
            CallResult::Write(serialize_result(Ok(Streamed { result })))
        }
        "/v3/lease/revoke" => {
            let req = read_json(req).await?;
            let mut contents = shared.lock();
            contents.counts.lease += 1;
            CallResult::Write(serialize_result(contents.state.revoke(&req)))
        }
        _ => return None,
    };
    shared.publish(&shared.lock().state);
    Some(call)
}

fn serialize_result<T: Serialize>(result: Result<T, StoreError>) -> Result<String, StoreError> {
    result.map(|response| serde_json::to_string(&response).expect("the response serializes"))
}

fn json_text_response(text: String) -> Response<HttpBody> {
    Response::new(full_body(text))
}

fn error_response(status: StatusCode, message: &str) -> Response<HttpBody> {
    json_response(
        status,
        &json!({"code": status.as_u16(), "message": message}),
    )
}

async fn handle_watch(shared: Arc<SharedStore>, req: Request<Incoming>) -> StandInResult {
    let Some(req) = read_json::<WatchRequest>(req).await else {
        return Ok(error_response(StatusCode::BAD_REQUEST, "malformed watch"));
    };
    let (tx, body) = ChannelBody::new(MAX_BUFFERED_MESSAGES);
    tokio::spawn(async move {
        {
            let mut contents = shared.lock();
            contents.counts.watch += 1;
            contents.counts.waiting += 1;
        }
        stream_events(&shared, &req.create_request, &tx).await;
        shared.lock().counts.waiting -= 1;
    });
    Ok(Response::new(body.boxed_unsync()))
}

/// Sends the events of a watch until its caller disconnects, a fault ends it or
/// its next revision is compacted.
async fn stream_events(shared: &SharedStore, create: &WatchCreate, tx: &BodySender) {
    let mut published_revision = shared.published_revision.subscribe();
    let mut faults = shared.faults.subscribe();
    let header = shared.lock().state.header();
    let mut next_revision = match create.start_revision.0 {
        0 => header.revision.0 + 1,
        revision => revision,
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
        if !wait_until_not_hanging(&mut faults, tx).await {
            return;
        }
        shared.expire_leases();
        let (header, events, first_kept_revision) =
            read_watch_events(shared, create, next_revision);
        message.header = header;
        let Some(events) = events else {
            message.canceled = true;
            message.compact_revision = Number(first_kept_revision);
            send_message(tx, &message).await;
            return;
        };
        next_revision = header.revision.0 + 1;
        message.events = events;
        if !message.events.is_empty() && !send_message(tx, &message).await {
            return;
        }
        tokio::select! {
            _ = published_revision.changed() => {}
            _ = faults.changed() => {}
            () = sleep(LEASE_CHECK_INTERVAL) => {}
            () = tx.closed() => return,
        }
    }
}

type WatchEvents = Option<Vec<WatchEvent>>;

fn read_watch_events(
    shared: &SharedStore,
    create: &WatchCreate,
    next_revision: i64,
) -> (Header, WatchEvents, i64) {
    let contents = shared.lock();
    let events = contents
        .state
        .events_from(&create.key, &create.range_end, next_revision);
    (
        contents.state.header(),
        events,
        contents.state.first_kept_revision(),
    )
}

/// Waits while the store hangs. Returns false if the watch must end, because its
/// caller has gone or the store is unavailable.
async fn wait_until_not_hanging(
    faults: &mut watch::Receiver<StoreFaults>,
    tx: &BodySender,
) -> bool {
    tokio::select! {
        _ = faults.wait_for(|faults| !faults.hangs) => {}
        () = tx.closed() => return false,
    }
    !faults.borrow().is_unavailable
}

async fn send_message(tx: &BodySender, message: &WatchResponse) -> bool {
    let message = Streamed { result: message };
    let mut line = serde_json::to_string(&message).expect("the message serializes");
    line.push('\n');
    tx.send(line.into()).await
}
