//! Decision logic of the gateways and agents of a fleet whose configuration,
//! members and weights versions come from an external store: routing,
//! authentication, rate limits, choice of backend servers, retries and change
//! of weights.
//!
//! An *entry* is one gateway process of the fleet. A *part* is a named segment
//! of a prompt, whose KV cache engines keep for later calls. A *service* is a
//! group of backend servers: engines, which serve models, or plain servers,
//! whose calls have no prompt. A *member* is a server's record in the store. A
//! *slot* is a server's capacity for one running call.

mod build;
mod call_head;
mod call_kind;
mod collectors;
mod configuration;
mod fleet_retry_budget;
mod held_bytes;
mod membership;
mod model_name;
mod order_claim;
mod prompt;
mod quarantine;
mod quota;
mod refusal;
mod routing;
mod run_key;
mod server_limits;
mod streams;
mod weights;

pub use build::Build;
pub use call_head::CallHead;
pub use call_kind::CallKind;
pub use collectors::CollectedEngines;
pub use collectors::CollectedUpdate;
pub use collectors::EngineAgent;
pub use collectors::MAX_DIRECT_ENGINES;
pub use collectors::choose_store_collector;
pub use collectors::plan_collectors;
pub use configuration::AccountRule;
pub use configuration::CallerLimits;
pub use configuration::Configuration;
pub use configuration::EngineRule;
pub use configuration::KvCacheStore;
pub use configuration::RouteRule;
pub use configuration::RouteTable;
pub use configuration::ServiceRule;
pub use configuration::WeightedService;
pub use fleet_retry_budget::FleetRetryBudget;
pub use held_bytes::HeldBytes;
pub use held_bytes::HoldDecision;
pub use held_bytes::HoldPurpose;
pub use held_bytes::Holder;
pub use held_bytes::ReaderProgress;
pub use held_bytes::ServerBytes;
pub use membership::Directory;
pub use membership::MAX_READING_ENTRIES;
pub use membership::Member;
pub use membership::MemberChange;
pub use membership::MemberLog;
pub use membership::MemberSource;
pub use membership::MemberState;
pub use membership::choose_member_source;
pub use model_name::ModelName;
pub use order_claim::CLAIM_TTL;
pub use order_claim::ClaimGrant;
pub use order_claim::ClaimStep;
pub use order_claim::OrderClaim;
pub use order_claim::TAKEOVER_DELAY;
pub use prompt::PartId;
pub use prompt::Prompt;
pub use prompt::PromptPart;
pub use quarantine::AliveRun;
pub use quarantine::BrokenRun;
pub use quarantine::CallDigest;
pub use quarantine::ClearedSuspect;
pub use quarantine::CrashSuspect;
pub use quarantine::Culprit;
pub use quarantine::LearnedNews;
pub use quarantine::Quarantine;
pub use quarantine::QuarantineNews;
pub use quarantine::QuarantinedSuspect;
pub use quarantine::Suspect;
pub use quarantine::TrialRequest;
pub use quota::FleetQuota;
pub use quota::PeerUsage;
pub use quota::UsageCursor;
pub use quota::UsageQuery;
pub use refusal::CallRefusal;
pub use routing::AgentReport;
pub use routing::BackendChoice;
pub use routing::BackendKey;
pub use routing::BackendView;
pub use routing::CachedPartChange;
pub use routing::CachedParts;
pub use routing::DispatchError;
pub use routing::DispatchRequest;
pub use routing::Dispatcher;
pub use routing::PrefillQueue;
pub use routing::ReportedLoad;
pub use routing::VersionedSalt;
pub use run_key::RunKey;
pub use server_limits::LimitNotice;
pub use server_limits::LimitUpdate;
pub use server_limits::MAX_PAUSE;
pub use server_limits::ServerLimits;
pub use streams::BuildHistory;
pub use streams::EventProgress;
pub use streams::KnownOrigin;
pub use streams::StreamKey;
pub use streams::StreamOrigin;
pub use streams::StreamOrigins;
pub use streams::StreamResumption;
pub use streams::choose_keepers;
pub use weights::EngineStatus;
pub use weights::OrderOutcome;
pub use weights::RunningCalls;
pub use weights::TargetVersion;
pub use weights::WeightsChange;
pub use weights::WeightsChangeStep;
