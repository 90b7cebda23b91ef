//! Rate and burst of client accounts across all entries, without a
//! coordinator.
//!
//! Each entry *slot* owns an equal part of every account's token bucket.
//! Accounts are split into groups. For each group the slots lend their parts
//! for a bounded time to one entry, the group's keeper, which gives out
//! tokens on demand as short grants. With many entries a second level stands
//! between: a zone keeper takes grants for its availability zone and passes
//! parts of them on.
//!
//! Safety rests on one rule: for each account, levels of buckets and tokens
//! in unexpired grants never add up to more than the burst, and only the
//! refill at the account's rate raises that sum. Who promises (lender,
//! keeper) counts a promise from the arrival of the request for it; who uses
//! (keeper, entry) counts from before it sent that request. So the use ends
//! first, whatever the network does.

mod account_id;
mod account_state;
mod admission_decision;
mod allowance;
mod bucket;
mod charge;
mod demand;
mod granting;
mod home;
mod lending;
mod limiter;
mod live_entries;
mod message;
mod node_id;
mod origin;
mod pending;
mod pool;
mod purse;
mod share_parameters;

pub use account_id::AccountId;
pub use admission_decision::AdmissionDecision;
pub use admission_decision::Ticket;
pub use allowance::Allowance;
pub use charge::Charge;
pub use limiter::Limiter;
pub use limiter::OutgoingMessage;
pub use live_entries::LiveEntries;
pub use live_entries::LiveEntry;
pub use message::AccountTokens;
pub use message::GrantItem;
pub use message::GrantRequestItem;
pub use message::GroupLoan;
pub use message::ReleasedGrant;
pub use message::ReleasedGrants;
pub use message::ShareMessage;
pub use node_id::NodeId;
pub use origin::Origin;
pub use share_parameters::ShareParameters;
