//! Runs callers that do not behave.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use teaseldrum::threads::build_runtime;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use super::Misbehavior;

/// Hosts from which a crowd calls.
const HOSTS: usize = 4;

/// Pause before a caller connects again.
const RECONNECT_DELAY: Duration = Duration::from_millis(50);

/// Interval between two bytes of a caller that trickles.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(100);

/// Length that a body far over any limit announces.
const ANNOUNCED_BYTES: u64 = 10_000_000_000;

/// Receive buffer of callers that hardly read, in bytes. The rest stays with the process.
const RECEIVE_BUFFER_BYTES: u32 = 4_096;

/// Process that a crowd calls.
#[derive(Debug, Clone)]
pub struct CrowdTarget {
    /// Address of the listener.
    pub address: SocketAddr,
    /// Request line and headers of a request with a body, without those of the body, each
    /// line with its end.
    pub post_head: String,
    /// The same for a request that is answered with a long response.
    pub long_response_head: String,
    /// Size of a body within the limits.
    pub body_bytes: usize,
}

/// Callers on a thread of their own, until dropped.
#[derive(Debug)]
pub struct Crowd {
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl Crowd {
    /// Starts `callers` of each of `kinds`.
    ///
    /// # Panics
    ///
    /// The system refuses a thread or a runtime.
    pub fn start(target: &CrowdTarget, kinds: &[Misbehavior], callers: usize) -> Self {
        let (stop, mut stopped) = watch::channel(false);
        let (target, kinds) = (target.clone(), kinds.to_vec());
        let thread = thread::spawn(move || {
            let runtime = build_runtime().expect("the runtime starts");
            runtime.block_on(async move {
                for kind in kinds {
                    for caller in 0..callers {
                        let host = u8::try_from(1 + caller % HOSTS).unwrap_or(1);
                        tokio::spawn(run_caller(target.clone(), kind, host));
                    }
                }
                // An error means that the crowd was dropped.
                let _ = stopped.wait_for(|stopped| *stopped).await;
            });
        });
        Self {
            stop,
            thread: Some(thread),
        }
    }
}

impl Drop for Crowd {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        if let Some(thread) = self.thread.take() {
            // A panic there has been printed.
            let _ = thread.join();
        }
    }
}

/// Calls from 127.1.0.`host`.
async fn run_caller(target: CrowdTarget, kind: Misbehavior, host: u8) {
    loop {
        if let Some(mut stream) = connect(target.address, kind, host).await {
            misbehave(&mut stream, &target, kind).await;
        }
        sleep(RECONNECT_DELAY).await;
    }
}

async fn connect(address: SocketAddr, kind: Misbehavior, host: u8) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().ok()?;
    socket
        .bind((Ipv4Addr::new(127, 1, 0, host), 0).into())
        .ok()?;
    if matches!(
        kind,
        Misbehavior::HardlyReadResponse | Misbehavior::UnreadPipeline
    ) {
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).ok()?;
    }
    socket.connect(address).await.ok()
}

/// Misbehaves until the connection ends.
async fn misbehave(stream: &mut TcpStream, target: &CrowdTarget, kind: Misbehavior) {
    match kind {
        Misbehavior::AnnouncedBody => {
            let head = format!(
                "{}Content-Length: {ANNOUNCED_BYTES}\r\n\r\n",
                target.post_head
            );
            send_without_end(stream, &head, &"b".repeat(16_384)).await;
        }
        Misbehavior::EndlessBody => {
            let head = format!("{}Transfer-Encoding: chunked\r\n\r\n", target.post_head);
            let chunk = format!("4000\r\n{}\r\n", "b".repeat(0x4000));
            send_without_end(stream, &head, &chunk).await;
        }
        Misbehavior::TricklingBody => {
            let head = format!(
                "{}Content-Length: {}\r\n\r\n",
                target.post_head, target.body_bytes
            );
            let begun = head + &"b".repeat(target.body_bytes.saturating_sub(1_000));
            if stream.write_all(begun.as_bytes()).await.is_ok() {
                trickle(stream, b"b").await;
            }
        }
        Misbehavior::EndlessHead => {
            let line = format!("X-Long: {}\r\n", "h".repeat(1_000));
            send_without_end(stream, &target.post_head, &line).await;
        }
        Misbehavior::TricklingHead => {
            if stream.write_all(target.post_head.as_bytes()).await.is_ok() {
                trickle(stream, b"X").await;
            }
        }
        Misbehavior::HardlyReadResponse => {
            let req = format!("{}Content-Length: 0\r\n\r\n", target.long_response_head);
            if stream.write_all(req.as_bytes()).await.is_ok() {
                let mut buf = [0; 1];
                while matches!(stream.read(&mut buf).await, Ok(1)) {
                    sleep(TRICKLE_INTERVAL).await;
                }
            }
        }
        Misbehavior::UnreadPipeline => {
            let req = format!("{}Content-Length: 0\r\n\r\n", target.long_response_head);
            send_without_end(stream, &req, &req).await;
        }
        Misbehavior::Idle => wait_for_end(stream).await,
    }
}

async fn send_without_end(stream: &mut TcpStream, first: &str, next: &str) {
    let mut bytes = first.as_bytes();
    while stream.write_all(bytes).await.is_ok() {
        bytes = next.as_bytes();
    }
}

/// Sends a byte now and then, and reads nothing.
async fn trickle(stream: &mut TcpStream, byte: &[u8]) {
    while stream.write_all(byte).await.is_ok() {
        sleep(TRICKLE_INTERVAL).await;
    }
}

async fn wait_for_end(stream: &mut TcpStream) {
    let mut buf = [0; 64];
    while matches!(stream.read(&mut buf).await, Ok(count) if count > 0) {}
}
