//! The messages themselves.

#![allow(missing_docs, reason = "the macro derives items without comments")]

use super::PeerError;
use super::PeerStatus;
use super::RevisionReply;
use crate::core::Revision;
use crate::core::config::RulesRecord;

/// Messages that every process of teaseldrum answers.
#[tarpc::service]
pub trait Peer {
    /// Tells who the process is and how it is.
    async fn get_status() -> Result<PeerStatus, PeerError>;

    /// Tells the caller's revision and asks for the peer's; the reply carries
    /// the peer's rules if they are newer.
    async fn exchange_revision(held: Revision) -> Result<RevisionReply, PeerError>;

    /// Hands over rules; the reply is the revision in force afterwards.
    async fn offer_rules(record: RulesRecord) -> Result<Revision, PeerError>;
}
