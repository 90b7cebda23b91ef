//! How a request ended, as a label of its count.

use prometheus_client::encoding::EncodeLabelSet;

/// How a request ended, as a label of its count.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// `complete`, `caller-gone` or the code of the error answer.
    pub code: &'static str,
    /// What is known about whether the request ran.
    pub outcome: &'static str,
}
