//! Finds out whether a process has ended: its host refuses connections to its port.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::timeout;

/// Returns whether the host of `address` refuses a connection within `time_limit`. A host
/// that does not answer may be cut off, together with a process that runs.
pub async fn is_refused(address: SocketAddr, time_limit: Duration) -> bool {
    match timeout(time_limit, TcpStream::connect(address)).await {
        Ok(Err(e)) => e.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
