//! TCP options that detect a dead peer without closing connections to one that
//! is only idle.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Keepalive probes without a response after which a connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Shortest interval between probes; keepalive counts in whole seconds.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets keepalive and the TCP user timeout so that a connection, busy or idle,
/// fails once its peer has acknowledged nothing for `dead_peer_timeout`. Also
/// disables Nagle's algorithm.
///
/// # Errors
///
/// The system refuses an option.
pub fn set_socket_options(stream: &TcpStream, dead_peer_timeout: Duration) -> io::Result<()> {
    let probe_interval = dead_peer_timeout / (KEEPALIVE_PROBES + 1);
    set_options(stream, probe_interval, dead_peer_timeout)
}

/// Sets the options of a connection to a server like [`set_socket_options`], with the
/// shortest interval between probes whatever `dead_server_timeout` is: another host that has
/// taken the address over answers a probe with a reset.
///
/// # Errors
///
/// The system refuses an option.
pub(crate) fn set_client_socket_options(
    stream: &TcpStream,
    dead_server_timeout: Duration,
) -> io::Result<()> {
    set_options(stream, MIN_PROBE_INTERVAL, dead_server_timeout)
}

fn set_options(
    stream: &TcpStream,
    probe_interval: Duration,
    dead_peer_timeout: Duration,
) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let probe_interval = probe_interval.max(MIN_PROBE_INTERVAL);
    // The user timeout ends the connection, whatever the number of probes.
    let keepalive = TcpKeepalive::new()
        .with_time(probe_interval)
        .with_interval(probe_interval)
        .with_retries(KEEPALIVE_PROBES);
    stream.set_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(dead_peer_timeout))
}
