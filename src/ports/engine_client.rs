//! What an agent asks of the engine beside it.

use std::net::SocketAddr;

use futures::future::BoxFuture;

use super::PortError;
use crate::core::fleet::EngineStatus;
use crate::core::fleet::OrderOutcome;
use crate::core::fleet::ReportedLoad;
use crate::core::fleet::RunningCalls;
use crate::core::fleet::TargetVersion;

/// What an engine reports of itself.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// What decides about orders.
    pub status: EngineStatus,
    /// Its load.
    pub load: ReportedLoad,
    /// Tokens of KV cache that cannot yield.
    pub used_kv_tokens: u64,
    /// Tokens of KV cache altogether.
    pub total_kv_tokens: u64,
}

/// An order to change weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightsOrder {
    /// The version to load; its revision is the fencing number.
    pub target: TargetVersion,
    /// What becomes of calls that run.
    pub running_calls: RunningCalls,
    /// Orders that the engine must have accepted for this one to hold.
    pub accepted_orders: u64,
    /// Who gives it.
    pub holder: String,
    /// Run of the engine that it is for, if known.
    pub engine_run: Option<String>,
}

/// What an agent asks of the engine beside it.
pub trait EngineClient: Send + Sync {
    /// Reads the engine's report.
    fn read_report(&self, engine: SocketAddr) -> BoxFuture<'_, Result<EngineReport, PortError>>;

    /// Orders the engine to change its weights.
    fn order_weights<'a>(
        &'a self,
        engine: SocketAddr,
        order: &'a WeightsOrder,
    ) -> BoxFuture<'a, Result<OrderOutcome, PortError>>;
}
