//! Metadata that a backend server receives with a call.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::AccountName;
use crate::core::ServerName;
use crate::core::WeightsVersion;
use crate::core::fleet::VersionedSalt;

/// Metadata that is sent to a backend server in addition to the caller's
/// headers.
#[derive(Debug, Clone)]
pub struct ForwardMetadata<'a> {
    /// Account that the call runs for, if any.
    pub account: Option<&'a AccountName>,
    /// Time left until the call's deadline.
    pub time_left: Duration,
    /// Server run that the call is for; any other run refuses it.
    pub server: &'a ServerName,
    /// Weights version that the call is for; an engine with another version
    /// refuses it.
    pub weights_version: Option<WeightsVersion>,
    /// Salt of the call's cached prompt parts.
    pub cache_salt: Option<&'a VersionedSalt>,
    /// Address of the engine or KV cache store from which the engine fetches
    /// prompt parts that it has not cached.
    pub kv_fetch_from: Option<SocketAddr>,
    /// Address of the KV cache store in which the engine saves prompt parts.
    pub kv_save_to: Option<SocketAddr>,
    /// Priority at the engine, from 0 (first) to 9.
    pub priority: Option<u8>,
    /// Id of the last event that the caller received, if a stream is resumed.
    pub last_event_id: Option<&'a str>,
}
