//! What happened to a request that may run at most once.

use super::AttemptTarget;
use super::OnceRecord;
use super::StoredResponse;

/// What happened to a request that may run at most once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OnceEvent {
    /// A place for the next attempt was chosen.
    Planned(AttemptTarget),
    /// No place is left for another attempt.
    NoServer,
    /// The write took effect, at this store revision.
    Written(i64),
    /// The write had no effect, or a read was made: this record is there,
    /// last written at this store revision.
    Found(OnceRecord, i64),
    /// The write had no effect, or a read was made: there is no record.
    Absent,
    /// The store was not reached or refused; nothing had an effect.
    NoEffect,
    /// The store did not answer a write, which may have had its effect.
    EffectUnknown,
    /// The wait is over.
    Waited,
    /// The caller was refused.
    Replied,
    /// The attempt certainly did not run and will not.
    NotRun,
    /// The attempt ran.
    Ran(StoredResponse),
    /// The attempt may have run.
    OutcomeUnknown,
}
