//! Reads the current and earlier accepted rules from the platform's store.

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

/// Failure to read accepted rules.
#[derive(Debug)]
pub enum ReadError {
    /// The store call failed.
    Store(StoreError),
    /// A stored record or history entry could not be decoded or applied.
    Malformed(String),
    /// The revision was never accepted, or the history no longer holds it.
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
            Self::Malformed(reason) => write!(f, "malformed rules in the store: {reason}"),
            Self::NoRevision(revision) => write!(f, "revision {revision} not found in the store"),
        }
    }
}

/// Reads the record of the newest accepted revision; `None` if no rules were
/// ever accepted.
///
/// # Errors
///
/// The store call failed, or the stored record is malformed.
pub fn read_record(store: &BlockingStore) -> Result<Option<RulesRecord>, ReadError> {
    let pairs = store.range(&current_range())?;
    Ok(decode_record(&pairs)?)
}

/// Reads all history entries that the store still holds, oldest first.
///
/// # Errors
///
/// The store call failed, or a stored entry is malformed.
pub fn read_history(store: &BlockingStore) -> Result<Vec<HistoryEntry>, ReadError> {
    let pairs = store.range(&history_range())?;
    let mut entries = decode_history(&pairs)?;
    entries.sort_by_key(|entry| entry.revision);
    Ok(entries)
}

/// Reads the history entry at `key`; `None` if there is none.
pub(super) fn read_history_entry(
    store: &BlockingStore,
    key: Bytes,
) -> Result<Option<HistoryEntry>, ReadError> {
    let pairs = store.range(&KeyRange::Key(key))?;
    Ok(decode_history(&pairs)?.pop())
}

/// Reconstructs the rules text of a revision: starts from the newest text and
/// applies the undo patches of the history, newest first.
///
/// # Errors
///
/// The store call failed, a stored value is malformed, or the history does not
/// reach back to the revision.
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
