//! Decision logic of the gateways and agents of a fleet whose configuration,
//! members and weights versions come from an external store: routing,
//! authentication, rate limits, choice of backend servers, retries and rollout
//! of weights.
//!
//! An *entry* is one gateway process of the fleet. A *part* is a named segment
//! of a prompt, whose KV cache engines keep for later calls. A *service* is a
//! group of backend servers: engines, which serve models, or plain servers,
//! whose calls have no prompt. A *member* is a server's record in the store. A
//! *slot* is a server's capacity for one running call.

mod account_rule;
mod backend_key;
mod backend_load;
mod backend_view;
mod build;
mod build_history;
mod cached_parts;
mod call_costs;
mod call_head;
mod call_kind;
mod collected_engines;
mod collector_plan;
mod configuration;
mod directory;
mod dispatcher;
mod fetch_plan;
mod fleet_quota;
mod fleet_retry_budget;
mod known_origin;
mod kv_cache_stores;
mod member;
mod member_log;
mod member_readers;
mod model_name;
mod order_claim;
mod part_table;
mod peer_usage;
mod prefill_queue;
mod prefill_time_factor;
mod prompt;
mod refusal;
mod rollout;
mod route_rule;
mod route_table;
mod service_rule;
mod stream_keepers;
mod stream_key;
mod stream_origin;
mod stream_origins;
mod stream_resumption;
mod target_history;
mod target_version;
mod token_bucket;
mod versioned_salt;

pub use account_rule::AccountRule;
pub use backend_key::BackendKey;
pub use backend_load::ReportedLoad;
pub use backend_view::AgentReport;
pub use backend_view::BackendView;
pub use build::Build;
pub use build_history::BuildHistory;
pub use cached_parts::CachedPartChange;
pub use cached_parts::CachedParts;
pub use call_head::CallHead;
pub use call_kind::CallKind;
pub use collected_engines::CollectedEngines;
pub use collected_engines::CollectedUpdate;
pub use collector_plan::EngineAgent;
pub use collector_plan::MAX_DIRECT_ENGINES;
pub use collector_plan::choose_store_collector;
pub use collector_plan::plan_collectors;
pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use directory::Directory;
pub use directory::MemberChange;
pub use dispatcher::BackendChoice;
pub use dispatcher::DispatchError;
pub use dispatcher::DispatchRequest;
pub use dispatcher::Dispatcher;
pub use fleet_quota::FleetQuota;
pub use fleet_retry_budget::FleetRetryBudget;
pub use known_origin::KnownOrigin;
pub use member::Member;
pub use member::MemberState;
pub use member_log::MemberLog;
pub use member_readers::MAX_READING_ENTRIES;
pub use member_readers::MemberSource;
pub use member_readers::choose_member_source;
pub use model_name::ModelName;
pub use order_claim::CLAIM_TTL;
pub use order_claim::ClaimGrant;
pub use order_claim::ClaimStep;
pub use order_claim::OrderClaim;
pub use order_claim::TAKEOVER_DELAY;
pub use peer_usage::PeerUsage;
pub use peer_usage::UsageCursor;
pub use peer_usage::UsageQuery;
pub use prefill_queue::PrefillQueue;
pub use prompt::PartId;
pub use prompt::Prompt;
pub use prompt::PromptPart;
pub use refusal::CallRefusal;
pub use rollout::EngineStatus;
pub use rollout::OrderOutcome;
pub use rollout::Rollout;
pub use rollout::RolloutStep;
pub use rollout::RunningCalls;
pub use route_rule::RouteRule;
pub use route_rule::WeightedService;
pub use route_table::RouteTable;
pub use service_rule::EngineRule;
pub use service_rule::KvCacheStore;
pub use service_rule::ServiceRule;
pub use stream_keepers::choose_keepers;
pub use stream_key::StreamKey;
pub use stream_origin::StreamOrigin;
pub use stream_origins::StreamOrigins;
pub use stream_resumption::StreamResumption;
pub use target_version::TargetVersion;
pub use versioned_salt::VersionedSalt;
