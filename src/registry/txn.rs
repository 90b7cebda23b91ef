//! Store transactions and their responses.

use super::Compare;
use super::KeyValue;
use super::Operation;

/// Operations that the store executes atomically: `success` if all conditions
/// hold, otherwise `failure`.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Txn {
    /// Conditions, checked atomically with the operations.
    pub compares: Vec<Compare>,
    /// Operations to execute if all conditions hold.
    pub success: Vec<Operation>,
    /// Operations to execute if any condition does not hold.
    pub failure: Vec<Operation>,
}

/// Response to a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnResponse {
    /// Whether all conditions held, so that `success` was executed.
    pub succeeded: bool,
    /// Store revision after the transaction.
    pub revision: i64,
    /// Pairs that each executed operation read, in the order of the operations;
    /// empty for a write.
    pub reads: Vec<Vec<KeyValue>>,
}
