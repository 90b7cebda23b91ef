//! Configuration: the accepted rules and how a process takes them over.

mod rules_record;

pub use rules_record::RulesRecord;
