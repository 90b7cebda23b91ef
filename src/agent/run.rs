//! Starts an agent, serves until it is told to stop, then drains it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::AgentContext;
use super::control::start_control;
use super::handle_attempt::ThreadContext;
use super::handle_attempt::handle_attempt;
use crate::http::Client;
use crate::http::ClientTimeouts;
use crate::http::serve;
use crate::operator::OperatorServer;
use crate::operator::RoleStatus;
use crate::settings::AgentSettings;
use crate::threads::StartError;
use crate::threads::build_runtime;
use crate::threads::join_threads;
use crate::threads::open_listener;
use crate::threads::spawn_traffic_threads;
use crate::threads::wait_for_stop;
use crate::timeline::EventKind;

/// Maximum wait for the head of a backend server's response. The deadline of
/// each attempt limits it further.
const MAX_HEAD_TIMEOUT: Duration = Duration::from_secs(600);

/// Runs an agent until SIGTERM or SIGINT.
///
/// # Errors
///
/// The agent cannot start: an address cannot be bound or a thread not started.
pub fn run_agent(settings: AgentSettings) -> Result<(), StartError> {
    let (_stop_tx, stop) = watch::channel(false);
    serve_agent(settings, stop, |_| {})
}

/// Runs an agent until SIGTERM or SIGINT, or until `stop` becomes true, and
/// returns after it has drained. `on_ready` is called with the traffic address
/// once the agent accepts connections from entries.
///
/// # Errors
///
/// The agent cannot start: an address cannot be bound or a thread not started.
pub fn serve_agent(
    settings: AgentSettings,
    stop: watch::Receiver<bool>,
    on_ready: impl FnOnce(SocketAddr),
) -> Result<(), StartError> {
    let listener = open_listener(settings.listen.traffic)?;
    let address = listener.local_addr().map_err(StartError::Thread)?;
    let cx = Arc::new(AgentContext::new(settings));
    let control = start_control(&cx)?;
    let role_status = Arc::clone(&cx) as Arc<dyn RoleStatus>;
    let operator = cx.settings.listen.operator;
    let operator = operator.map(|address| OperatorServer::start(address, role_status));
    let operator = operator.transpose()?;
    let (drain_tx, drain_rx) = watch::channel(false);
    let threads = spawn_agent_threads(&cx, &listener, &drain_rx)?;
    drop(listener);
    cx.timeline.record(None, EventKind::Started);
    log::info!("agent: Serving on {address}.");
    on_ready(address);
    let drain_linger = cx.settings.traffic.drain_linger;
    build_runtime()?.block_on(async {
        wait_for_stop(stop).await;
        cx.leaving.store(true, Ordering::Release);
        cx.timeline.record(None, EventKind::Draining);
        log::info!("agent: Draining.");
        sleep(drain_linger).await;
    });
    drain_tx.send_replace(true);
    join_threads(threads);
    drop(operator);
    drop(control);
    log::info!("agent: Stopped.");
    Ok(())
}

fn spawn_agent_threads(
    cx: &Arc<AgentContext>,
    listener: &std::net::TcpListener,
    drain: &watch::Receiver<bool>,
) -> Result<Vec<std::thread::JoinHandle<()>>, StartError> {
    let cx = Arc::clone(cx);
    let drain = drain.clone();
    let count = cx.settings.traffic.threads;
    spawn_traffic_threads(listener, count, move |listener| {
        let cx = Arc::clone(&cx);
        let drain = drain.clone();
        async move {
            let thread_cx = ThreadContext {
                client: Client::new(ClientTimeouts {
                    head: MAX_HEAD_TIMEOUT,
                    ..cx.settings.traffic.client_timeouts()
                })
                .with_dead_server_timeout(MAX_HEAD_TIMEOUT),
                calls: TaskTracker::new(),
            };
            let calls = thread_cx.calls.clone();
            let limits = cx.settings.traffic.server_limits();
            let drain_timeout = limits.drain_timeout;
            let handle =
                move |req, _peer_address| handle_attempt(Arc::clone(&cx), thread_cx.clone(), req);
            if !serve(listener, limits, handle, drain).await {
                log::warn!("agent: Drain timed out; requests were cut.");
            }
            calls.close();
            if timeout(drain_timeout, calls.wait()).await.is_err() {
                log::warn!("agent: Drain timed out; calls of the backend server were cut.");
            }
        }
    })
}
