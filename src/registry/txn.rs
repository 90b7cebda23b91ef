//! Transactions of the store.

use super::Compare;
use super::KeyValue;
use super::Operation;

/// Operations that the store carries out at once: `success` if every
/// condition holds, else `failure`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Operations if all conditions hold.
    pub success: Vec<Operation>,
    /// Operations if any condition does not hold.
    pub failure: Vec<Operation>,
}

/// Answer to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnResponse {
    /// All conditions held.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: i64,
    /// What each operation read, in their order; empty for a write.
    pub reads: Vec<Vec<KeyValue>>,
}
