//! The messages themselves.

#![allow(missing_docs, reason = "the macro derives items without comments")]

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

/// Messages that every process of teaseldrum answers.
#[tarpc::service]
pub trait Peer {
    /// Tells who the process is and how it is.
    async fn get_status() -> Result<PeerStatus, PeerError>;

    /// Tells the caller's revision and asks for the peer's. Whoever holds the
    /// lower one fetches the other's rules.
    async fn exchange_revision(notice: RevisionNotice) -> Result<Revision, PeerError>;

    /// Asks for rules newer than those that the caller holds.
    async fn get_rules(held: Revision) -> Result<Option<RulesUpdate>, PeerError>;

    /// Asks for events of the time line.
    async fn get_events(query: EventQuery) -> Result<EventPage, PeerError>;

    /// Hands over rules; the reply is the revision in force afterwards.
    async fn offer_rules(record: RulesRecord) -> Result<Revision, PeerError>;

    /// Hands over a message about shares of rates; the reply carries those
    /// messages that answer it.
    async fn exchange_shares(from: Origin, message: ShareMessage) -> Result<ShareReply, PeerError>;
}
