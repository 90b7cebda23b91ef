//! Choice of the backend server that is predicted to answer a request soonest
//! with the least recomputation of cached prompt tokens.
//!
//! An entry keeps a bounded table of the prompt prefixes that it sent to each
//! server ([`PrefixTable`]) and an estimate of each server's load
//! ([`ServerLoad`]). From these it predicts the time to the first token on each
//! server ([`Planner`]).

mod block_hash;
mod cache_identity;
mod cost_model;
mod plan;
mod planner;
mod prefix_table;
mod prompt_prefix;
mod prompt_text;
mod rendezvous;
mod server_key;
mod server_load;
mod server_pool;
mod server_view;

pub use block_hash::BLOCK_BYTES;
pub use block_hash::BLOCK_TOKENS;
pub use block_hash::BYTES_PER_TOKEN;
pub use block_hash::BlockHash;
pub use block_hash::CHUNK_BLOCKS;
pub use block_hash::hash_blocks;
pub use cache_identity::CacheIdentity;
pub use cost_model::CostModel;
pub use plan::Plan;
pub use plan::PlanRequest;
pub use planner::Planner;
pub use prefix_table::PREFIX_TABLE_CAPACITY;
pub use prefix_table::PrefixTable;
pub use prompt_prefix::PrefixLevel;
pub use prompt_prefix::PromptPrefix;
pub use prompt_text::read_prompt_text;
pub use rendezvous::score_rendezvous;
pub use server_key::ServerKey;
pub use server_load::ServerLoad;
pub use server_view::ServerView;
