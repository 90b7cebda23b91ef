//! Distribution of accepted rules to every process.
//!
//! An operator *accepts* rules, that is, writes them as the newest revision, by one
//! compare-and-swap in the platform's store. A few entries, the *watchers*, watch
//! the store, and all entries together poll it at a low, constant rate. A process
//! that finds newer rules notifies random peers (gossip), which fetch the rules
//! from it. A revision replaces lower revisions only, so a process never
//! goes back to older rules.

mod accept_rules;
mod read_rules;
mod rules_in_force;
mod rules_sync;
mod stored_rules;

pub use accept_rules::AcceptError;
pub use accept_rules::Proposal;
pub use accept_rules::accept_rules;
pub use read_rules::ReadError;
pub use read_rules::read_history;
pub use read_rules::read_record;
pub use read_rules::read_text_at;
pub use rules_in_force::NewerRulesPeer;
pub use rules_in_force::RejectedRecord;
pub use rules_in_force::RulesInForce;
pub use rules_sync::RulesSync;
