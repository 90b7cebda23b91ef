//! Stand-in for a plain service. It counts the runs of each call and fails calls
//! as configured.

use std::collections::BTreeMap;
use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::HeaderValue;
use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use serde_json::Value;
use serde_json::json;
use teaseldrum::http::read_body;
use tokio::time::sleep;

use crate::background_server::BackgroundServer;
use crate::stand_in::ConnectionDropped;
use crate::stand_in::ProcessControl;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::start_stand_in;

const REQUEST_ID_HEADER: &str = "x-request-id";
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Way in which a service fails a call.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ServiceFault {
    /// The call succeeds.
    #[default]
    None,
    /// The connection closes without a response after the call ran.
    DisconnectsAfterRun,
    /// The call runs, but no response follows and the connection stays open.
    HangsAfterRun,
    /// The connection closes before the call runs.
    DisconnectsBeforeRun,
    /// The response carries the request id of another request.
    WrongRequestId,
    /// The call runs and the response has this HTTP status.
    Status(u16),
}

/// Configured behaviour of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceBehaviour {
    /// Fault of every call.
    pub fault: ServiceFault,
    /// Time from the arrival of a call until its run is counted.
    pub run_time: Duration,
    /// Additional time from the run to the response.
    pub response_delay: Duration,
}

/// Number of runs by idempotency key or, for calls without one, by path.
pub type RunCounts = BTreeMap<String, u64>;

#[derive(Debug, Default)]
struct ServiceState {
    behaviour: ServiceBehaviour,
    runs: RunCounts,
    received_headers: Vec<String>,
}

/// Handle of a running plain service. Dropping it stops the server.
#[derive(Debug)]
pub struct ServiceHandle {
    server: BackgroundServer,
    state: Arc<Mutex<ServiceState>>,
    process: ProcessControl,
}

/// Starts a plain service that answers every path.
///
/// # Panics
///
/// Panics if the address cannot be bound.
pub fn start_service(address: SocketAddr) -> ServiceHandle {
    let state = Arc::<Mutex<ServiceState>>::default();
    let process = ProcessControl::new();
    let request_state = Arc::clone(&state);
    let handle = move |req| handle_request(Arc::clone(&request_state), req);
    let server = start_stand_in(address, process.clone(), handle);
    ServiceHandle {
        server,
        state,
        process,
    }
}

impl ServiceHandle {
    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Sets the behaviour for calls that arrive from now on.
    pub fn set_behaviour(&self, behaviour: ServiceBehaviour) {
        lock(&self.state).behaviour = behaviour;
    }

    /// Returns the number of runs of every call so far.
    pub fn run_counts(&self) -> RunCounts {
        lock(&self.state).runs.clone()
    }

    /// Returns the number of runs of the call with an idempotency key.
    pub fn run_count(&self, key: &str) -> u64 {
        lock(&self.state).runs.get(key).copied().unwrap_or(0)
    }

    /// Returns the names of all request headers received so far, each once.
    pub fn received_headers(&self) -> Vec<String> {
        lock(&self.state).received_headers.clone()
    }

    /// Returns the control that stops, restarts or freezes the server.
    pub fn process(&self) -> &ProcessControl {
        &self.process
    }
}

fn lock(state: &Mutex<ServiceState>) -> MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

async fn handle_request(state: Arc<Mutex<ServiceState>>, req: Request<Incoming>) -> StandInResult {
    let behaviour = lock(&state).behaviour;
    let request_id = read_header(&req, REQUEST_ID_HEADER).unwrap_or_default();
    let key = read_header(&req, IDEMPOTENCY_KEY_HEADER);
    let path = String::from(req.uri().path());
    record_headers(&state, &req);
    let body = read_body(req.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT);
    let body = body.await.map_err(|_| ConnectionDropped)?;
    if behaviour.fault == ServiceFault::DisconnectsBeforeRun {
        return Err(ConnectionDropped);
    }
    sleep(behaviour.run_time).await;
    let run = count_run(&state, key.as_ref().unwrap_or(&path));
    sleep(behaviour.response_delay).await;
    let mut status = StatusCode::OK;
    match behaviour.fault {
        ServiceFault::None | ServiceFault::DisconnectsBeforeRun | ServiceFault::WrongRequestId => {}
        ServiceFault::DisconnectsAfterRun => return Err(ConnectionDropped),
        ServiceFault::HangsAfterRun => pending().await,
        ServiceFault::Status(code) => {
            status = StatusCode::from_u16(code).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
    let body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let response_body = json!({"path": path, "key": key, "run": run, "body": body});
    let mut response = json_response(status, &response_body);
    let response_request_id = match behaviour.fault {
        ServiceFault::WrongRequestId => "of-another",
        _ => &request_id,
    };
    if let Ok(value) = HeaderValue::from_str(response_request_id) {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    Ok(response)
}

fn read_header(req: &Request<Incoming>, name: &str) -> Option<String> {
    let value = req.headers().get(name)?;
    value.to_str().ok().map(String::from)
}

fn record_headers(state: &Mutex<ServiceState>, req: &Request<Incoming>) {
    let mut state = lock(state);
    for name in req.headers().keys() {
        if !state
            .received_headers
            .iter()
            .any(|seen| seen == name.as_str())
        {
            state.received_headers.push(name.as_str().into());
        }
    }
}

fn count_run(state: &Mutex<ServiceState>, key: &str) -> u64 {
    let mut state = lock(state);
    let runs = state.runs.entry(key.into()).or_default();
    *runs += 1;
    *runs
}
