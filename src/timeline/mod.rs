//! Timeline: events that each process records, merged over all processes into one
//! causal order. A *stamp* is a time of the hybrid logical clock: an effect has a
//! higher stamp than its cause.

mod event;
mod event_kind;
mod event_query;
mod merge_events;
mod recorder;
mod write_events;

pub use event::Event;
pub use event_kind::EventKind;
pub use event_query::EventPage;
pub use event_query::EventQuery;
pub use merge_events::EventFilter;
pub use merge_events::merge_events;
pub use recorder::Recorder;
pub use write_events::write_json_lines;
pub use write_events::write_table;
pub use write_events::write_trace;
