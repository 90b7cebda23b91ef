//! Remembers at which build a stream began, since it may go on only there.

mod build_history;
mod event_progress;
mod known_origin;
mod stream_keepers;
mod stream_key;
mod stream_origin;
mod stream_origins;
mod stream_resumption;

pub use build_history::BuildHistory;
pub use event_progress::EventProgress;
pub use known_origin::KnownOrigin;
pub use stream_keepers::choose_keepers;
pub use stream_key::StreamKey;
pub use stream_origin::StreamOrigin;
pub use stream_origins::StreamOrigins;
pub use stream_resumption::StreamResumption;
