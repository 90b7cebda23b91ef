//! TCP options that detect a dead peer without closing connections to one that
//! is only idle.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Keepalive probes without a response after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets keepalive and the TCP user timeout so that a connection, busy or idle,
/// fails once its peer has acknowledged nothing for `dead_peer_timeout`. Also
/// disables Nagle's algorithm.
///
/// Keepalive counts in whole seconds, so its probes are at least one second
/// apart.
///
/// # Errors
///
/// The system refuses an option.
pub fn set_socket_options(stream: &TcpStream, dead_peer_timeout: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probe_interval = (dead_peer_timeout / (KEEPALIVE_PROBES + 1)).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(probe_interval)
        .with_interval(probe_interval)
        .with_retries(KEEPALIVE_PROBES);
    stream.set_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(dead_peer_timeout))
}
