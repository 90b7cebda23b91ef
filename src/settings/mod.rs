//! Settings files of the long-running roles. Each file is one JSON object; every
//! field is checked, unknown fields are errors, and all errors are reported
//! together with the paths of their fields. A *seed* is a peer address through
//! which a process finds the rest of the fleet.

mod admission;
mod agent;
mod bounds;
mod entry;
mod error;
mod gateway;
mod listen;
mod log;
mod memory;
mod orders;
mod platform;
mod section;
mod server;
mod share;
mod sidecar;
mod traffic;
mod zones;

pub use admission::AdmissionSettings;
pub use agent::AgentSettings;
pub use bounds::BoundSettings;
pub use entry::EntrySettings;
pub use error::FieldError;
pub use error::SettingsError;
pub use gateway::GatewayListenSettings;
pub use gateway::GatewaySettings;
pub use listen::ListenSettings;
pub use log::LogFormat;
pub use log::LogLevel;
pub use log::LogSettings;
pub use memory::MemorySettings;
pub use orders::OrderSettings;
pub use platform::PlatformSettings;
pub use section::Section;
pub use server::ServerSettings;
pub use share::ShareSettings;
pub use sidecar::SidecarSettings;
pub use traffic::TrafficSettings;
pub use zones::ZoneSettings;
