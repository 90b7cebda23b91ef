//! Finds out whether a process has ended: its host refuses connections to its port.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Result of a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PortProbe {
    /// A process listens on the port.
    Accepted,
    /// The host refuses connections to the port.
    Refused,
    /// The host did not answer: it may be cut off, together with a process that runs.
    Silent,
}

/// Connects to `address` within `time_limit` and closes the connection.
pub async fn probe_port(address: SocketAddr, time_limit: Duration) -> PortProbe {
    match timeout(time_limit, TcpStream::connect(address)).await {
        Ok(Ok(_)) => PortProbe::Accepted,
        Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => PortProbe::Refused,
        Ok(Err(_)) | Err(_) => PortProbe::Silent,
    }
}

/// Returns whether the host of `address` refuses a connection within `time_limit`.
pub async fn is_refused(address: SocketAddr, time_limit: Duration) -> bool {
    probe_port(address, time_limit).await == PortProbe::Refused
}
