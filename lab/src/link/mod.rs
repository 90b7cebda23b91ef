//! TCP proxy between two processes whose open connections can be cut or frozen, and whose
//! hosts can be parted for a time.

use std::net::SocketAddr;
use std::pin::pin;
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
    /// Whether nothing is forwarded for now.
    is_paused: bool,
}

impl FaultCounts {
    /// Returns whether a connection is cut or frozen that was opened at `start`.
    fn have_ended(&self, start: &Self) -> bool {
        (self.cuts, self.freezes) != (start.cuts, start.freezes)
    }
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

    /// Forwards nothing until [`Self::resume`], like the link to a host that stands still.
    /// Open connections go on after that; those opened meanwhile are closed.
    pub fn pause(&self) {
        self.faults.send_modify(|faults| faults.is_paused = true);
    }

    /// Forwards again.
    pub fn resume(&self) {
        self.faults.send_modify(|faults| faults.is_paused = false);
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    faults: &watch::Sender<FaultCounts>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let mut faults = faults.subscribe();
        tokio::spawn(async move {
            if faults.borrow().is_paused {
                let _ = faults.wait_for(|faults| !faults.is_paused).await;
            } else if let Ok(server) = TcpStream::connect(target).await {
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
    {
        let mut copying = pin!(copy_bidirectional(&mut client, &mut server));
        loop {
            let now = *faults.borrow_and_update();
            if now.have_ended(&faults_at_start) {
                break;
            }
            tokio::select! {
                biased;
                changed = faults.changed() => {
                    if changed.is_err() {
                        return;
                    }
                }
                _ = &mut copying, if !now.is_paused => return,
            }
        }
    }
    // Frozen connections stay open until they are cut or the link stops.
    let _ = faults
        .wait_for(|faults| faults.cuts != faults_at_start.cuts)
        .await;
}
