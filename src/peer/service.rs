//! Control service that every process implements.

#![allow(missing_docs, reason = "tarpc generates items without doc comments")]

use super::PeerError;
use super::PeerStatus;
use super::RevisionNotice;
use super::ShareReply;
use crate::core::Revision;
use crate::core::config::RulesRecord;
use crate::core::config::RulesUpdate;
use crate::core::limit::Origin;
use crate::core::limit::ShareMessage;
use crate::timeline::EventPage;
use crate::timeline::EventQuery;

/// Control messages that every process of teaseldrum serves.
#[tarpc::service]
pub trait Peer {
    /// Returns the identity and state of the process.
    async fn get_status() -> Result<PeerStatus, PeerError>;

    /// Sends the caller's rules revision and returns the peer's. The side with the
    /// lower revision then fetches the other's rules.
    async fn exchange_revision(notice: RevisionNotice) -> Result<Revision, PeerError>;

    /// Returns an update from revision `held` to the one in force; `None` if that
    /// is not newer.
    async fn get_rules(held: Revision) -> Result<Option<RulesUpdate>, PeerError>;

    /// Returns a page of the timeline of the process.
    async fn get_events(query: EventQuery) -> Result<EventPage, PeerError>;

    /// Sends accepted rules and returns the revision in force afterwards.
    async fn offer_rules(record: RulesRecord) -> Result<Revision, PeerError>;

    /// Sends a message of the rate limiter and returns the messages that answer
    /// it.
    async fn exchange_shares(from: Origin, message: ShareMessage) -> Result<ShareReply, PeerError>;
}
