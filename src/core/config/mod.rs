//! Configuration: accepted revisions of the rules, and how they reach every
//! process.

mod gossip_schedule;
mod history_entry;
mod rules_record;
mod rules_update;
mod text_patch;
mod watchers;

pub use gossip_schedule::GossipSchedule;
pub use history_entry::HistoryEntry;
pub use rules_record::RulesRecord;
pub use rules_update::RulesUpdate;
pub use rules_update::UpdateError;
pub use text_patch::TextPatch;
pub use watchers::is_watcher;
pub use watchers::poll_interval;
