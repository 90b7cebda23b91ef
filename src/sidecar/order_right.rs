//! Right of a process to order an engine, and where its fencing tokens come from.

use std::time::Duration;

use futures::future::BoxFuture;

/// Decides whether this process may order an engine now.
pub trait OrderRight: Send + Sync {
    /// Looks for another process that may order the engine, which was just read.
    fn check(&self) -> BoxFuture<'_, ()>;

    /// Returns the time until the first order may be sent; `None` if none may be sent
    /// for now.
    fn time_until_order(&self) -> Option<Duration>;

    /// Returns the fencing token of an order that is sent at once, for a target version
    /// of revision `target_revision`; `None` if it must not be sent.
    fn find_fence(&self, target_revision: u64) -> BoxFuture<'_, Option<u64>>;

    /// Records that the engine has seen a higher token than that of the last order.
    fn record_fenced(&self);
}
