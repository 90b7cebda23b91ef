//! Starts the threads of an entry, serves until it is told to stop, then
//! drains.

use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

use super::EntryContext;
use super::control::start_control;
use super::handle::OutboundClients;
use super::handle::handle_request;
use super::once_store::OnceStore;
use super::slot_lease::hand_over_slots;
use crate::core::Revision;
use crate::http::Client;
use crate::http::ClientTimeouts;
use crate::http::serve;
use crate::operator::OperatorServer;
use crate::operator::RoleStatus;
use crate::rules::RuleError;
use crate::rules::RuleSet;
use crate::rules::parse_rules;
use crate::settings::EntrySettings;
use crate::threads::StartError;
use crate::threads::build_runtime;
use crate::threads::join_threads;
use crate::threads::open_listener;
use crate::threads::spawn_traffic_threads;
use crate::threads::wait_for_stop;
use crate::timeline::EventKind;

/// Longest time for which an agent may be silent: that of the longest deadline. Attempts
/// end with their own deadlines.
const MAX_AGENT_SILENCE: Duration = Duration::from_secs(600);

/// Why an entry could not start.
#[derive(Debug)]
pub enum RunError {
    /// A listener could not be opened or a thread not spawned.
    Start(StartError),
    /// The rules file could not be read.
    RulesUnreadable(std::io::Error),
    /// The rules file is invalid; holds every fault that was found.
    RulesInvalid(Vec<RuleError>),
}

impl fmt::Display for RunError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(e) => e.fmt(f),
            Self::RulesUnreadable(e) => write!(f, "rules file cannot be read: {e}"),
            Self::RulesInvalid(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                write!(f, "rules file has faults:\n{}", lines.join("\n"))
            }
        }
    }
}

impl From<StartError> for RunError {
    fn from(e: StartError) -> Self {
        Self::Start(e)
    }
}

/// Runs an entry until SIGTERM or SIGINT.
///
/// # Errors
///
/// The entry could not start.
pub fn run_entry(settings: EntrySettings) -> Result<(), RunError> {
    let (_stop_sender, stop) = watch::channel(false);
    serve_entry(settings, stop, |_| {})
}

/// Runs an entry until SIGTERM or SIGINT, or until `stop` turns true, and
/// returns once it has drained. `on_ready` is called with the traffic address
/// as soon as callers are served.
///
/// # Errors
///
/// The entry could not start.
pub fn serve_entry(
    settings: EntrySettings,
    stop: watch::Receiver<bool>,
    on_ready: impl FnOnce(SocketAddr),
) -> Result<(), RunError> {
    let rules = load_rules(&settings)?;
    let listener = open_listener(settings.listen.traffic)?;
    let address = listener.local_addr().map_err(StartError::Thread)?;
    let cx = Arc::new(EntryContext::new(settings, rules));
    let control = start_control(&cx)?;
    let observed = Arc::clone(&cx) as Arc<dyn RoleStatus>;
    let operator = cx.settings.listen.operator;
    let operator = operator.map(|address| OperatorServer::start(address, observed));
    let operator = operator.transpose()?;
    let (drain_tx, drain_rx) = watch::channel(false);
    let threads = spawn_threads(&cx, &listener, &drain_rx)?;
    drop(listener);
    cx.timeline.record(None, EventKind::Started);
    log::info!("entry: Serving on {address}.");
    on_ready(address);
    let linger = cx.settings.traffic.drain_linger;
    build_runtime()?.block_on(async {
        wait_for_stop(stop).await;
        cx.draining.store(true, Ordering::Release);
        cx.timeline.record(None, EventKind::Draining);
        log::info!("entry: Draining.");
        cx.limiter.update(|limiter, now| limiter.start_leaving(now));
        sleep(linger).await;
    });
    drain_tx.send_replace(true);
    join_threads(threads);
    build_runtime()?.block_on(hand_over_slots(&cx));
    drop(operator);
    drop(control);
    log::info!("entry: Stopped.");
    Ok(())
}

fn spawn_threads(
    cx: &Arc<EntryContext>,
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
            // An agent that is silent keeps its attempts until their deadlines.
            let agents = Client::new(ClientTimeouts {
                head: MAX_AGENT_SILENCE,
                ..cx.settings.traffic.client_timeouts()
            })
            .with_dead_server_timeout(MAX_AGENT_SILENCE);
            let limits = cx.settings.traffic.server_limits();
            let clients = OutboundClients {
                agents,
                once_store: OnceStore::start(&cx.settings),
            };
            let once_store = clients.once_store.clone();
            let drain_timeout = limits.drain_timeout;
            let handle = move |req, _caller| handle_request(Arc::clone(&cx), clients.clone(), req);
            if !serve(listener, limits, handle, drain).await {
                log::warn!("entry: Drain timed out; requests were cut.");
            }
            if let Some(once_store) = once_store {
                once_store.drain(drain_timeout).await;
            }
        }
    })
}

fn load_rules(settings: &EntrySettings) -> Result<RuleSet, RunError> {
    let Some(path) = &settings.rules_file else {
        return Ok(RuleSet::default());
    };
    let text = fs::read_to_string(path).map_err(RunError::RulesUnreadable)?;
    parse_rules(&text, Revision(0)).map_err(RunError::RulesInvalid)
}
