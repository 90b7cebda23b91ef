//! Limits on callers that read slowly.

use std::sync::Arc;
use std::time::Duration;

use super::ByteBudget;

/// Limits on callers that read slowly.
#[derive(Debug, Clone)]
pub struct ReaderLimits {
    /// Time without a byte taken after which a caller is disconnected.
    pub timeout: Duration,
    /// Send buffer of a connection in the kernel, in bytes.
    pub send_buffer_bytes: u32,
    /// Budget in which disconnected readers are counted.
    pub budget: Arc<ByteBudget>,
}
