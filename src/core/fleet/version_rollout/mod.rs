//! Moves the traffic of a service to servers of a new build, and away from it if the
//! build is bad.
//!
//! The *old* build stands for all builds of a service other than the target of its
//! rollout. The *leader* of a rollout is the entry that judges the new build and tells
//! the others how many calls they may send to it.

mod build_comparison;
mod build_counters;
mod build_filter;
mod evidence_window;
mod latency_histogram;
mod rollout_leader;
mod rollout_news;
mod rollout_order;
mod rollout_phase;
mod rollout_plan;
mod rollout_record;
mod rollout_report;
mod rollout_table;
mod service_rollout;
mod service_servers;

pub use build_counters::BuildCounters;
pub use build_filter::BuildFilter;
pub use latency_histogram::LatencyHistogram;
pub use rollout_leader::RolloutBounds;
pub use rollout_leader::RolloutLeader;
pub use rollout_news::RolloutNews;
pub use rollout_order::RolloutOrder;
pub use rollout_phase::RolloutPhase;
pub use rollout_plan::RolloutPlan;
pub use rollout_record::RolloutRecord;
pub use rollout_report::RolloutReport;
pub use rollout_report::RouteReport;
pub use rollout_table::RolloutTable;
pub use service_rollout::ServiceRollout;
pub use service_servers::ServiceServers;
