//! What a role shows on its operator port.

/// What a role shows on its operator port.
pub trait RoleStatus: Send + Sync + 'static {
    /// Tells whether the process takes new work.
    fn is_ready(&self) -> bool;

    /// Writes the metrics in the OpenMetrics text format.
    fn write_metrics(&self) -> String;
}
