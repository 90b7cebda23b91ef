//! What a backend server is told of a call.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::AccountName;
use crate::core::ServerName;
use crate::core::WeightsVersion;
use crate::core::fleet::VersionedSalt;

/// What a backend server is told of a call, besides the caller's headers.
#[derive(Debug, Clone)]
pub struct ForwardMetadata<'a> {
    /// Account that the call runs for.
    pub account: Option<&'a AccountName>,
    /// Time that is left for the call.
    pub time_left: Duration,
    /// Run of the server that the call is for; any other one refuses it.
    pub server: &'a ServerName,
    /// Weights version that the call is for; an engine with another refuses.
    pub weights_version: Option<WeightsVersion>,
    /// Salt of its cached parts.
    pub cache_salt: Option<&'a VersionedSalt>,
    /// Where the engine gets parts that it does not hold.
    pub kv_fetch_from: Option<SocketAddr>,
    /// Store that the engine saves parts to.
    pub kv_save_to: Option<SocketAddr>,
    /// Rank at the engine, from 0, the first, to 9.
    pub priority: Option<u8>,
    /// Last event that the caller has, where a stream goes on.
    pub last_event_id: Option<&'a str>,
}
