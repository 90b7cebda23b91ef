//! RPC service of the processes of a fleet.

#![allow(
    missing_docs,
    reason = "the macro generates items without documentation"
)]

use std::time::Duration;

use bytes::Bytes;

use super::CollectRequest;
use super::CollectResponse;
use super::EngineUpdate;
use super::MembersCursor;
use super::MembersUpdate;
use super::ObserveRequest;
use super::PeerState;
use super::ZoneExchange;
use crate::core::ServerName;
use crate::core::fleet::KnownOrigin;
use crate::core::fleet::Member;
use crate::core::fleet::QuarantineNews;
use crate::core::fleet::RolloutPlan;
use crate::core::fleet::RolloutReport;
use crate::core::fleet::StreamKey;
use crate::core::fleet::StreamOrigin;
use crate::core::fleet::WeightsHold;

/// Requests between the processes of a fleet. A process that does not serve a
/// request returns `None` or an empty list.
#[tarpc::service]
pub trait Mesh {
    /// Asks an agent for an update about its engine. Without changes, the agent
    /// delays the response.
    async fn observe(req: ObserveRequest) -> Option<EngineUpdate>;

    /// Announces a call that was just sent to the agent's engine; `reading` is
    /// the expected prefill time of its prompt.
    async fn announce(reading: Duration);

    /// Sends the caller's state to an entry and asks for its state.
    async fn exchange(news: PeerState) -> Option<PeerState>;

    /// Asks an entry for a configuration with a version above `held`, encoded
    /// as in the store.
    async fn get_configuration(held: u64) -> Option<Bytes>;

    /// Asks an entry for the backend servers that it knows.
    async fn get_members() -> Vec<Member>;

    /// Asks an agent for updates about several engines, as their collector. It
    /// delays the response so that it holds the updates of a short period.
    async fn collect(req: CollectRequest) -> Option<CollectResponse>;

    /// Announces a call to a collector, which passes it on to the agent of the
    /// engine `server`; see [`Self::announce`].
    async fn forward_announcement(server: ServerName, reading: Duration);

    /// Asks an entry that reads the store for changes of the list of backend
    /// servers. Without changes, it delays the response.
    async fn follow_members(known: MembersCursor) -> Option<MembersUpdate>;

    /// Tells an agent that another process has ordered its engine with the fencing
    /// token `fence`. Only entries of an earlier release send this.
    async fn yield_orders(fence: u64);

    /// Tells a process at which builds streams began, to keep that for others.
    async fn keep_streams(origins: Vec<StreamOrigin>);

    /// Asks a process at which build a stream of a service began.
    async fn find_stream(stream: StreamKey, service: String) -> KnownOrigin;

    /// Tells an agent which prompt parts crash servers, and asks for those that it
    /// knows.
    async fn share_quarantine(news: QuarantineNews) -> QuarantineNews;

    /// Reports what an entry counts for a rollout to its leader, and asks what the
    /// entry may send to the new build; `None` if the receiver does not lead it.
    async fn report_rollout(report: RolloutReport) -> Option<RolloutPlan>;
    /// Like [`Self::exchange`], with the sender's zone and states that relays pass on.
    async fn exchange_zones(message: ZoneExchange) -> Option<ZoneExchange>;

    /// Passes an agent a fencing token that the store gave out after the agent had
    /// asked for one, in its term `term`.
    async fn grant_orders(term: u64, fence: u64);

    /// Asks the agent of an engine, or a collector that follows it, for a hold on the
    /// engine's weights. Returns whether it is granted.
    async fn hold_weights(hold: WeightsHold) -> bool;

    /// Ends a hold on the weights of the engine `server`.
    async fn release_weights(server: ServerName, hold: u64);
}
