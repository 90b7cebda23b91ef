//! Rules that operators write: one line a rule, each with a comment naming
//! who asked for it.

mod account;
mod key;
mod line;
mod parse;
mod pool;
mod route;
mod rule_fault;
mod rule_set;

pub use account::Account;
pub use account::AccountKey;
pub use key::Key;
pub use parse::parse_rules;
pub use pool::Pool;
pub use route::Route;
pub use rule_fault::RuleFault;
pub use rule_set::RuleSet;
