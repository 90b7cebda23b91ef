//! Life of a sidecar.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::watch;

use super::context::SidecarContext;
use super::context::SidecarPorts;
use super::follow_parts::follow_parts;
use super::serve_entries::SidecarService;
use super::tend_engine::tend_engine;
use crate::mesh::serve_mesh;
use crate::peer::accept_peers;
use crate::settings::SidecarSettings;
use crate::threads::StartError;
use crate::threads::build_runtime;
use crate::threads::open_listener;
use crate::threads::wait_for_stop;

/// Runs a sidecar until SIGTERM or SIGINT.
///
/// # Errors
///
/// The sidecar cannot start.
pub fn run_sidecar(settings: SidecarSettings, ports: SidecarPorts) -> Result<(), StartError> {
    let cx = Arc::new(SidecarContext::new(settings, ports));
    build_runtime()?.block_on(live(cx))
}

async fn live(cx: Arc<SidecarContext>) -> Result<(), StartError> {
    let address = cx.settings.listen;
    let listener = open_listener(address)?;
    let listener = TcpListener::from_std(listener).map_err(|e| StartError::Listen(address, e))?;
    log::info!(
        "sidecar: started name={} zone={} engine={} incarnation={:x}",
        cx.settings.name,
        cx.settings.zone,
        cx.settings.engine,
        cx.incarnation
    );
    let service = SidecarService {
        cx: Arc::clone(&cx),
    };
    tokio::spawn(accept_peers(listener, move |stream| {
        serve_mesh(stream, service.clone())
    }));
    tokio::spawn(tend_engine(Arc::clone(&cx)));
    tokio::spawn(follow_parts(Arc::clone(&cx)));
    let (_keep, never) = watch::channel(false);
    wait_for_stop(never).await;
    log::info!("sidecar: stopped name={}", cx.settings.name);
    Ok(())
}
