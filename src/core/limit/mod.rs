//! Distributed rate limiter: enforces the rate and burst of each client account
//! over all entries together, without a central server.
//!
//! The token bucket of every account is divided equally among a fixed number of
//! *slots*, which entries hold under leases. Accounts are hashed into groups.
//! For each group, the slot holders lend their shares for a bounded time to one
//! entry, the group's coordinator, which issues short-lived grants of tokens on
//! request. In large fleets, zone coordinators form a second level: each
//! requests grants for its availability zone and passes parts of them on as
//! sub-grants.
//!
//! Safety invariant: for each account, the levels of its buckets plus the
//! tokens in unexpired grants never exceed the burst, and only the refill at
//! the account's rate raises that sum. The side that gives a loan or grant
//! (lender, coordinator) counts its duration from the arrival of the request;
//! the side that uses it (coordinator, entry) counts from before it sent the
//! request. The use therefore ends first, however the network delays, loses or
//! repeats messages.
//!
//! Bucket levels and all amounts named `micro_tokens` are in millionths of a
//! token; messages carry whole tokens.

mod account_id;
mod account_state;
mod admission_decision;
mod allowance;
mod charge;
mod demand;
mod granting;
mod held_grants;
mod lending;
mod limiter;
mod live_entries;
mod loan_pool;
mod message;
mod node_id;
mod origin;
mod owned_share;
mod pending_requests;
mod share_parameters;
mod token_bucket;

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
