//! Rules file: client accounts, their API keys, pools and routes, as operators
//! write them. Each line is one rule and ends with a comment that names who asked
//! for it.

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
