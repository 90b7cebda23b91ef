//! Connection of a [`Client`](super::Client) that is reset if its request is
//! abandoned.

use std::future::poll_fn;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::atomic::fence;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::Notify;

use super::HttpBody;
use super::checked_stream::CheckedStream;
use super::connection_history::ConnectionHistory;
use super::sent_body::SentBody;

/// Maximum size of the head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 128 * 1024;

/// Number of connections that this process has opened.
static OPENED: AtomicU64 = AtomicU64::new(0);

/// Connection over which one request at a time is sent.
///
/// If it ends between [`Self::begin_request`] and [`Self::end_request`], it is reset:
/// an orderly close would still deliver what the server's host has not taken yet,
/// such as a whole request to a host that stands still.
#[derive(Debug)]
pub(super) struct ClientConnection {
    /// Sends requests; hyper's side of the connection runs in a task of its own.
    pub sender: SendRequest<HttpBody>,
    /// Number of the connection in this process, for logs.
    number: u64,
    /// Requests that the connection has carried.
    pub history: ConnectionHistory,
    has_request: Arc<AtomicBool>,
    /// Whether no byte of the current request was written.
    is_unwritten: Arc<AtomicBool>,
    /// Has clones as long as parts of a request body are not sent.
    unsent: Arc<()>,
    /// Whether the connection ended before the whole request was sent.
    is_cut: Arc<AtomicBool>,
    given_up: Arc<Notify>,
}

impl ClientConnection {
    /// Starts HTTP on a new connection; `stream` is driven by a spawned task.
    ///
    /// # Errors
    ///
    /// The handshake fails.
    pub async fn start(stream: TcpStream) -> hyper::Result<Self> {
        let address = stream.peer_addr();
        let has_request = Arc::new(AtomicBool::new(false));
        let has_running_request = Arc::clone(&has_request);
        let given_up = Arc::new(Notify::new());
        let is_given_up = Arc::clone(&given_up);
        let unsent = Arc::new(());
        let unsent_at_end = Arc::downgrade(&unsent);
        let is_cut = Arc::new(AtomicBool::new(false));
        let is_cut_at_end = Arc::clone(&is_cut);
        let is_unwritten = Arc::new(AtomicBool::new(true));
        let stream = CheckedStream::new(stream, Arc::clone(&is_unwritten));
        let (sender, mut connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(async move {
            let run = poll_fn(|cx| connection.poll_without_shutdown(cx));
            let result = tokio::select! {
                result = run => result,
                () = is_given_up.notified() => Ok(()),
            };
            if let Err(e) = result {
                log::debug!("http: Connection to {address:?} ended: {e}.");
            }
            // Before the connection is dropped with what it has not sent.
            is_cut_at_end.store(unsent_at_end.strong_count() > 1, Ordering::SeqCst);
            if has_running_request.load(Ordering::Acquire) {
                reset_at_close(connection.into_parts().io.inner().inner());
            }
        });
        Ok(Self {
            sender,
            number: OPENED.fetch_add(1, Ordering::Relaxed),
            history: ConnectionHistory::default(),
            has_request,
            is_unwritten,
            unsent,
            is_cut,
            given_up,
        })
    }

    /// Marks that `req` is about to be sent, and returns it for that. Its responses bear a
    /// name with the hash `name_hash`, or none.
    pub fn begin_request(
        &mut self,
        req: Request<HttpBody>,
        name_hash: Option<u64>,
    ) -> Request<HttpBody> {
        self.history.record_request(name_hash);
        self.has_request.store(true, Ordering::Release);
        self.is_unwritten.store(true, Ordering::Release);
        req.map(|body| SentBody::new(body, Arc::clone(&self.unsent)).boxed_unsync())
    }

    /// Returns the number of the connection in this process.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns whether no byte of the current request was written.
    pub fn is_request_unwritten(&self) -> bool {
        self.is_unwritten.load(Ordering::Acquire)
    }

    /// Returns whether the whole request was sent.
    pub fn is_request_sent(&self) -> bool {
        let has_unsent_parts = Arc::strong_count(&self.unsent) > 1;
        // Parts that are dropped with the connection are not sent either.
        fence(Ordering::SeqCst);
        !has_unsent_parts && !self.is_cut.load(Ordering::SeqCst)
    }

    /// Resets the connection, whatever waits to be sent.
    pub fn give_up(self) {
        self.given_up.notify_one();
    }

    /// Marks that the whole response has arrived.
    pub fn end_request(&self) {
        self.has_request.store(false, Ordering::Release);
    }
}

/// Makes the close of a stream drop what was not delivered.
fn reset_at_close(stream: &TcpStream) {
    if let Err(e) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        log::debug!("http: Connection is closed in order, not reset: {e}.");
    }
}
