//! Keeps the limits and pauses that servers ask for.

mod limit_notice;
mod limit_table;
mod limit_update;
mod run_limits;
mod server_limit;

pub use limit_notice::LimitNotice;
pub use limit_table::ServerLimits;
pub use limit_update::LimitUpdate;
pub use run_limits::MAX_PAUSE;
pub(super) use run_limits::RunLimits;
