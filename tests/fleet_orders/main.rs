//! Orders to engines, which their agents or entries send.

mod claim_store;
mod claims;
mod seen_order;
mod tenures;
