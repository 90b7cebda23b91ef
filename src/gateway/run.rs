//! Startup, traffic and shutdown of a gateway.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;

use super::admission::look_at_waiting_calls;
use super::context::GatewayContext;
use super::context::GatewayPorts;
use super::exchange_peer_state::exchange_peer_state;
use super::follow_agents::follow_agents;
use super::follow_kv_cache_stores::follow_kv_cache_stores;
use super::follow_store::follow_area;
use super::follow_store::ping_store;
use super::grant_orders::grant_orders;
use super::lead_rollouts::lead_rollouts;
use super::read_call::CallerAddress;
use super::report_mesh_traffic::report_mesh_traffic;
use super::serve_call::serve_call;
use super::share_quarantine::quarantine_culprits;
use super::status_pages::serve_status_page;
use super::stream_keepers::tell_stream_keepers;
use super::substitute_agents::substitute_agents;
use super::unended_holds::end_holds;
use super::zone_relaying::plan_zone_exchanges;
use crate::core::ServerName;
use crate::core::fleet::CallerLimits;
use crate::core::fleet::RecordUse;
use crate::core::fleet::SpeedChange;
use crate::core::fleet::StopPlan;
use crate::core::fleet::ZoneShare;
use crate::http::ServerLimits;
use crate::http::serve;
use crate::http::status_page_limits;
use crate::ports::Area;
use crate::settings::GatewaySettings;
use crate::stop_signals::StopSignals;
use crate::threads::StartError;
use crate::threads::build_runtime;
use crate::threads::open_tokio_listener;
use crate::threads::run_reload_loop;

/// Interval between checks for the first configuration.
const FIRST_CONFIGURATION_POLL: Duration = Duration::from_millis(20);

/// Maximum wait for the first configuration before connections of callers are
/// accepted.
const FIRST_CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(800);

/// Interval between maintenance runs.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which the process notes that it runs.
const RUN_NOTE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between checks for changed settings.
const RELOAD_INTERVAL: Duration = Duration::from_secs(5);

/// Delay of a maintenance run from which the process is logged as having stood
/// still.
const MIN_LOGGED_STALL: Duration = Duration::from_millis(300);

/// Reason why a gateway cannot run.
#[derive(Debug)]
pub enum GatewayError {
    /// A listener or the runtime cannot be created.
    Start(StartError),
}

impl fmt::Display for GatewayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Start(e) => e.fmt(f),
        }
    }
}

impl From<StartError> for GatewayError {
    fn from(e: StartError) -> Self {
        Self::Start(e)
    }
}

/// Runs a gateway until SIGTERM or SIGINT, on one thread: its hosts have one
/// core, and a second thread would only wait for that core.
///
/// # Errors
///
/// The gateway cannot start.
pub fn run_gateway(
    settings: GatewaySettings,
    settings_file: PathBuf,
    ports: GatewayPorts,
) -> Result<(), GatewayError> {
    let (_stop_sender, stop) = watch::channel(false);
    serve_gateway(settings, settings_file, ports, stop)
}

/// Runs a gateway until SIGTERM or SIGINT, or until `stop` becomes true.
///
/// # Errors
///
/// The gateway cannot start.
pub fn serve_gateway(
    settings: GatewaySettings,
    settings_file: PathBuf,
    ports: GatewayPorts,
    stop: watch::Receiver<bool>,
) -> Result<(), GatewayError> {
    let cx = Arc::new(GatewayContext::new(settings, ports));
    build_runtime()?.block_on(run_until_stopped(cx, settings_file, stop))
}

async fn run_until_stopped(
    cx: Arc<GatewayContext>,
    settings_file: PathBuf,
    stop_request: watch::Receiver<bool>,
) -> Result<(), GatewayError> {
    let installed_at = cx.now();
    let mut stop_signals = StopSignals::install(stop_request);
    tokio::spawn(reload_settings(Arc::clone(&cx), settings_file));
    let listen = cx.settings.listen.clone();
    log::info!(
        "gateway: started name={} zone={} incarnation={:x} first_start={} seeds={:?} bounds={:?}",
        cx.settings.name,
        cx.settings.zone,
        cx.incarnation,
        cx.settings.is_first_start,
        cx.settings.seeds,
        cx.settings.bounds,
    );
    let (stop_tx, stop) = watch::channel(false);
    spawn_status_pages(&cx, listen.health, &stop)?;
    if let Some(metrics) = listen.metrics {
        // Callers are served even if the metrics cannot be.
        if let Err(e) = spawn_status_pages(&cx, metrics, &stop) {
            log::error!("gateway: metrics not served reason=\"{e}\"");
        }
    }
    let peers = open_tokio_listener(listen.peers)?;
    tokio::spawn(exchange_peer_state(Arc::clone(&cx), peers));
    tokio::spawn(follow_area(Arc::clone(&cx), Area::Operator));
    tokio::spawn(follow_area(Arc::clone(&cx), Area::Members));
    tokio::spawn(ping_store(Arc::clone(&cx)));
    tokio::spawn(follow_agents(Arc::clone(&cx)));
    tokio::spawn(substitute_agents(Arc::clone(&cx)));
    tokio::spawn(grant_orders(Arc::clone(&cx)));
    tokio::spawn(end_holds(Arc::clone(&cx)));
    tokio::spawn(follow_kv_cache_stores(Arc::clone(&cx)));
    tokio::spawn(tell_stream_keepers(Arc::clone(&cx)));
    tokio::spawn(quarantine_culprits(Arc::clone(&cx)));
    tokio::spawn(lead_rollouts(Arc::clone(&cx)));
    tokio::spawn(plan_zone_exchanges(Arc::clone(&cx)));
    tokio::spawn(run_maintenance(Arc::clone(&cx)));
    tokio::spawn(note_run(Arc::clone(&cx)));
    tokio::spawn(report_mesh_traffic(Arc::clone(&cx)));
    if cx.settings.has_admission() {
        tokio::spawn(look_at_waiting_calls(Arc::clone(&cx)));
    }
    let traffic = open_tokio_listener(listen.traffic)?;
    let mut traffic_server = tokio::spawn(serve_traffic(Arc::clone(&cx), traffic, stop.clone()));
    let requested_at = stop_signals.wait_since(cx.clock(), installed_at).await;
    let now = cx.now();
    let plan = StopPlan::new(requested_at, now, cx.settings.stop_timeout);
    cx.start_drain(plan, now);
    log::info!(
        "gateway: draining name={} unseen_ms={}",
        cx.settings.name,
        now.since(requested_at).as_millis()
    );
    cx.clock().sleep_until(plan.accepts_until).await;
    stop_tx.send_replace(true);
    let all_calls_ended = tokio::select! {
        ended = &mut traffic_server => ended.unwrap_or(false),
        () = end_drain(&cx, &plan) => false,
    };
    log::info!(
        "gateway: stopped name={} all_calls_ended={all_calls_ended}",
        cx.settings.name
    );
    Ok(())
}

/// Lets calls that still run end with their last answers, and returns when the process
/// must exit.
async fn end_drain(cx: &GatewayContext, plan: &StopPlan) {
    cx.clock().sleep_until(plan.ends_at).await;
    cx.drain.end();
    cx.clock().sleep_until(plan.exits_at).await;
}

fn spawn_status_pages(
    cx: &Arc<GatewayContext>,
    address: SocketAddr,
    stop: &watch::Receiver<bool>,
) -> Result<(), StartError> {
    let listener = open_tokio_listener(address)?;
    let reader = cx.settings.reader_limits(&cx.byte_budget);
    let cx = Arc::clone(cx);
    let stop = stop.clone();
    let handle = move |req, _caller| serve_status_page(Arc::clone(&cx), req);
    tokio::spawn(serve(listener, status_page_limits(reader), handle, stop));
    Ok(())
}

/// Serves callers once there is a configuration, or without one after
/// [`FIRST_CONFIGURATION_TIMEOUT`]. Returns whether all calls ended in time
/// after the stop.
async fn serve_traffic(
    cx: Arc<GatewayContext>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
) -> bool {
    let limits = wait_for_caller_limits(&cx, &stop).await;
    let limits = ServerLimits {
        max_connections: cx.settings.max_connections(),
        max_head_bytes: limits.max_head_bytes.max(8_192),
        // hyper counts the idle time before a head as part of the head's time.
        head_timeout: limits.idle_timeout,
        dead_peer_timeout: limits.idle_timeout,
        // The exit of the process ends it sooner.
        drain_timeout: cx.settings.stop_timeout,
        reader: Some(cx.settings.reader_limits(&cx.byte_budget)),
    };
    let handle = move |mut req: Request<Incoming>, caller| {
        req.extensions_mut().insert(CallerAddress(caller));
        serve_call(Arc::clone(&cx), req)
    };
    serve(listener, limits, handle, stop).await
}

/// Applies the seeds of a changed settings file. The other settings take effect
/// at the next start.
async fn reload_settings(cx: Arc<GatewayContext>, settings_file: PathBuf) {
    let mut loaded = cx.settings.clone();
    let reload = move |is_signal: bool| match GatewaySettings::load(&settings_file) {
        Ok(settings) if settings == loaded => {
            if is_signal {
                log::info!("settings: reloaded is_changed=false");
            }
        }
        Ok(settings) => {
            let with_old_seeds = GatewaySettings {
                seeds: loaded.seeds.clone(),
                ..settings.clone()
            };
            let needs_restart = with_old_seeds != loaded;
            log::info!(
                "settings: reloaded is_changed=true seeds={:?} needs_restart={needs_restart}",
                settings.seeds
            );
            cx.seeds.send_replace(settings.seeds.clone());
            loaded = settings;
        }
        Err(e) => log::error!(
            "settings: not reloaded, the previous settings stay in force reason=\"{e}\""
        ),
    };
    run_reload_loop(RELOAD_INTERVAL, reload).await;
}

/// Waits for the caller limits of the first configuration. If none arrives
/// within [`FIRST_CONFIGURATION_TIMEOUT`], returns the default limits; the
/// listener keeps them until the process ends, and calls are refused until a
/// configuration arrives.
async fn wait_for_caller_limits(cx: &GatewayContext, stop: &watch::Receiver<bool>) -> CallerLimits {
    let deadline = Instant::now() + FIRST_CONFIGURATION_TIMEOUT;
    while Instant::now() < deadline && !*stop.borrow() {
        if let Some(table) = &cx.lock().route_table {
            return table.configuration().limits.clone();
        }
        sleep(FIRST_CONFIGURATION_POLL).await;
    }
    CallerLimits::default()
}

/// Notes that the process runs. News that came while it stood still, as when its host was
/// suspended, looks new when it is read.
async fn note_run(cx: Arc<GatewayContext>) {
    loop {
        sleep(RUN_NOTE_INTERVAL).await;
        cx.lock().record_run(cx.now());
    }
}

/// Regularly removes expected cached parts that did not appear in time, and
/// members whose removal was deferred.
async fn run_maintenance(cx: Arc<GatewayContext>) {
    loop {
        let slept_at = Instant::now();
        sleep(MAINTENANCE_INTERVAL).await;
        let stall = slept_at.elapsed().saturating_sub(MAINTENANCE_INTERVAL);
        if stall >= MIN_LOGGED_STALL {
            log::warn!("gateway: stood still ms={}", stall.as_millis());
        }
        let now = cx.now();
        let mut state = cx.lock();
        state.dispatcher.remove_stale_expectations(now);
        let changes = state.directory.apply_deferred_removals(now);
        state.apply_member_changes(changes, now);
        state.streams.expire(now);
        log_record_uses(state.dispatcher.refresh_record_uses(now));
        log_speed_changes(state.dispatcher.refresh_speeds(now));
        report_zone_shares(&cx, state.dispatcher.refresh_zones(now));
    }
}

/// Counts the calls that have left the zone, and logs shares that have changed.
fn report_zone_shares(cx: &GatewayContext, shares: Vec<ZoneShare>) {
    for share in shares {
        cx.metrics
            .record_zone_share(&share.service, share.share, share.left);
        if let Some(before) = share.logged {
            log::info!(
                "zones: share that leaves service={} share={:.2} before={before:.2} left={}",
                share.service,
                share.share,
                share.left
            );
        }
    }
}

/// Logs which records name servers that are no longer used, or are used again.
fn log_record_uses(changes: Vec<(ServerName, RecordUse)>) {
    for (server, record_use) in changes {
        log::info!("members: {} server={server}", record_use.label());
    }
}

/// Logs which servers are slower or faster than their service, or silent.
fn log_speed_changes(changes: Vec<SpeedChange>) {
    for change in changes {
        match change {
            SpeedChange::Uneven(server, Some(factor)) => {
                log::info!("speed: uneven server={server} factor={factor:.2}");
            }
            SpeedChange::Uneven(server, None) => log::info!("speed: even server={server}"),
            SpeedChange::Silent(server, true) => log::info!("speed: silent server={server}"),
            SpeedChange::Silent(server, false) => {
                log::info!("speed: answering server={server}");
            }
        }
    }
}
