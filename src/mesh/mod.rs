//! Control messages of a fleet between entries, and between entries and the
//! agents beside engines, over tarpc. Traffic never goes this way.

mod engine_news;
mod entry_news;
mod link;
mod observe_request;
mod serve_mesh;
mod service;

pub use engine_news::EngineNews;
pub use entry_news::EntryNews;
pub use entry_news::KnownEntry;
pub use link::connect_mesh;
pub use observe_request::ObserveRequest;
pub use serve_mesh::serve_mesh;
pub use service::Mesh;
pub use service::MeshClient;
