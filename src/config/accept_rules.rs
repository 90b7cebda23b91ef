//! Accepts rules: one compare-and-swap on the revision they were edited from.

use std::fmt;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use bytes::Bytes;

use super::read_rules::ReadError;
use super::read_rules::read_history_entry;
use super::stored_rules::CURRENT_KEY;
use super::stored_rules::HEAD_KEY;
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

/// Bytes of a stored record; the store takes values up to a megabyte.
const MAX_RECORD_BYTES: usize = 1_000_000;

/// Rules that an operator wants in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proposal {
    /// Text of the rules file.
    pub text: String,
    /// Revision that the text was edited from.
    pub parent: Revision,
    /// Operator.
    pub accepted_by: String,
    /// Reason.
    pub reason: String,
    /// Drawn once for each acceptance; a retry repeats it.
    pub accept_id: String,
}

/// Reason for which rules were not accepted.
#[derive(Debug)]
pub enum AcceptError {
    /// The text has faults; nothing was changed.
    Invalid(Vec<RuleError>),
    /// The record would be longer than the store takes; nothing was changed.
    TooLong(usize),
    /// Other rules were accepted since; nothing was changed.
    Conflict(Revision),
    /// The store could not be read, or certainly did not take the rules.
    Read(ReadError),
    /// The answer was lost and could not be read back: the rules may be
    /// accepted. A retry with the same accept id tells.
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
            Self::Invalid(faults) => {
                let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
            Self::TooLong(bytes) => {
                write!(f, "record has {bytes} bytes, more than {MAX_RECORD_BYTES}")
            }
            Self::Conflict(revision) => {
                write!(f, "conflict: revision {revision} was accepted meanwhile")
            }
            Self::Read(e) => write!(f, "not accepted: {e}"),
            Self::Unknown(e) => write!(f, "may be accepted, retry with the same id: {e}"),
        }
    }
}

/// Accepts rules. A repeat with the same accept id returns the record that
/// the first call made.
///
/// # Errors
///
/// The rules were not accepted, or it is not known whether they were.
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

/// Reads back whether the record was accepted after all.
fn confirm_acceptance(
    store: &BlockingStore,
    record: RulesRecord,
    write_error: Option<StoreError>,
) -> Result<RulesRecord, AcceptError> {
    match (is_accepted(store, &record), write_error) {
        (Ok(true), _) => Ok(record),
        (Ok(false), None) => Err(AcceptError::Conflict(record.revision)),
        // The write may still be on its way: an absent entry proves nothing.
        (Ok(false), Some(e)) => Err(AcceptError::Unknown(e)),
        (Err(AcceptError::Conflict(revision)), _) => Err(AcceptError::Conflict(revision)),
        (Err(_), Some(e)) => Err(AcceptError::Unknown(e)),
        (Err(e), None) => Err(e),
    }
}

/// Tells whether the record's acceptance is in the history.
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
    let head = serde_json::to_vec(&record.revision).map_err(ReadError::from)?;
    let entry = HistoryEntry::new(record, previous);
    let entry = serde_json::to_vec(&entry).map_err(ReadError::from)?;
    let key = history_key(record.revision);
    let mut success = vec![
        Operation::Put(Bytes::from_static(CURRENT_KEY), current.into(), None),
        Operation::Put(Bytes::from_static(HEAD_KEY), head.into(), None),
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
