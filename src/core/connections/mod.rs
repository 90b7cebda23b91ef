//! Decides which connection a process that has too many of them closes.

mod choose_least_useful;
mod connection_use;
mod connection_view;

pub use choose_least_useful::choose_least_useful;
pub use connection_use::ConnectionUse;
pub use connection_view::ConnectionView;
