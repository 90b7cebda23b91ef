//! Kinds of control messages, for counting them.

use tarpc::ClientMessage;
use tarpc::Response;

use super::service::MeshRequest;
use super::service::MeshResponse;

/// Names of the kinds: the methods of [`Mesh`](super::Mesh), and all else (cancelled
/// requests, errors).
pub(super) const KIND_NAMES: [&str; 18] = [
    "observe",
    "announce",
    "exchange",
    "get_configuration",
    "get_members",
    "collect",
    "forward_announcement",
    "follow_members",
    "yield_orders",
    "keep_streams",
    "find_stream",
    "share_quarantine",
    "report_rollout",
    "exchange_zones",
    "grant_orders",
    "hold_weights",
    "release_weights",
    "other",
];

/// Index in [`KIND_NAMES`] of messages that belong to no method.
const OTHER_KIND: usize = KIND_NAMES.len() - 1;

/// Message of a control connection, in either direction.
pub(super) trait CountedMessage {
    /// Returns the index of the kind in [`KIND_NAMES`].
    fn kind(&self) -> usize;
}

impl CountedMessage for ClientMessage<MeshRequest> {
    fn kind(&self) -> usize {
        let Self::Request(request) = self else {
            return OTHER_KIND;
        };
        match request.message {
            MeshRequest::Observe { .. } => 0,
            MeshRequest::Announce { .. } => 1,
            MeshRequest::Exchange { .. } => 2,
            MeshRequest::GetConfiguration { .. } => 3,
            MeshRequest::GetMembers { .. } => 4,
            MeshRequest::Collect { .. } => 5,
            MeshRequest::ForwardAnnouncement { .. } => 6,
            MeshRequest::FollowMembers { .. } => 7,
            MeshRequest::YieldOrders { .. } => 8,
            MeshRequest::KeepStreams { .. } => 9,
            MeshRequest::FindStream { .. } => 10,
            MeshRequest::ShareQuarantine { .. } => 11,
            MeshRequest::ReportRollout { .. } => 12,
            MeshRequest::ExchangeZones { .. } => 13,
            MeshRequest::GrantOrders { .. } => 14,
            MeshRequest::HoldWeights { .. } => 15,
            MeshRequest::ReleaseWeights { .. } => 16,
        }
    }
}

impl CountedMessage for Response<MeshResponse> {
    fn kind(&self) -> usize {
        let Ok(response) = &self.message else {
            return OTHER_KIND;
        };
        match response {
            MeshResponse::Observe(_) => 0,
            MeshResponse::Announce(()) => 1,
            MeshResponse::Exchange(_) => 2,
            MeshResponse::GetConfiguration(_) => 3,
            MeshResponse::GetMembers(_) => 4,
            MeshResponse::Collect(_) => 5,
            MeshResponse::ForwardAnnouncement(()) => 6,
            MeshResponse::FollowMembers(_) => 7,
            MeshResponse::YieldOrders(()) => 8,
            MeshResponse::KeepStreams(()) => 9,
            MeshResponse::FindStream(_) => 10,
            MeshResponse::ShareQuarantine(_) => 11,
            MeshResponse::ReportRollout(_) => 12,
            MeshResponse::ExchangeZones(_) => 13,
            MeshResponse::GrantOrders(()) => 14,
            MeshResponse::HoldWeights(_) => 15,
            MeshResponse::ReleaseWeights(()) => 16,
        }
    }
}
