//! Event of a request that may run at most once.

use super::AttemptTarget;
use super::OnceRecord;
use super::StoredResponse;

/// Event of a request that may run at most once: usually the result of the
/// last [`super::OnceAction`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceEvent {
    /// A backend server for the next attempt was chosen.
    Planned(AttemptTarget),
    /// No backend server is left for another attempt, or none may follow.
    NoServer,
    /// The write succeeded, at this store revision.
    Written(i64),
    /// A read, or a write whose condition was not met, found this record, last
    /// written at this store revision.
    Found(OnceRecord, i64),
    /// A read, or a write whose condition was not met, found no record.
    Absent,
    /// The store was not reached or refused the call, which had no effect.
    NoEffect,
    /// The store did not answer. A write may have taken effect.
    EffectUnknown,
    /// The wait is over.
    Waited,
    /// The caller was given a stored response or a refusal.
    Replied,
    /// The attempt certainly did not run and will not run later.
    NotRun,
    /// The attempt ran and gave this response.
    Ran(StoredResponse),
    /// The attempt may have run.
    OutcomeUnknown,
}
