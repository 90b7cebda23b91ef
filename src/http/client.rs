//! HTTP client for requests to other processes, with a pool of idle
//! connections for each address.

use std::collections::HashMap;
use std::fmt;
use std::hash::BuildHasher;
use std::hash::RandomState;
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
use super::set_client_socket_options;

/// Idle connections kept for one address and purpose. Beyond that, the one that went
/// back to the pool earliest is closed.
const MAX_IDLE_PER_ADDRESS: usize = 64;

/// Default time after which a server that acknowledges nothing, or takes nothing of a
/// request, is considered dead.
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

/// Sends requests. What ties a response to its request decides over which connection a
/// request goes, since a server may send a response once more, when another one is due:
///
/// - Nothing: [`Self::send`] opens a connection for this one exchange.
/// - Its name, which the server repeats: [`Self::send_named`] uses a connection again, but
///   not for the same name.
/// - Its content: [`Self::poll`] uses a connection again for the same question only.
///
/// The last two return a connection to the pool once the receiver of the response has told
/// that it belongs to the request ([`Exchange::allow_reuse`]) and its body was read to its
/// end. Cheap to clone; all clones share the pool and must be used on one runtime of one
/// thread: whether a request was written is read once the task of its connection has
/// stopped writing.
#[derive(Clone)]
pub struct Client {
    timeouts: Arc<ClientTimeouts>,
    receive_buffer_bytes: Option<u32>,
    dead_server_timeout: Duration,
    name_hasher: RandomState,
    idle_connections: Arc<Mutex<HashMap<PoolKey, Vec<IdleConnection>>>>,
}

/// Connections that may carry each other's requests: those to one address for one purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct PoolKey {
    /// Address of the server.
    pub address: SocketAddr,
    /// What the connections are used for.
    pub purpose: ConnectionPurpose,
}

/// What a connection is used for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum ConnectionPurpose {
    /// One exchange.
    Single,
    /// Requests whose responses bear their names.
    Named,
    /// Polls of a topic.
    Poll(&'static str),
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
            dead_server_timeout: DEAD_SERVER_TIMEOUT,
            name_hasher: RandomState::new(),
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

    /// Sets the time after which the connection to a server that acknowledges nothing, or
    /// takes nothing of a request, fails. The host of a server may stand still and go on
    /// later, so the connection should last as long as the response is waited for.
    #[must_use]
    pub fn with_dead_server_timeout(self, dead_server_timeout: Duration) -> Self {
        Self {
            dead_server_timeout,
            ..self
        }
    }

    /// Sends a request over a connection of its own and waits for the head of its
    /// response. If the returned future is dropped, the connection is reset.
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
        let connection = self.connect(address).await?;
        let key = PoolKey {
            address,
            purpose: ConnectionPurpose::Single,
        };
        self.send_on_connection(connection, key, None, req).await
    }

    /// Sends a request whose responses bear `name`, over an idle connection that has not
    /// carried that name, or a new one. It is built only once a connection is there, so
    /// that times in it are those of the send. The receiver compares the name.
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn send_named(
        &self,
        address: SocketAddr,
        name: &[u8],
        build: impl Fn() -> Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        let key = PoolKey {
            address,
            purpose: ConnectionPurpose::Named,
        };
        let name_hash = self.name_hasher.hash_one(name);
        self.send_pooled(key, Some(name_hash), build).await
    }

    /// Asks for the present state of something, over a connection on which nothing but
    /// `topic` is asked. A response too many is an older state then. The receiver compares
    /// it with what it knows, such as by [`Exchange::advance_state`].
    ///
    /// # Errors
    ///
    /// As for [`Self::send`].
    pub async fn poll(
        &self,
        address: SocketAddr,
        topic: &'static str,
        build: impl Fn() -> Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        let key = PoolKey {
            address,
            purpose: ConnectionPurpose::Poll(topic),
        };
        self.send_pooled(key, None, build).await
    }

    async fn send_pooled(
        &self,
        key: PoolKey,
        name_hash: Option<u64>,
        build: impl Fn() -> Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        while let Some(connection) = self.take_idle_connection(key, name_hash) {
            let sent = self.send_on_connection(connection, key, name_hash, build());
            match sent.await {
                // The server has closed the connection, or sent what nobody asked for.
                Err(ClientError::NotSent(_)) => {}
                result => return result,
            }
        }
        let connection = self.connect(key.address).await?;
        self.send_on_connection(connection, key, name_hash, build())
            .await
    }

    async fn send_on_connection(
        &self,
        mut connection: ClientConnection,
        key: PoolKey,
        name_hash: Option<u64>,
        req: Request<HttpBody>,
    ) -> Result<Exchange, ClientError> {
        let req = connection.begin_request(req, name_hash);
        let sent = connection.sender.try_send_request(req);
        let result = timeout(self.timeouts.head, sent).await;
        let Ok(result) = result else {
            self.drop_idle_connections(key.address);
            return Err(ClientError::TimedOut);
        };
        match result {
            // Nobody asks for another protocol, and what follows would not be HTTP.
            Ok(response) if response.status() == StatusCode::SWITCHING_PROTOCOLS => Err(
                ClientError::Broken("the server switches to another protocol".into()),
            ),
            Ok(response) => Ok(Exchange::new(response, connection, key, self.clone())),
            Err(mut e) => {
                let is_unsent = e.take_message().is_some() || connection.is_request_unwritten();
                let reason = e.into_error().to_string();
                Err(if is_unsent {
                    ClientError::NotSent(reason)
                } else {
                    ClientError::Broken(reason)
                })
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<ClientConnection, ClientError> {
        let stream = timeout(self.timeouts.connect, self.open_stream(address))
            .await
            .map_err(|_| ClientError::Connect("timeout".into()))?
            .map_err(|e| ClientError::Connect(e.to_string()))?;
        set_client_socket_options(&stream, self.dead_server_timeout)
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

    /// Takes the connection that was returned last of those that may carry the request.
    fn take_idle_connection(
        &self,
        key: PoolKey,
        name_hash: Option<u64>,
    ) -> Option<ClientConnection> {
        let mut idle_connections = self.lock_idle_connections();
        let connections = idle_connections.get_mut(&key)?;
        let now = Instant::now();
        connections.retain(|idle| now < idle.expires_at && idle.connection.sender.is_ready());
        let may_carry = |idle: &IdleConnection| idle.connection.history.allows(name_hash);
        let index = connections.iter().rposition(may_carry);
        let taken = index.map(|index| connections.remove(index).connection);
        if connections.is_empty() {
            idle_connections.remove(&key);
        }
        taken
    }

    /// Returns a connection to the pool after its last response was read to the end, if it
    /// may carry further requests. `server_idle_time` is the keep-alive timeout that the
    /// server stated.
    pub(super) fn return_connection(
        &self,
        key: PoolKey,
        connection: ClientConnection,
        server_idle_time: Option<Duration>,
    ) {
        if key.purpose == ConnectionPurpose::Single || !connection.history.allows(None) {
            return;
        }
        let usable_idle_time = server_idle_time.map(|idle| idle.mul_f64(USABLE_IDLE_FRACTION));
        let idle_time = usable_idle_time.map_or(self.timeouts.idle, |idle| idle.min(MAX_IDLE_TIME));
        let mut idle_connections = self.lock_idle_connections();
        let connections = idle_connections.entry(key).or_default();
        if connections.len() >= MAX_IDLE_PER_ADDRESS {
            connections.remove(0);
        }
        connections.push(IdleConnection {
            connection,
            expires_at: Instant::now() + idle_time,
        });
    }

    /// Drops all idle connections to an address after one timed out, since the
    /// same fault may affect all of them.
    pub fn drop_idle_connections(&self, address: SocketAddr) {
        self.lock_idle_connections()
            .retain(|key, _| key.address != address);
    }

    /// Returns the default timeout between two chunks of a response body.
    pub(super) fn read_timeout(&self) -> Duration {
        self.timeouts.read
    }

    fn lock_idle_connections(&self) -> MutexGuard<'_, HashMap<PoolKey, Vec<IdleConnection>>> {
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
