//! Body of a call that counts as outstanding at its server.

use std::sync::Arc;

use super::context::GatewayContext;
use crate::core::fleet::BackendKey;

/// Counts the body of a call as outstanding at its server until dropped. Nothing is counted
/// unless the settings bound what servers hold.
#[derive(Debug)]
pub struct OutstandingBytes {
    cx: Arc<GatewayContext>,
    server: BackendKey,
    bytes: u64,
}

impl OutstandingBytes {
    /// Counts the body of a call that is about to be sent.
    pub fn start(cx: &Arc<GatewayContext>, server: BackendKey, bytes: usize) -> Self {
        let bytes = if cx.settings.has_server_bounds() {
            bytes as u64
        } else {
            0
        };
        if bytes > 0 {
            cx.lock_server_bytes().begin(server, bytes);
        }
        Self {
            cx: Arc::clone(cx),
            server,
            bytes,
        }
    }
}

impl Drop for OutstandingBytes {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.cx.lock_server_bytes().end(self.server, self.bytes);
        }
    }
}
