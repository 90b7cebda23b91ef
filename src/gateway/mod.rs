//! The gateway: the entry of a fleet whose configuration, members and target
//! weights versions come from an external store. It accepts calls and sends
//! them directly to backend servers, so that calls continue while agents are
//! down.
//!
//! The other entries of the fleet are its *peers*; *seeds* are the addresses of
//! peers in the settings. An *area* is a set of records in the store that is
//! read and watched separately: the operator's records, or the members.

mod admission;
mod agent_connections;
mod attempt;
mod call_log;
mod call_progress;
mod choose_with_room;
mod claim_rank;
mod clock_offsets;
mod context;
mod drain;
mod event_bytes;
mod exchange_peer_state;
mod follow_agents;
mod follow_collector;
mod follow_kv_cache_stores;
mod follow_members;
mod follow_store;
mod grant_orders;
mod hedged_attempt;
mod held_weights;
mod known_entries;
mod lead_rollouts;
mod led_rollouts;
mod outstanding_bytes;
mod peer_contacts;
mod permit_builds;
mod probe_port;
mod read_call;
mod report_break;
mod report_mesh_traffic;
mod run;
mod running_attempts;
mod serve_call;
mod server_wait;
mod share_quarantine;
mod start_inquiry;
mod state;
mod status_pages;
mod stream_keepers;
mod stream_relay;
mod substitute_agents;
mod substitute_right;
mod unended_holds;
mod unread_call;
mod zone_relaying;

pub use context::GatewayPorts;
pub use run::GatewayError;
pub use run::run_gateway;
pub use run::serve_gateway;
