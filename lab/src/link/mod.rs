//! A TCP link between two processes whose connections can be cut or go
//! silent.

use std::net::SocketAddr;
use std::sync::Arc;

use teaseldrum::threads::build_runtime;
use teaseldrum::threads::open_listener;
use tokio::io::copy_bidirectional;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::background_server::BackgroundServer;

/// What befalls the connections that are open.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Faults {
    cuts: u64,
    freezes: u64,
}

/// A link that runs; dropping it stops it.
#[derive(Debug)]
pub struct Link {
    running: BackgroundServer,
    faults: Arc<watch::Sender<Faults>>,
}

/// Starts a link to an address.
///
/// # Panics
///
/// No loopback port can be had.
pub fn start_link(target: SocketAddr) -> Link {
    let faults = Arc::new(watch::Sender::new(Faults::default()));
    let for_connections = Arc::clone(&faults);
    let running = BackgroundServer::start(move |mut stop, ready| {
        let any_port = "127.0.0.1:0".parse().expect("an address");
        let listener = open_listener(any_port).expect("a port");
        ready(listener.local_addr().expect("an address"));
        let runtime = build_runtime().expect("a runtime");
        runtime.block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            tokio::select! {
                _ = stop.wait_for(|stopped| *stopped) => {}
                () = accept(listener, target, &for_connections) => {}
            }
        });
    });
    Link { running, faults }
}

impl Link {
    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Closes all open connections; new ones work.
    pub fn cut(&self) {
        self.faults.send_modify(|faults| faults.cuts += 1);
    }

    /// Lets all open connections go silent for good; new ones work.
    pub fn freeze(&self) {
        self.faults.send_modify(|faults| faults.freezes += 1);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, faults: &watch::Sender<Faults>) {
    while let Ok((near, _)) = listener.accept().await {
        let faults = faults.subscribe();
        tokio::spawn(async move {
            if let Ok(far) = TcpStream::connect(target).await {
                pass(near, far, faults).await;
            }
        });
    }
}

async fn pass(mut near: TcpStream, mut far: TcpStream, mut faults: watch::Receiver<Faults>) {
    let at_start = *faults.borrow();
    tokio::select! {
        _ = copy_bidirectional(&mut near, &mut far) => return,
        _ = faults.wait_for(|faults| *faults != at_start) => {}
    }
    // Frozen connections stay open until they are cut or the link stops.
    let _ = faults.wait_for(|faults| faults.cuts != at_start.cuts).await;
}
