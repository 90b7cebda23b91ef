//! The messages themselves.

#![allow(missing_docs, reason = "the macro derives items without comments")]

use std::time::Duration;

use bytes::Bytes;

use super::EngineUpdate;
use super::ObserveRequest;
use super::PeerState;
use crate::core::fleet::Member;

/// Messages between the processes of a fleet. A process that does not serve
/// one answers with nothing.
#[tarpc::service]
pub trait Mesh {
    /// Asks an agent for news of its engine; held back for a while where there
    /// are none.
    async fn observe(req: ObserveRequest) -> Option<EngineUpdate>;

    /// Announces a call that was just sent to the agent's engine, whose prompt
    /// takes so long to read.
    async fn announce(reading: Duration);

    /// Tells an entry the caller's news and asks for its own.
    async fn exchange(news: PeerState) -> Option<PeerState>;

    /// Asks an entry for a configuration newer than `held`, as the store
    /// holds it.
    async fn get_configuration(held: u64) -> Option<Bytes>;

    /// Asks an entry for the backend servers that it knows.
    async fn get_members() -> Vec<Member>;
}
