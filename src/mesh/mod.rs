//! Control connections of a fleet, over tarpc: between entries, and between
//! entries and the agents beside engines. They never carry traffic of callers.
//!
//! An *entry* is one gateway process of the fleet, and the *agent* of an engine
//! is its sidecar. A *collector* is an agent that also follows other agents and
//! passes their updates on to entries. An *area* is a set of records in the store that is read and
//! watched separately: [`crate::ports::Area`].

mod announce_call;
mod collect_request;
mod collect_response;
mod connect_mesh;
mod counted_codec;
mod engine_update;
mod fleet_news;
mod follow_agent;
mod hold_weights;
mod members_message;
mod mesh_traffic;
mod message_kind;
mod observe_request;
mod peer_state;
mod serve_mesh;
mod service;
mod zone_exchange;

pub use announce_call::AnnouncementReceiver;
pub use announce_call::announce_call;
pub use collect_request::CollectRequest;
pub use collect_request::FollowedEngine;
pub use collect_response::CollectResponse;
pub use collect_response::StoreUpdate;
pub use connect_mesh::connect_mesh;
pub use engine_update::EngineUpdate;
pub use fleet_news::FleetNews;
pub use follow_agent::AgentObserver;
pub use follow_agent::follow_agent;
pub use hold_weights::release_hold;
pub use hold_weights::request_hold;
pub use members_message::MembersCursor;
pub use members_message::MembersUpdate;
pub use mesh_traffic::MessageCount;
pub use mesh_traffic::list_message_counts;
pub use observe_request::ObserveRequest;
pub use peer_state::KnownEntry;
pub use peer_state::PeerState;
pub use serve_mesh::serve_mesh;
pub use service::Mesh;
pub use service::MeshClient;
pub use zone_exchange::RelayedEntry;
pub use zone_exchange::ZoneExchange;
