//! HTTP server for operators and their tools: health, readiness and metrics.

mod operator_server;
mod role_status;

pub use operator_server::OperatorServer;
pub use role_status::RoleStatus;
