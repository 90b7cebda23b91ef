//! TCP proxy between two processes that can delay data, reset connections, or
//! stop delivering in one or both directions.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::watch;
use tokio::time::sleep;

/// Delay in [`LinkMode::Delayed`]: longer than a response usually takes.
const LINK_DELAY: Duration = Duration::from_millis(120);

/// How a link forwards data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards at once.
    #[default]
    Normal,
    /// Forwards each read after [`LINK_DELAY`].
    Delayed,
    /// Forwards only from the connecting side; holds back the other direction.
    OneWay,
    /// Holds back both directions until the mode changes.
    Silent,
}

#[derive(Debug, Clone, Copy, Default)]
struct LinkState {
    mode: LinkMode,
    reset_count: u64,
}

/// A link that forwards connections until its runtime ends.
#[derive(Debug)]
pub struct FaultLink {
    address: SocketAddr,
    state: watch::Sender<LinkState>,
}

impl FaultLink {
    /// Starts a link to an address. It listens on a free loopback port.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self {
            address: listener.local_addr()?,
            state: watch::Sender::new(LinkState::default()),
        };
        let state = link.state.clone();
        tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(forward_connection(client, target, state.subscribe()));
            }
        });
        Ok(link)
    }

    /// Returns the address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the mode of all connections, open ones included.
    pub fn set_mode(&self, mode: LinkMode) {
        self.state.send_modify(|state| state.mode = mode);
    }

    /// Resets the open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.reset_count += 1);
    }
}

async fn forward_connection(
    client: TcpStream,
    target: SocketAddr,
    mut state: watch::Receiver<LinkState>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let reset_count = state.borrow_and_update().reset_count;
    // With a zero linger time, dropping a connection resets it.
    let _ = (client.set_zero_linger(), server.set_zero_linger());
    let ((client_read, client_write), (server_read, server_write)) =
        (client.into_split(), server.into_split());
    let to_server = forward_one_way(client_read, server_write, state.clone(), false);
    let to_client = forward_one_way(server_read, client_write, state.clone(), true);
    tokio::select! {
        _ = async { tokio::join!(to_server, to_client) } => {}
        _ = state.wait_for(|now| now.reset_count != reset_count) => {}
    }
}

/// Forwards one direction until its end or an error.
async fn forward_one_way(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<LinkState>,
    is_to_client: bool,
) {
    let mut buf = [0; 16 * 1024];
    loop {
        let count = match from.read(&mut buf).await {
            Ok(count) => count,
            Err(_) => return,
        };
        let forwards = |state: &LinkState| match state.mode {
            LinkMode::Normal | LinkMode::Delayed => true,
            LinkMode::OneWay => !is_to_client,
            LinkMode::Silent => false,
        };
        let Ok(now) = state.wait_for(forwards).await.map(|now| now.mode) else {
            return;
        };
        if now == LinkMode::Delayed {
            sleep(LINK_DELAY).await;
        }
        if count == 0 {
            // The receiver may have closed the connection already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
