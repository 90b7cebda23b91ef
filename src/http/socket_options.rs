//! Socket options that tell a dead peer from a quiet one.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// Probes that a dead peer leaves unanswered before the connection fails.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets options so that a connection whose peer acknowledges nothing for
/// `dead_after`, busy or idle, fails.
///
/// # Errors
///
/// The system refuses an option.
pub fn set_socket_options(stream: &TcpStream, dead_after: Duration) -> io::Result<()> {
    let socket = SockRef::from(stream);
    let step = (dead_after / (KEEPALIVE_PROBES + 1)).max(Duration::from_secs(1));
    let keepalive = TcpKeepalive::new()
        .with_time(step)
        .with_interval(step)
        .with_retries(KEEPALIVE_PROBES);
    stream.set_nodelay(true)?;
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(dead_after))
}
