//! For whom bytes are held.

use std::net::SocketAddr;

use crate::core::AccountName;

/// For whom bytes are held. Callers without an account share one share.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Holder {
    /// Account of the call; `None` for an anonymous caller.
    pub account: Option<AccountName>,
    /// Address of the caller, which identifies the connection while it is open.
    pub connection: Option<SocketAddr>,
    /// Address of the server that still sends the response, if it is one.
    pub server: Option<SocketAddr>,
}
