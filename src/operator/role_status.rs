//! Readiness and metrics of a role.

/// Readiness and metrics of a role, served on its operator port.
pub trait RoleStatus: Send + Sync + 'static {
    /// Returns whether the process accepts new work.
    fn is_ready(&self) -> bool;

    /// Returns the metrics in the OpenMetrics text format.
    fn write_metrics(&self) -> String;
}
