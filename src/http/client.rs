//! HTTP client for requests to other processes, with a pool of idle
//! connections for each address.

use std::collections::HashMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use http::StatusCode;
use hyper::Request;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use super::ClientError;
use super::Exchange;
use super::HttpBody;
use super::client_connection::ClientConnection;
use super::set_socket_options;

/// Idle connections kept for one address. Beyond that, the one that went
/// back to the pool earliest is closed.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Time after which a server that acknowledges nothing is considered dead.
const DEAD_SERVER_TIMEOUT: Duration = Duration::from_secs(3);

/// Cap on the idle time derived from the keep-alive timeout that a server states.
/// [`ClientTimeouts::idle`] is not capped.
const MAX_IDLE_TIME: Duration = Duration::from_secs(20);

/// Fraction of a server's keep-alive timeout for which its connection is reused.
/// The rest is a margin: a request must arrive before the server closes the
/// connection.
const USABLE_IDLE_FRACTION: f64 = 0.7;

/// Timeouts of a [`Client`].
#[derive(Debug, Clone)]
pub struct ClientTimeouts {
    /// Time to establish a connection.
    pub connect: Duration,
    /// Time from sending a request to the head of its response.
    pub head: Duration,
    /// Time between two chunks of a response body; [`Exchange`] can override it.
    pub read: Duration,
    /// Time for which an idle connection is kept if the server states no
    /// keep-alive timeout.
    pub idle: Duration,
}

/// Sends requests and reuses idle connections. A connection is returned to the
/// pool only after the body of its response was read to its end. Cheap to clone;
/// all clones share the pool and must be used on one runtime.
#[derive(Clone)]
pub struct Client {
    timeouts: Arc<ClientTimeouts>,
    receive_buffer_bytes: Option<u32>,
    idle_connections: Arc<Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>>,
}

/// Pooled connection and the time from which it is not reused any more.
struct IdleConnection {
    connection: ClientConnection,
    expires_at: Instant,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new(timeouts: ClientTimeouts) -> Self {
        Self {
            timeouts: Arc::new(timeouts),
            receive_buffer_bytes: None,
            idle_connections: Arc::default(),
        }
    }

    /// Sets the receive buffer of new connections in the kernel; `None` leaves it to the
    /// kernel, which takes megabytes for responses that are read slowly.
    #[must_use]
    pub fn with_receive_buffer(self, receive_buffer_bytes: Option<u32>) -> Self {
        Self {
            receive_buffer_bytes,
            ..self
        }
    }

    /// Sends a request over an idle connection if there is one, else over a new
    /// one, and waits for the head of its response. If the returned future is dropped,
    /// the connection is reset.
    ///
    /// # Errors
    ///
    /// No connection could be established, it broke, or the head took too long.
    /// [`ClientError::is_certainly_unsent`] tells whether it is certain that no byte
    /// of the request was sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        req: Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        let mut req = req;
        while let Some(connection) = self.take_idle_connection(address) {
            match self.send_on_connection(connection, address, req).await? {
                SendOutcome::Responded(exchange) => return Ok(exchange),
                SendOutcome::Unsent(unsent) => req = unsent,
            }
        }
        self.send_on_new_connection(address, req).await
    }

    /// Sends a request like [`Self::send`], but builds it only once a connection is
    /// there, so that times in it are those of the send.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_built(
        &self,
        address: SocketAddr,
        build: impl Fn() -> Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        while let Some(connection) = self.take_idle_connection(address) {
            let outcome = self.send_on_connection(connection, address, build());
            if let SendOutcome::Responded(exchange) = outcome.await? {
                return Ok(exchange.on_reused_connection());
            }
        }
        let connection = self.connect(address).await?;
        let outcome = self.send_on_connection(connection, address, build());
        outcome.await?.into_exchange()
    }

    /// Sends a request over a new connection. An idle one may have failed
    /// unnoticed.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_on_new_connection(
        &self,
        address: SocketAddr,
        req: Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        let connection = self.connect(address).await?;
        let outcome = self.send_on_connection(connection, address, req);
        outcome.await?.into_exchange()
    }

    async fn send_on_connection(
        &self,
        mut connection: ClientConnection,
        address: SocketAddr,
        req: Request<HttpBody>,
    ) -> Result<SendOutcome, ClientError> {
        let req = connection.begin_request(req);
        let sent = connection.sender.try_send_request(req);
        let result = timeout(self.timeouts.head, sent).await;
        let Ok(result) = result else {
            self.drop_idle_connections(address);
            return Err(ClientError::TimedOut);
        };
        match result {
            // Nobody asks for another protocol, and what follows would not be HTTP.
            Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => Err(
                ClientError::Broken("the server switches to another protocol".into()),
            ),
            Ok(response) => Ok(SendOutcome::Responded(Exchange::new(
                response,
                connection,
                address,
                self.clone(),
            ))),
            Err(mut e) => match e.take_message() {
                Some(unsent) => Ok(SendOutcome::Unsent(unsent)),
                None => Err(ClientError::Broken(e.into_error().to_string())),
            },
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<ClientConnection, ClientError> {
        let stream = timeout(self.timeouts.connect, self.open_stream(address))
            .await
            .map_err(|_| ClientError::Connect("timeout".into()))?
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        set_socket_options(&stream, DEAD_SERVER_TIMEOUT)
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        ClientConnection::start(stream)
            .await
            .map_err(|e| ClientError::Connect(e.to_string()))
    }

    async fn open_stream(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let Some(bytes) = self.receive_buffer_bytes else {
            return TcpStream::connect(address).await;
        };
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // Takes effect on the window only before the connection is established.
        socket.set_recv_buffer_size(bytes)?;
        socket.connect(address).await
    }

    fn take_idle_connection(&self, address: SocketAddr) -> Option<ClientConnection> {
        let mut idle_connections = self.lock_idle_connections();
        let address_connections = idle_connections.get_mut(&address)?;
        while let Some(idle) = address_connections.pop() {
            let is_unexpired = Instant::now() < idle.expires_at;
            if is_unexpired && idle.connection.sender.is_ready() {
                return Some(idle.connection);
            }
        }
        idle_connections.remove(&address);
        None
    }

    /// Returns a connection to the pool after its last response was read to the
    /// end. `server_idle_time` is the keep-alive timeout that the server stated.
    pub(super) fn return_connection(
        &self,
        address: SocketAddr,
        connection: ClientConnection,
        server_idle_time: Option<Duration>,
    ) {
        let usable_idle_time = server_idle_time.map(|idle| idle.mul_f64(USABLE_IDLE_FRACTION));
        let idle_time = usable_idle_time.map_or(self.timeouts.idle, |idle| idle.min(MAX_IDLE_TIME));
        let mut idle_connections = self.lock_idle_connections();
        let address_connections = idle_connections.entry(address).or_default();
        if address_connections.len() >= MAX_IDLE_PER_ADDRESS {
            address_connections.remove(0);
        }
        address_connections.push(IdleConnection {
            connection,
            expires_at: Instant::now() + idle_time,
        });
    }

    /// Drops all idle connections to an address after one timed out, since the
    /// same fault may affect all of them.
    pub(super) fn drop_idle_connections(&self, address: SocketAddr) {
        self.lock_idle_connections().remove(&address);
    }

    /// Returns the default timeout between two chunks of a response body.
    pub(super) fn read_timeout(&self) -> Duration {
        self.timeouts.read
    }

    fn lock_idle_connections(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle_connections
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Client {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Client")
            .field("timeouts", &self.timeouts)
            .finish_non_exhaustive()
    }
}

/// Result of sending over a connection that may have been closed meanwhile.
enum SendOutcome {
    /// The head of the response arrived.
    Responded(Exchange),
    /// The connection was closed; no byte of the request was sent over it.
    Unsent(Request<HttpBody>),
}

impl SendOutcome {
    fn into_exchange(self) -> Result<Exchange, ClientError> {
        match self {
            Self::Responded(exchange) => Ok(exchange),
            Self::Unsent(_) => Err(ClientError::NotSent("connection closed".into())),
        }
    }
}
