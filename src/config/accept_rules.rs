//! Accepts a new revision of the rules in one store transaction, which fails if
//! another revision was accepted since the text was edited (compare-and-swap).

use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;

use super::read_rules::ReadError;
use super::read_rules::read_history_entry;
use super::stored_rules::CURRENT_KEY;
use super::stored_rules::NEWEST_REVISION_KEY;
use super::stored_rules::current_range;
use super::stored_rules::decode_record;
use super::stored_rules::expired_history_key;
use super::stored_rules::history_key;
use crate::core::Revision;
use crate::core::config::HistoryEntry;
use crate::core::config::RulesRecord;
use crate::registry::BlockingStore;
use crate::registry::Compare;
use crate::registry::KeyRange;
use crate::registry::Operation;
use crate::registry::StoreError;
use crate::registry::Txn;
use crate::rules::RuleError;
use crate::rules::parse_rules;

/// Maximum size of a stored record; the store takes values of up to 1 MB.
const MAX_RECORD_BYTES: usize = 1_000_000;

/// Rules that an operator submits for acceptance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Text of the rules file.
    pub text: String,
    /// Revision that the text was edited from.
    pub parent: Revision,
    /// Name of the operator.
    pub accepted_by: String,
    /// Reason that the operator gives for the change.
    pub reason: String,
    /// Random identifier of the acceptance. A retry sends the same one, so that
    /// it recognises a record that it has written before.
    pub accept_id: String,
}

/// Failure to accept rules.
#[derive(Debug)]
pub enum AcceptError {
    /// The text has errors; nothing was changed.
    Invalid(Vec<RuleError>),
    /// The record, of this many bytes, is larger than the store takes; nothing
    /// was changed.
    TooLong(usize),
    /// Other rules were accepted since the text was edited, as this revision;
    /// nothing was changed.
    Conflict(Revision),
    /// The store could not be read, or the write certainly had no effect.
    Read(ReadError),
    /// The response was lost and reading back did not find the record: the
    /// rules may have been accepted. A retry with the same accept id resolves
    /// this.
    Unknown(StoreError),
}

impl From<ReadError> for AcceptError {
    fn from(e: ReadError) -> Self {
        Self::Read(e)
    }
}

impl From<StoreError> for AcceptError {
    fn from(e: StoreError) -> Self {
        Self::Read(ReadError::Store(e))
    }
}

impl fmt::Display for AcceptError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(errors) => {
                let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::TooLong(bytes) => {
                write!(
                    f,
                    "record of {bytes} bytes exceeds the limit of {MAX_RECORD_BYTES} bytes"
                )
            }
            Self::Conflict(revision) => {
                write!(f, "conflict: revision {revision} was accepted meanwhile")
            }
            Self::Read(e) => write!(f, "rules not accepted: {e}"),
            Self::Unknown(e) => write!(
                f,
                "rules may have been accepted, retry with the same accept id: {e}"
            ),
        }
    }
}

/// Accepts rules as the revision after [`Proposal::parent`]. A retry with the
/// same accept id succeeds without a second write.
///
/// # Errors
///
/// The rules were not accepted, or ([`AcceptError::Unknown`]) it is not known
/// whether they were.
pub fn accept_rules(
    store: &BlockingStore,
    proposal: &Proposal,
) -> Result<RulesRecord, AcceptError> {
    let record = build_record(proposal)?;
    if is_accepted(store, &record)? {
        return Ok(record);
    }
    let pairs = store.range(&current_range())?;
    let current = decode_record(&pairs).map_err(ReadError::from)?;
    let current_revision = current
        .as_ref()
        .map_or(Revision(0), |record| record.revision);
    if current_revision != proposal.parent {
        return Err(AcceptError::Conflict(current_revision));
    }
    let compare = match pairs.first() {
        Some(pair) => Compare::ModRevision(pair.key.clone(), pair.mod_revision),
        None => Compare::Absent(Bytes::from_static(CURRENT_KEY)),
    };
    let previous = current.map_or(String::new(), |record| record.text);
    let txn = build_txn(&record, &previous, compare)?;
    match store.txn(&txn) {
        Ok(response) if response.succeeded => Ok(record),
        Ok(_) => confirm_acceptance(store, record, None),
        Err(e) if e.may_have_taken_effect() => confirm_acceptance(store, record, Some(e)),
        Err(e) => Err(e.into()),
    }
}

/// Reads the history to decide whether the record was accepted, after the
/// transaction failed or its response was lost (`write_error`).
fn confirm_acceptance(
    store: &BlockingStore,
    record: RulesRecord,
    write_error: Option<StoreError>,
) -> Result<RulesRecord, AcceptError> {
    match (is_accepted(store, &record), write_error) {
        (Ok(true), _) => Ok(record),
        (Ok(false), None) => Err(AcceptError::Conflict(record.revision)),
        // The write may still be in flight, so a missing entry proves nothing.
        (Ok(false), Some(e)) => Err(AcceptError::Unknown(e)),
        (Err(AcceptError::Conflict(revision)), _) => Err(AcceptError::Conflict(revision)),
        (Err(_), Some(e)) => Err(AcceptError::Unknown(e)),
        (Err(e), None) => Err(e),
    }
}

/// Returns whether the history holds this acceptance of the revision; an
/// [`AcceptError::Conflict`] if it holds another one.
fn is_accepted(store: &BlockingStore, record: &RulesRecord) -> Result<bool, AcceptError> {
    match read_history_entry(store, history_key(record.revision))? {
        Some(entry) if entry.accept_id == record.accept_id => Ok(true),
        Some(entry) => Err(AcceptError::Conflict(entry.revision)),
        None => Ok(false),
    }
}

fn build_record(proposal: &Proposal) -> Result<RulesRecord, AcceptError> {
    let revision = Revision(proposal.parent.0 + 1);
    parse_rules(&proposal.text, revision).map_err(AcceptError::Invalid)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.map_or(0, |now| now.as_millis());
    Ok(RulesRecord {
        revision,
        parent: proposal.parent,
        accept_id: proposal.accept_id.clone(),
        accepted_by: proposal.accepted_by.clone(),
        reason: proposal.reason.clone(),
        accepted_at_ms: u64::try_from(now).unwrap_or(u64::MAX),
        text: proposal.text.clone(),
    })
}

fn build_txn(record: &RulesRecord, previous: &str, compare: Compare) -> Result<Txn, AcceptError> {
    let current = serde_json::to_vec(record).map_err(ReadError::from)?;
    if current.len() > MAX_RECORD_BYTES {
        return Err(AcceptError::TooLong(current.len()));
    }
    let newest_revision = serde_json::to_vec(&record.revision).map_err(ReadError::from)?;
    let entry = HistoryEntry::new(record, previous);
    let entry = serde_json::to_vec(&entry).map_err(ReadError::from)?;
    let key = history_key(record.revision);
    let mut success = vec![
        Operation::Put(Bytes::from_static(CURRENT_KEY), current.into(), None),
        Operation::Put(
            Bytes::from_static(NEWEST_REVISION_KEY),
            newest_revision.into(),
            None,
        ),
        Operation::Put(key.clone(), entry.into(), None),
    ];
    let expired = expired_history_key(record.revision);
    success.extend(expired.map(|key| Operation::Delete(KeyRange::Key(key))));
    Ok(Txn {
        compares: vec![compare, Compare::Absent(key)],
        success,
        failure: Vec::new(),
    })
}
