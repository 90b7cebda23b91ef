//! Choice of the backend server that answers a request soonest and wastes
//! least computation.
//!
//! An entry keeps a bounded table of the prefixes that it sent to servers
//! ([`LearnedTable`]), a view of each server's load ([`ServerLoad`]), and
//! predicts the time to the first token on each server ([`Planner`]).

mod block_hash;
mod cache_identity;
mod cost_rates;
mod learned_table;
mod plan;
mod planned_pool;
mod planner;
mod prompt_prefix;
mod prompt_text;
mod rendezvous;
mod server_key;
mod server_load;
mod server_view;

pub use block_hash::BLOCK_BYTES;
pub use block_hash::BLOCK_TOKENS;
pub use block_hash::BYTES_PER_TOKEN;
pub use block_hash::BlockHash;
pub use block_hash::PIECE_BLOCKS;
pub use block_hash::hash_blocks;
pub use cache_identity::CacheIdentity;
pub use cost_rates::CostRates;
pub use learned_table::LEARNED_PREFIXES;
pub use learned_table::LearnedTable;
pub use plan::Plan;
pub use plan::PlanRequest;
pub use planner::Planner;
pub use prompt_prefix::PrefixLevel;
pub use prompt_prefix::PromptPrefix;
pub use prompt_text::read_prompt_text;
pub use rendezvous::score_rendezvous;
pub use server_key::ServerKey;
pub use server_load::ServerLoad;
pub use server_view::ServerView;
