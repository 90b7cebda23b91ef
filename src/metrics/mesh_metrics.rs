//! Counters of the control messages of a gateway.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

/// What a control message is counted under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, EncodeLabelSet)]
pub struct MeshLabels {
    /// Method that the message belongs to.
    pub message: &'static str,
    /// Role of the other process: `entry`, `agent` or `unknown`.
    pub peer: &'static str,
    /// Zone of the other process: `own`, `other` or `unknown`.
    pub zone: &'static str,
    /// `sent` or `received`.
    pub direction: &'static str,
}

/// Counters of control messages and their bytes.
#[derive(Debug, Default)]
pub struct MeshMetrics {
    messages: Family<MeshLabels, Counter>,
    bytes: Family<MeshLabels, Counter>,
}

impl MeshMetrics {
    /// Registers the counters, all at zero.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        registry.register(
            "mesh_messages",
            "Control messages by method, role and zone of the other process",
            metrics.messages.clone(),
        );
        registry.register(
            "mesh_bytes",
            "Bytes of control messages, without headers of TCP and IP",
            metrics.bytes.clone(),
        );
        metrics
    }

    /// Adds messages and their bytes.
    pub fn add(&self, labels: MeshLabels, messages: u64, bytes: u64) {
        self.messages.get_or_create(&labels).inc_by(messages);
        self.bytes.get_or_create(&labels).inc_by(bytes);
    }
}
