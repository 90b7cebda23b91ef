//! Client of the control services of other processes, over cached connections.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tarpc::client;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::serde_transport;
use tarpc::tokio_serde::formats::MessagePack;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::OnceCell;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::codec::LengthDelimitedCodec;

use super::CallError;
use super::PeerClient;
use super::PeerError;
use super::metered_stream::ByteCounts;
use super::metered_stream::MeteredStream;
use super::serve_peers::MAX_MESSAGE_BYTES;
use super::serve_peers::set_socket_options;

/// Above this number the least recently used connection is closed.
const MAX_CACHED_CONNECTIONS: usize = 128;
/// Above this number a call fails with [`CallError::TooManyCalls`].
const MAX_CONCURRENT_CALLS: usize = 256;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Client of the control services of other processes. Caches one connection for
/// each of the most recently called peers. The connections are driven by the
/// control thread; any thread may call.
#[derive(Debug)]
pub struct PeerConnections {
    runtime: OnceLock<Handle>,
    cached: Mutex<HashMap<SocketAddr, CachedConnection>>,
    calls: Semaphore,
    counts: Arc<ByteCounts>,
}

#[derive(Debug)]
struct CachedConnection {
    connection: Connection,
    last_used: Instant,
}

type Connection = Arc<OnceCell<PeerClient>>;

impl PeerConnections {
    /// Creates a client whose calls fail with [`CallError::NotStarted`] until
    /// [`Self::set_runtime`].
    pub fn new() -> Self {
        Self {
            runtime: OnceLock::new(),
            cached: Mutex::default(),
            calls: Semaphore::new(MAX_CONCURRENT_CALLS),
            counts: Arc::default(),
        }
    }

    /// Sets the runtime that drives the connections. Only the first call has an
    /// effect.
    pub fn set_runtime(&self, runtime: Handle) {
        let _ = self.runtime.set(runtime);
    }

    /// Calls a peer. If the connection is lost, which for an idle one may have
    /// happened long before, the call is retried once on a new connection. A
    /// connection on which a call times out is closed.
    ///
    /// # Errors
    ///
    /// No response came within `call_timeout`, which covers the retry, or the peer
    /// refused the call.
    pub async fn call<T, C, F>(
        &self,
        peer: SocketAddr,
        call_timeout: Duration,
        call: C,
    ) -> Result<T, CallError>
    where
        C: Fn(PeerClient, Context) -> F,
        F: Future<Output = Result<Result<T, PeerError>, RpcError>>,
    {
        let _permit = self
            .calls
            .try_acquire()
            .map_err(|_| CallError::TooManyCalls)?;
        let deadline = Instant::now() + call_timeout;
        match self.call_once(peer, deadline, &call).await {
            Err(CallError::Disconnected(_)) => self.call_once(peer, deadline, &call).await,
            result => result,
        }
    }

    /// Returns the byte counts of all control connections of this process, which
    /// the listener shares.
    pub fn byte_counts(&self) -> &Arc<ByteCounts> {
        &self.counts
    }

    /// Returns the number of cached connections.
    pub fn connection_count(&self) -> usize {
        self.lock_cached().len()
    }

    /// Calls a peer once and removes its connection if the call failed other than
    /// by a refusal of the peer.
    async fn call_once<T, C, F>(
        &self,
        peer: SocketAddr,
        deadline: Instant,
        call: &C,
    ) -> Result<T, CallError>
    where
        C: Fn(PeerClient, Context) -> F,
        F: Future<Output = Result<Result<T, PeerError>, RpcError>>,
    {
        let connection = self.get_or_insert_connection(peer);
        let result = self
            .call_on_connection(&connection, peer, deadline, call)
            .await;
        if matches!(&result, Err(e) if !matches!(e, CallError::Refused(_))) {
            self.remove_connection(peer, &connection);
        }
        result
    }

    /// Calls a peer on its cached connection, which is established first if needed.
    async fn call_on_connection<T, C, F>(
        &self,
        connection: &Connection,
        peer: SocketAddr,
        deadline: Instant,
        call: &C,
    ) -> Result<T, CallError>
    where
        C: Fn(PeerClient, Context) -> F,
        F: Future<Output = Result<Result<T, PeerError>, RpcError>>,
    {
        let runtime = self.runtime.get().ok_or(CallError::NotStarted)?;
        let connect = || connect(runtime, peer, Arc::clone(&self.counts));
        let client = connection.get_or_try_init(connect).await?.clone();
        let mut cx = tarpc::context::current();
        cx.deadline = deadline;
        let remaining = deadline.saturating_duration_since(Instant::now());
        let response = timeout(remaining, call(client, cx)).await;
        let response = response.map_err(|_| CallError::Timeout)??;
        response.map_err(CallError::Refused)
    }

    /// Returns the connection of a peer and marks it as used; it may not be
    /// established yet.
    fn get_or_insert_connection(&self, peer: SocketAddr) -> Connection {
        let mut cached = self.lock_cached();
        if cached.len() >= MAX_CACHED_CONNECTIONS && !cached.contains_key(&peer) {
            let oldest = cached.iter().min_by_key(|(_, entry)| entry.last_used);
            let oldest = oldest.map(|(address, _)| *address);
            oldest.map(|address| cached.remove(&address));
        }
        let entry = cached.entry(peer).or_insert_with(|| CachedConnection {
            connection: Arc::default(),
            last_used: Instant::now(),
        });
        entry.last_used = Instant::now();
        Arc::clone(&entry.connection)
    }

    /// Removes this connection of a peer, unless a newer one has replaced it.
    fn remove_connection(&self, peer: SocketAddr, connection: &Connection) {
        let mut cached = self.lock_cached();
        let is_same = cached
            .get(&peer)
            .is_some_and(|entry| Arc::ptr_eq(&entry.connection, connection));
        if is_same {
            cached.remove(&peer);
        }
    }

    fn lock_cached(&self) -> MutexGuard<'_, HashMap<SocketAddr, CachedConnection>> {
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Default for PeerConnections {
    fn default() -> Self {
        Self::new()
    }
}

/// Connects to a peer on the control thread, whose runtime then drives the
/// connection.
async fn connect(
    runtime: &Handle,
    peer: SocketAddr,
    counts: Arc<ByteCounts>,
) -> Result<PeerClient, CallError> {
    let connecting = runtime.spawn(async move {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(peer))
            .await
            .map_err(|_| CallError::Connect("timeout".into()))?
            .map_err(|e| CallError::Connect(e.to_string()))?;
        set_socket_options(&stream).map_err(|e| CallError::Connect(e.to_string()))?;
        let framed = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_MESSAGE_BYTES)
            .new_framed(MeteredStream::new(stream, counts));
        let transport = serde_transport::new(framed, MessagePack::default());
        Ok(PeerClient::new(client::Config::default(), transport).spawn())
    });
    connecting.await.map_err(|_| CallError::NotStarted)?
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::AtomicBool;
    use std::sync::atomic::AtomicU32;
    use std::sync::atomic::Ordering;

    use tokio::net::TcpListener;
    use tokio::task::JoinHandle;

    use super::super::ShareReply;
    use super::*;
    use crate::core::ProcessIncarnation;
    use crate::core::Revision;
    use crate::core::config::RulesRecord;
    use crate::core::config::RulesUpdate;
    use crate::core::limit::Origin;
    use crate::core::limit::ShareMessage;
    use crate::http::CallerActivity;
    use crate::peer::BoundedStream;
    use crate::peer::MAX_PEER_CONNECTIONS;
    use crate::peer::Peer;
    use crate::peer::PeerStatus;
    use crate::peer::RevisionNotice;
    use crate::peer::Role;
    use crate::peer::accept_peers;
    use crate::peer::serve_connection;
    use crate::timeline::EventPage;
    use crate::timeline::EventQuery;

    const CALL_TIMEOUT: Duration = Duration::from_secs(5);
    const SHORT_CALL_TIMEOUT: Duration = Duration::from_millis(50);

    #[derive(Debug, Clone, Default)]
    struct FakePeer {
        unresponsive: Arc<AtomicBool>,
    }

    impl Peer for FakePeer {
        async fn get_status(self, _: Context) -> Result<PeerStatus, PeerError> {
            if self.unresponsive.load(Ordering::Acquire) {
                std::future::pending::<()>().await;
            }
            Ok(PeerStatus {
                name: "p".into(),
                role: Role::Entry,
                zone: "a".into(),
                incarnation: ProcessIncarnation(1),
                revision: Revision(7),
                draining: false,
                control_received: 0,
                control_sent: 0,
            })
        }

        async fn exchange_revision(
            self,
            _: Context,
            _: RevisionNotice,
        ) -> Result<Revision, PeerError> {
            Err(PeerError::NotServed)
        }

        async fn get_rules(
            self,
            _: Context,
            _: Revision,
        ) -> Result<Option<RulesUpdate>, PeerError> {
            Err(PeerError::NotServed)
        }

        async fn get_events(self, _: Context, _: EventQuery) -> Result<EventPage, PeerError> {
            Err(PeerError::NotServed)
        }

        async fn offer_rules(self, _: Context, _: RulesRecord) -> Result<Revision, PeerError> {
            Err(PeerError::NotServed)
        }

        async fn exchange_shares(
            self,
            _: Context,
            _: Origin,
            _: ShareMessage,
        ) -> Result<ShareReply, PeerError> {
            Err(PeerError::NotServed)
        }
    }

    struct Server {
        address: SocketAddr,
        accepted: Arc<AtomicU32>,
        task: JoinHandle<()>,
    }

    async fn start_server(address: &str, peer: FakePeer) -> Server {
        let listener = TcpListener::bind(address).await.expect("bind a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let accepted = Arc::new(AtomicU32::new(0));
        let counted = Arc::clone(&accepted);
        let task = tokio::spawn(async move {
            accept_peers(listener, MAX_PEER_CONNECTIONS, |stream| {
                counted.fetch_add(1, Ordering::AcqRel);
                serve_connection(stream, peer.clone(), Arc::default())
            })
            .await;
        });
        Server {
            address,
            accepted,
            task,
        }
    }

    fn make_peers() -> PeerConnections {
        let peers = PeerConnections::new();
        peers.set_runtime(Handle::current());
        peers
    }

    async fn get_status(
        peers: &PeerConnections,
        peer: SocketAddr,
        call_timeout: Duration,
    ) -> Result<PeerStatus, CallError> {
        let call = |client: PeerClient, cx| async move { client.get_status(cx).await };
        peers.call(peer, call_timeout, call).await
    }

    #[tokio::test]
    async fn call_reuses_connection() {
        let server = start_server("127.0.0.1:0", FakePeer::default()).await;
        let peers = make_peers();
        for _ in 0..3 {
            let status = get_status(&peers, server.address, CALL_TIMEOUT).await;
            assert_eq!(status.expect("the peer responds").revision, Revision(7));
        }
        assert_eq!(server.accepted.load(Ordering::Acquire), 1);
    }

    #[tokio::test]
    async fn call_after_timeout_reconnects() {
        let peer = FakePeer::default();
        let server = start_server("127.0.0.1:0", peer.clone()).await;
        let peers = make_peers();
        peer.unresponsive.store(true, Ordering::Release);
        let status = get_status(&peers, server.address, SHORT_CALL_TIMEOUT).await;
        assert_eq!(status, Err(CallError::Timeout));
        assert_eq!(peers.connection_count(), 0);
        peer.unresponsive.store(false, Ordering::Release);
        let status = get_status(&peers, server.address, CALL_TIMEOUT).await;
        assert!(status.is_ok());
        assert_eq!(server.accepted.load(Ordering::Acquire), 2);
    }

    #[tokio::test]
    async fn call_peer_without_listener() {
        let server = start_server("127.0.0.1:0", FakePeer::default()).await;
        server.task.abort();
        assert!(server.task.await.is_err());
        let peers = make_peers();
        let status = get_status(&peers, server.address, CALL_TIMEOUT).await;
        assert!(matches!(status, Err(CallError::Connect(_))), "{status:?}");
    }

    #[tokio::test]
    async fn call_retries_on_new_connection() {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .expect("bind a free port");
        let address = listener.local_addr().expect("the listener has an address");
        let server = tokio::spawn(async move {
            let (first, _) = listener.accept().await.expect("the client connects");
            drop(first);
            let (second, _) = listener.accept().await.expect("the client connects");
            let second = BoundedStream::new(second, CallerActivity::start());
            serve_connection(second, FakePeer::default(), Arc::default()).await;
        });
        let peers = make_peers();
        let status = get_status(&peers, address, CALL_TIMEOUT).await;
        assert!(status.is_ok(), "{status:?}");
        drop(peers);
        server
            .await
            .expect("the connection closes when its client is dropped");
    }

    #[tokio::test]
    async fn call_message_not_served() {
        let server = start_server("127.0.0.1:0", FakePeer::default()).await;
        let peers = make_peers();
        let call = |client: PeerClient, cx| async move { client.get_rules(cx, Revision(0)).await };
        let reply = peers.call(server.address, CALL_TIMEOUT, call).await;
        assert_eq!(reply, Err(CallError::Refused(PeerError::NotServed)));
        assert_eq!(peers.connection_count(), 1);
    }

    #[tokio::test]
    async fn call_before_set_runtime() {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        let status = get_status(&PeerConnections::new(), address, CALL_TIMEOUT).await;
        assert_eq!(status, Err(CallError::NotStarted));
    }

    #[tokio::test]
    async fn call_bounds_cached_connections() {
        let peers = make_peers();
        for port in 0..2 * MAX_CACHED_CONNECTIONS {
            let port = u16::try_from(port).expect("test ports fit into u16");
            peers.get_or_insert_connection(SocketAddr::from(([127, 0, 0, 1], port)));
        }
        assert_eq!(peers.connection_count(), MAX_CACHED_CONNECTIONS);
    }
}
