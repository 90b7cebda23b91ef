//! Time line of events over all processes.

mod event;
mod event_kind;
mod recorder;

pub use event::Event;
pub use event_kind::EventKind;
pub use recorder::Recorder;
