//! Startup and shutdown of a sidecar.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

use super::context::SidecarContext;
use super::context::SidecarPorts;
use super::follow_kv_cache::follow_kv_cache;
use super::reconcile_engine::reconcile_engine;
use super::sidecar_service::SidecarService;
use super::status_pages::serve_status_page;
use crate::http::serve;
use crate::http::status_page_limits;
use crate::mesh::serve_mesh;
use crate::peer::MAX_PEER_CONNECTIONS;
use crate::peer::accept_peers;
use crate::settings::SidecarSettings;
use crate::threads::StartError;
use crate::threads::build_runtime;
use crate::threads::open_tokio_listener;
use crate::threads::run_reload_loop;
use crate::threads::wait_for_stop;

/// Interval between checks for SIGHUP.
const RELOAD_INTERVAL: Duration = Duration::from_secs(60);

/// Runs a sidecar until SIGTERM or SIGINT.
///
/// # Errors
///
/// The runtime or the listener for entries cannot be created.
pub fn run_sidecar(settings: SidecarSettings, ports: SidecarPorts) -> Result<(), StartError> {
    let (_stop_sender, stop) = watch::channel(false);
    serve_sidecar(settings, ports, stop)
}

/// Runs a sidecar until SIGTERM or SIGINT, or until `stop` becomes true.
///
/// # Errors
///
/// The runtime or the listener for entries cannot be created.
pub fn serve_sidecar(
    settings: SidecarSettings,
    ports: SidecarPorts,
    stop: watch::Receiver<bool>,
) -> Result<(), StartError> {
    let cx = Arc::new(SidecarContext::new(settings, ports));
    build_runtime()?.block_on(run_until_stopped(cx, stop))
}

async fn run_until_stopped(
    cx: Arc<SidecarContext>,
    stop_request: watch::Receiver<bool>,
) -> Result<(), StartError> {
    let listener = open_tokio_listener(cx.settings.listen)?;
    log::info!(
        "sidecar: started name={} zone={} engine={} incarnation={:x}",
        cx.settings.name,
        cx.settings.zone,
        cx.settings.engine,
        cx.incarnation
    );
    if let Some(metrics) = cx.settings.metrics {
        // The engine is managed even if the metrics cannot be served.
        if let Err(e) = spawn_status_page(&cx, metrics, &stop_request) {
            log::error!("sidecar: metrics not served reason=\"{e}\"");
        }
    }
    let service_cx = Arc::clone(&cx);
    tokio::spawn(accept_peers(
        listener,
        MAX_PEER_CONNECTIONS,
        move |stream| serve_mesh(stream, SidecarService::new(Arc::clone(&service_cx))),
    ));
    tokio::spawn(reconcile_engine(Arc::clone(&cx)));
    tokio::spawn(follow_kv_cache(Arc::clone(&cx)));
    // A sidecar reads its settings only at the start.
    tokio::spawn(run_reload_loop(RELOAD_INTERVAL, |is_signal| {
        if is_signal {
            log::info!("settings: unchanged until the next start");
        }
    }));
    wait_for_stop(stop_request).await;
    log::info!("sidecar: stopped name={}", cx.settings.name);
    Ok(())
}

fn spawn_status_page(
    cx: &Arc<SidecarContext>,
    address: SocketAddr,
    stop: &watch::Receiver<bool>,
) -> Result<(), StartError> {
    let listener = open_tokio_listener(address)?;
    let limits = status_page_limits(cx.settings.reader_limits());
    let (cx, stop) = (Arc::clone(cx), stop.clone());
    let handle = move |req, _caller| serve_status_page(Arc::clone(&cx), req);
    tokio::spawn(serve(listener, limits, handle, stop));
    Ok(())
}
