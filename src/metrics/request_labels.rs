//! Labels of the counter of ended requests.

use prometheus_client::encoding::EncodeLabelSet;

/// Labels of the counter of ended requests. The field names are the label
/// names that monitoring sees.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// `complete`, `caller-gone` or the code of the error response.
    pub code: &'static str,
    /// Text of the [`Outcome`](crate::core::Outcome): whether the request ran.
    pub outcome: &'static str,
}
