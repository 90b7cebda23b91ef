//! Requests to other processes over kept connections.

use std::collections::HashMap;
use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use super::ClientError;
use super::Exchange;
use super::HttpBody;
use super::set_socket_options;

const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Time in which a server that acknowledges nothing counts as gone.
const DEAD_PEER_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for which an unused connection is kept, whatever its server
/// states.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Part of the idle time a server states after which its connection is not
/// used any more: the request must arrive before the server closes it.
const USABLE_IDLE_FRACTION: f64 = 0.7;

/// Bounds on the waits of a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientTimeouts {
    /// Time to make a connection.
    pub connect: Duration,
    /// Time from sending a request to the head of its answer.
    pub head: Duration,
    /// Time between two chunks of an answer's body.
    pub read: Duration,
    /// Time for which an unused connection is kept.
    pub idle: Duration,
}

/// Sends requests over kept connections. A connection goes back to be used
/// again only after its answer was read whole. Cheap to clone; all clones
/// must live on one runtime.
#[derive(Clone)]
pub struct Client {
    timeouts: Arc<ClientTimeouts>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

struct IdleConnection {
    sender: SendRequest<HttpBody>,
    until: Instant,
}

impl Client {
    /// Creates a client without connections.
    pub fn new(timeouts: ClientTimeouts) -> Self {
        Self {
            timeouts: Arc::new(timeouts),
            idle: Arc::default(),
        }
    }

    /// Sends a request and waits for the head of its answer.
    ///
    /// # Errors
    ///
    /// No connection could be made, it broke or it went silent;
    /// [`ClientError::is_certainly_unsent`] tells whether a byte may have left.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        let mut req = req;
        while let Some(sender) = self.take_idle_connection(address) {
            match self.send_on_connection(sender, address, req).await? {
                SendOutcome::Responded(exchange) => return Ok(exchange),
                SendOutcome::Unsent(unsent) => req = unsent,
            }
        }
        self.send_on_new_connection(address, req).await
    }

    /// Sends a request over a new connection: a kept one may have gone silent
    /// without a sign of it.
    ///
    /// # Errors
    ///
    /// As those of [`Self::send`].
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        req: Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        let sender = self.connect(address).await?;
        match self.send_on_connection(sender, address, req).await? {
            SendOutcome::Responded(exchange) => Ok(exchange),
            SendOutcome::Unsent(_) => Err(ClientError::NotSent("connection closed".into())),
        }
    }

    async fn send_on_connection(
        &self,
        mut sender: SendRequest<HttpBody>,
        address: SocketAddr,
        req: Request<HttpBody>,
    ) -> Result<SendOutcome, ClientError> {
        let answer = timeout(self.timeouts.head, sender.try_send_request(req)).await;
        let Ok(answer) = answer else {
            self.drop_idle_connections(address);
            return Err(ClientError::TimedOut);
        };
        match answer {
            Ok(response) => Ok(SendOutcome::Responded(Exchange::new(
                response,
                sender,
                address,
                self.clone(),
            ))),
            Err(mut e) => match e.take_message() {
                Some(unsent) => Ok(SendOutcome::Unsent(unsent)),
                None => Err(ClientError::Broken(e.into_error().to_string())),
            },
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<SendRequest<HttpBody>, ClientError> {
        let stream = timeout(self.timeouts.connect, TcpStream::connect(address))
            .await
            .map_err(|_| ClientError::Connect("timeout".into()))?
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        set_socket_options(&stream, DEAD_PEER_TIMEOUT)
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        tokio::spawn(async move {
            if let Err(e) = connection.await {
                log::debug!("http: Connection to {address} ended: {e}.");
            }
        });
        Ok(sender)
    }

    fn take_idle_connection(&self, address: SocketAddr) -> Option<SendRequest<HttpBody>> {
        let mut idle = self.lock_idle();
        let kept = idle.get_mut(&address)?;
        while let Some(connection) = kept.pop() {
            let is_fresh = Instant::now() < connection.until;
            if is_fresh && connection.sender.is_ready() {
                return Some(connection.sender);
            }
        }
        idle.remove(&address);
        None
    }

    /// Takes back a connection whose last answer was read whole; `server_idle_time` is
    /// the idle time after which the server closes it.
    pub(super) fn return_connection(
        &self,
        address: SocketAddr,
        sender: SendRequest<HttpBody>,
        server_idle_time: Option<Duration>,
    ) {
        let server_idle_time = server_idle_time.map(|idle| idle.mul_f64(USABLE_IDLE_FRACTION));
        let idle_time = server_idle_time.map_or(self.timeouts.idle, |idle| idle.min(MAX_IDLE_TIME));
        let mut idle = self.lock_idle();
        let kept = idle.entry(address).or_default();
        if kept.len() >= MAX_IDLE_PER_ADDRESS {
            kept.remove(0);
        }
        kept.push(IdleConnection {
            sender,
            until: Instant::now() + idle_time,
        });
    }

    /// Drops the kept connections to an address, after one went silent: what
    /// silenced it may have silenced them all.
    pub(super) fn drop_idle_connections(&self, address: SocketAddr) {
        self.lock_idle().remove(&address);
    }

    /// Longest wait between two chunks of an answer's body.
    pub(super) fn read_timeout(&self) -> Duration {
        self.timeouts.read
    }

    fn lock_idle(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("timeouts", &self.timeouts)
            .finish_non_exhaustive()
    }
}

enum SendOutcome {
    Responded(Exchange),
    Unsent(Request<HttpBody>),
}
