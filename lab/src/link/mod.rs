//! TCP proxy between two processes whose open connections can be cut or frozen.

use std::net::SocketAddr;
use std::sync::Arc;

use teaseldrum::threads::build_runtime;
use teaseldrum::threads::open_listener;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::background_server::BackgroundServer;

/// Counts the faults so far. A connection is affected by faults that occur
/// after it was opened.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct FaultCounts {
    cuts: u64,
    freezes: u64,
}

/// Handle of a running link. Dropping it stops the link.
#[derive(Debug)]
pub struct Link {
    server: BackgroundServer,
    faults: Arc<watch::Sender<FaultCounts>>,
}

/// Starts a link that forwards connections to `target`.
///
/// # Panics
///
/// Panics if no loopback port is free.
pub fn start_link(target: SocketAddr) -> Link {
    let faults = Arc::new(watch::Sender::new(FaultCounts::default()));
    let connection_faults = Arc::clone(&faults);
    let server = BackgroundServer::start(move |mut stop, ready| {
        let any_port = "127.0.0.1:0".parse().expect("the address is valid");
        let listener = open_listener(any_port).expect("a loopback port is free");
        ready(listener.local_addr().expect("the listener has an address"));
        let runtime = build_runtime().expect("the runtime starts");
        runtime.block_on(async move {
            let listener = TcpListener::from_std(listener).expect("the listener joins the runtime");
            tokio::select! {
                _ = stop.wait_for(|stopped| *stopped) => {}
                () = accept_connections(listener, target, &connection_faults) => {}
            }
        });
    });
    Link { server, faults }
}

impl Link {
    /// Returns the address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Closes all open connections. New connections work.
    pub fn cut(&self) {
        self.faults.send_modify(|faults| faults.cuts += 1);
    }

    /// Stops forwarding on all open connections without closing them. New
    /// connections work.
    pub fn freeze(&self) {
        self.faults.send_modify(|faults| faults.freezes += 1);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    faults: &watch::Sender<FaultCounts>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let faults = faults.subscribe();
        tokio::spawn(async move {
            if let Ok(server) = TcpStream::connect(target).await {
                relay_connection(client, server, faults).await;
            }
        });
    }
}

async fn relay_connection(
    mut client: TcpStream,
    mut server: TcpStream,
    mut faults: watch::Receiver<FaultCounts>,
) {
    let faults_at_start = *faults.borrow();
    tokio::select! {
        _ = copy_bidirectional(&mut client, &mut server) => return,
        _ = faults.wait_for(|faults| *faults != faults_at_start) => {}
    }
    // Frozen connections stay open until they are cut or the link stops.
    let _ = faults
        .wait_for(|faults| faults.cuts != faults_at_start.cuts)
        .await;
}
