//! Reads accepted rules from the platform's store.

use std::fmt;

use bytes::Bytes;

use super::stored_rules::current_range;
use super::stored_rules::decode_history;
use super::stored_rules::decode_record;
use super::stored_rules::history_range;
use crate::core::Revision;
use crate::core::config::HistoryEntry;
use crate::core::config::RulesRecord;
use crate::registry::BlockingStore;
use crate::registry::KeyRange;
use crate::registry::StoreError;

/// Failure of reading accepted rules.
#[derive(Debug)]
pub enum ReadError {
    /// The store failed.
    Store(StoreError),
    /// What the store keeps is malformed.
    Malformed(String),
    /// The revision was never accepted, or the history no longer has it.
    NoRevision(Revision),
}

impl From<StoreError> for ReadError {
    fn from(e: StoreError) -> Self {
        Self::Store(e)
    }
}

impl From<serde_json::Error> for ReadError {
    fn from(e: serde_json::Error) -> Self {
        Self::Malformed(e.to_string())
    }
}

impl fmt::Display for ReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Store(e) => e.fmt(f),
            Self::Malformed(reason) => write!(f, "store keeps malformed rules: {reason}"),
            Self::NoRevision(revision) => write!(f, "revision {revision} is not known"),
        }
    }
}

/// Reads the record in force; none if no rules were ever accepted.
///
/// # Errors
///
/// The store failed, or what it keeps is malformed.
pub fn read_record(store: &BlockingStore) -> Result<Option<RulesRecord>, ReadError> {
    let pairs = store.range(&current_range())?;
    Ok(decode_record(&pairs)?)
}

/// Reads the history, oldest first.
///
/// # Errors
///
/// The store failed, or what it keeps is malformed.
pub fn read_history(store: &BlockingStore) -> Result<Vec<HistoryEntry>, ReadError> {
    let pairs = store.range(&history_range())?;
    let mut entries = decode_history(&pairs)?;
    entries.sort_by_key(|entry| entry.revision);
    Ok(entries)
}

/// Reads one entry of the history.
pub(super) fn read_history_entry(
    store: &BlockingStore,
    key: Bytes,
) -> Result<Option<HistoryEntry>, ReadError> {
    let pairs = store.range(&KeyRange::Key(key))?;
    Ok(decode_history(&pairs)?.pop())
}

/// Reads the text of an earlier revision.
///
/// # Errors
///
/// The store failed, what it keeps is malformed, or the revision is unknown.
pub fn read_text_at(store: &BlockingStore, revision: Revision) -> Result<String, ReadError> {
    let record = read_record(store)?.ok_or(ReadError::NoRevision(revision))?;
    let history = read_history(store)?;
    let mut text = record.text;
    let mut current = record.revision;
    for entry in history.iter().rev() {
        if current <= revision {
            break;
        }
        if entry.revision != current {
            continue;
        }
        let previous = entry.undo.apply(&text);
        text = previous.map_err(|e| ReadError::Malformed(e.to_string()))?;
        current = Revision(current.0 - 1);
    }
    if current == revision {
        Ok(text)
    } else {
        Err(ReadError::NoRevision(revision))
    }
}
