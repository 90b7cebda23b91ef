//! Prometheus metrics of each role, served at `/metrics` on its operator port.

mod admission_metrics;
mod agent_metrics;
mod entry_metrics;
mod gateway_metrics;
mod mesh_metrics;
mod request_labels;
mod sidecar_metrics;

pub use admission_metrics::AdmissionMetrics;
pub use agent_metrics::AgentMetrics;
pub use entry_metrics::EntryMetrics;
pub use gateway_metrics::GatewayGauges;
pub use gateway_metrics::GatewayMetrics;
pub use gateway_metrics::MemoryGauges;
pub use mesh_metrics::MeshLabels;
pub use mesh_metrics::MeshMetrics;
pub use request_labels::RequestLabels;
pub use sidecar_metrics::SidecarMetrics;

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Prefix of all metric names.
const PREFIX: &str = "teaseldrum";

/// Encodes a registry in the OpenMetrics text format. After an error, the text
/// is cut at the metric that failed.
fn encode_registry(registry: &Registry) -> String {
    let mut text = String::new();
    if let Err(e) = encode(&mut text, registry) {
        log::error!("metrics: Cannot encode the metrics: {e}.");
    }
    text
}
