//! Rules that operators write: one line a rule, each with a comment naming
//! who asked for it.

mod account;
mod api_key;
mod line;
mod parse;
mod pool;
mod route;
mod rule_error;
mod rule_set;

pub use account::Account;
pub use account::AccountKey;
pub use api_key::ApiKey;
pub use parse::parse_rules;
pub use pool::Pool;
pub use route::Route;
pub use rule_error::RuleError;
pub use rule_set::RuleSet;
