//! Callers of a soak that send and do not read.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::time::sleep;

use super::traffic::Traffic;

/// Receive buffer of a caller that does not read, in bytes. The rest of the responses
/// stays with the gateway.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// Pause before a caller connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(100);

/// Requests that no route matches, so that no server runs them.
const REQUESTS: &[u8] = b"GET /unknown/ HTTP/1.1\r\nHost: h.example\r\n\r\n";

impl Traffic {
    /// Sends requests without reading their responses, and counts in `cut_off` how often
    /// a gateway ended the connection, until `is_stopped` is set.
    pub async fn run_slow_reader(self: Arc<Self>, cut_off: Arc<AtomicU64>, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        while !self.is_stopped.load(Ordering::Relaxed) {
            let gateway = rng.random_range(0..self.gateways.len());
            if send_until_cut_off(self.gateways[gateway].0).await {
                cut_off.fetch_add(1, Ordering::Relaxed);
            }
            sleep(RECONNECT_DELAY).await;
        }
    }
}

/// Returns whether a connection was made; it has ended then.
async fn send_until_cut_off(address: SocketAddr) -> bool {
    let Ok(socket) = TcpSocket::new_v4() else {
        return false;
    };
    let _ = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    let Ok(mut stream) = socket.connect(address).await else {
        return false;
    };
    while stream.write_all(REQUESTS).await.is_ok() {}
    true
}
