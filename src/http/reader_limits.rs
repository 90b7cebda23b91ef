//! Limits on callers that read slowly.

use std::sync::Arc;
use std::time::Duration;

use super::ByteBudget;

/// Send buffer of a connection of a caller, in bytes; the kernel doubles it. Enough for
/// 16 MB/s at a round trip of 2 ms.
const SEND_BUFFER_BYTES: u32 = 32 * 1024;

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

impl ReaderLimits {
    /// Creates limits whose disconnected readers are counted in `budget`.
    pub fn new(timeout: Duration, budget: &Arc<ByteBudget>) -> Self {
        Self {
            timeout,
            send_buffer_bytes: SEND_BUFFER_BYTES,
            budget: Arc::clone(budget),
        }
    }

    /// Creates limits of a listener without a budget of bytes.
    pub fn without_budget(timeout: Duration) -> Self {
        Self::new(timeout, &Arc::new(ByteBudget::new(0)))
    }
}
