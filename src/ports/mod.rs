//! What the product asks of the systems around it: callers and backend
//! servers that speak a dialect of HTTP, a source of configuration and
//! members, engines that take orders, and feeds of cached parts.

mod answer_facts;
mod dialect;
mod engine_port;
mod fleet_source;
mod forward_facts;
mod parts_feed;
mod port_error;

pub use answer_facts::AnswerFacts;
pub use dialect::Dialect;
pub use engine_port::EnginePort;
pub use engine_port::EngineReport;
pub use engine_port::WeightsOrder;
pub use fleet_source::Area;
pub use fleet_source::FleetSource;
pub use fleet_source::SourceChange;
pub use fleet_source::SourceNews;
pub use forward_facts::ForwardFacts;
pub use parts_feed::PartsFeed;
pub use parts_feed::PartsPage;
pub use port_error::PortError;
