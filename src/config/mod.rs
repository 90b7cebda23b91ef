//! The rules in force in a process, and how they get there.

mod rules_in_force;

pub use rules_in_force::RejectedRecord;
pub use rules_in_force::RulesInForce;
