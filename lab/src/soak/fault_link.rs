//! A link between two processes that delays, resets, silences or carries one
//! way only.

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

/// Delay of a link that delays: more than an answer usually takes.
const DELAY: Duration = Duration::from_millis(120);

/// How a link carries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Carriage {
    /// At once.
    #[default]
    Prompt,
    /// After a delay.
    Delayed,
    /// From the connecting side only.
    OneWay,
    /// Nothing, until it carries again.
    Silent,
}

#[derive(Debug, Clone, Copy, Default)]
struct State {
    carriage: Carriage,
    resets: u64,
}

/// A link that runs until its runtime ends.
#[derive(Debug)]
pub struct FaultLink {
    address: SocketAddr,
    state: watch::Sender<State>,
}

impl FaultLink {
    /// Starts a link to an address.
    pub async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let link = Self {
            address: listener.local_addr()?,
            state: watch::Sender::new(State::default()),
        };
        let state = link.state.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(carry(near, target, state.subscribe()));
            }
        });
        Ok(link)
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes how it carries, on open connections too.
    pub fn set(&self, carriage: Carriage) {
        self.state.send_modify(|state| state.carriage = carriage);
    }

    /// Resets the open connections.
    pub fn reset(&self) {
        self.state.send_modify(|state| state.resets += 1);
    }
}

async fn carry(near: TcpStream, target: SocketAddr, mut state: watch::Receiver<State>) {
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    let resets = state.borrow_and_update().resets;
    // Without lingering a dropped connection is reset.
    let _ = (near.set_zero_linger(), far.set_zero_linger());
    let ((near_read, near_write), (far_read, far_write)) = (near.into_split(), far.into_split());
    let there = pump(near_read, far_write, state.clone(), false);
    let back = pump(far_read, near_write, state.clone(), true);
    tokio::select! {
        _ = async { tokio::join!(there, back) } => {}
        _ = state.wait_for(|now| now.resets != resets) => {}
    }
}

/// Carries one way until the end.
async fn pump(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    is_back: bool,
) {
    let mut buf = [0; 16 * 1024];
    loop {
        let count = match from.read(&mut buf).await {
            Ok(count) => count,
            Err(_) => return,
        };
        let carries = |state: &State| match state.carriage {
            Carriage::Prompt | Carriage::Delayed => true,
            Carriage::OneWay => !is_back,
            Carriage::Silent => false,
        };
        let Ok(now) = state.wait_for(carries).await.map(|now| now.carriage) else {
            return;
        };
        if now == Carriage::Delayed {
            sleep(DELAY).await;
        }
        if count == 0 {
            // The other side may have gone already.
            let _ = to.shutdown().await;
            return;
        }
        if to.write_all(&buf[..count]).await.is_err() {
            return;
        }
    }
}
