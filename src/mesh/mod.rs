//! Control connections of a fleet, over tarpc: between entries, and between
//! entries and the agents beside engines. They never carry traffic of callers.
//!
//! An *entry* is one gateway process of the fleet, and the *agent* of an engine
//! is its sidecar. An *area* is a set of records in the store that is read and
//! watched separately: [`crate::ports::Area`].

mod connect_mesh;
mod engine_update;
mod observe_request;
mod peer_state;
mod serve_mesh;
mod service;

pub use connect_mesh::connect_mesh;
pub use engine_update::EngineUpdate;
pub use observe_request::ObserveRequest;
pub use peer_state::KnownEntry;
pub use peer_state::PeerState;
pub use serve_mesh::serve_mesh;
pub use service::Mesh;
pub use service::MeshClient;
