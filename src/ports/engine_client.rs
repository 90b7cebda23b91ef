//! Client interface of the engine beside an agent.

use std::net::SocketAddr;

use futures::future::BoxFuture;

use super::PortError;
use crate::core::fleet::EngineStatus;
use crate::core::fleet::OrderOutcome;
use crate::core::fleet::ReportedLoad;
use crate::core::fleet::RunningCalls;
use crate::core::fleet::TargetVersion;

/// Status, load and KV cache usage that an engine reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Whether the engine says that it leaves.
    pub is_leaving: bool,
    /// Status that orders depend on.
    pub status: EngineStatus,
    /// Running and waiting calls.
    pub load: ReportedLoad,
    /// KV cache that is in use and cannot be evicted, in tokens.
    pub used_kv_tokens: u64,
    /// Capacity of the KV cache, in tokens.
    pub total_kv_tokens: u64,
}

/// Order to load another weights version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// Version to load.
    pub target: TargetVersion,
    /// Fencing token.
    pub fence: u64,
    /// Whether running calls finish first or continue on the new weights.
    pub running_calls: RunningCalls,
    /// Number of orders that the engine must have accepted before for this one
    /// to be valid.
    pub accepted_orders: u64,
    /// Name of the process that sends the order.
    pub holder: String,
    /// Name of the engine run that the order is for, if known.
    pub engine_run: Option<String>,
}

/// Requests that an agent sends to the engine beside it.
pub trait EngineClient: Send + Sync {
    /// Fetches the engine's current report.
    fn read_report(&self, engine: SocketAddr) -> BoxFuture<'_, Result<EngineReport, PortError>>;

    /// Asks a server for its load at its health path; `None` if it does not state it.
    fn read_load<'a>(
        &'a self,
        server: SocketAddr,
        health_path: &'a str,
    ) -> BoxFuture<'a, Result<Option<ReportedLoad>, PortError>>;

    /// Sends an order to change weights and returns the engine's reply to it.
    fn order_weights<'a>(
        &'a self,
        engine: SocketAddr,
        order: &'a WeightsOrder,
    ) -> BoxFuture<'a, Result<OrderOutcome, PortError>>;
}
