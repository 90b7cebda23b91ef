//! State of an open connection.

use std::net::IpAddr;
use std::time::Duration;

use super::ConnectionUse;

/// State of an open connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectionView<K> {
    /// Key of the connection.
    pub key: K,
    /// Host of the caller.
    pub host: IpAddr,
    /// What it is used for.
    pub usage: ConnectionUse,
    /// For how long it has been used so.
    pub used_for: Duration,
}
