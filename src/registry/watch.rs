//! Watch on store keys: a stream of changes, one JSON message on each line.

use std::collections::VecDeque;
use std::fmt;

use bytes::Bytes;
use bytes::BytesMut;

use super::KeyValue;
use super::StoreError;
use super::wire::WatchLine;
use super::wire::WatchResult;
use crate::http::ClientError;
use crate::http::Exchange;

const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;
const MAX_ERROR_BODY_BYTES: usize = 64 * 1024;

/// Change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(KeyValue),
    /// Key that was deleted, and the store revision of its deletion.
    Deleted(Bytes, i64),
}

impl Change {
    /// Returns the store revision of the change.
    pub fn revision(&self) -> i64 {
        match self {
            Self::Put(pair) => pair.mod_revision,
            Self::Deleted(_, revision) => *revision,
        }
    }
}

/// Reason for which a watch ended. The caller opens a new one from the revision
/// after the last change seen; after [`Self::Compacted`] it first reads all keys
/// again, because changes were missed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchError {
    /// The connection failed, or no data came within the watch timeout; a watch
    /// without changes ends this way.
    Connection(ClientError),
    /// The store has compacted its history and no longer holds the requested
    /// changes.
    Compacted,
    /// The store closed or cancelled the watch.
    ClosedByStore,
    /// A message of the stream could not be decoded.
    Malformed(String),
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(e) => e.fmt(f),
            Self::Compacted => f.write_str("requested changes compacted by the store"),
            Self::ClosedByStore => f.write_str("watch closed by the store"),
            Self::Malformed(reason) => write!(f, "malformed watch message: {reason}"),
        }
    }
}

/// Watch on store keys. Dropping it closes its connection.
#[derive(Debug)]
pub struct Watch {
    exchange: Exchange,
    buf: BytesMut,
    changes: VecDeque<Change>,
}

impl Watch {
    /// Creates a watch from the store's response to a watch call.
    pub(super) async fn open(mut exchange: Exchange) -> Result<Self, StoreError> {
        let status = exchange.status().as_u16();
        if status != 200 {
            let message = exchange.read_rest(MAX_ERROR_BODY_BYTES).await;
            let message = message.unwrap_or_default();
            let message = String::from_utf8_lossy(&message).into_owned();
            return Err(StoreError::from_status(status, message));
        }
        Ok(Self {
            exchange,
            buf: BytesMut::new(),
            changes: VecDeque::new(),
        })
    }

    /// Waits for the next change.
    ///
    /// # Errors
    ///
    /// The watch ended; no further changes come.
    pub async fn next(&mut self) -> Result<Change, WatchError> {
        loop {
            if let Some(change) = self.changes.pop_front() {
                return Ok(change);
            }
            match self.pop_line() {
                Some(line) => self.parse_line(&line)?,
                None => self.read_chunk().await?,
            }
        }
    }

    /// Removes the next complete line from the buffer.
    fn pop_line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        Some(self.buf.split_to(end + 1))
    }

    async fn read_chunk(&mut self) -> Result<(), WatchError> {
        let chunk = self.exchange.next_chunk().await;
        let chunk = chunk.map_err(WatchError::Connection)?;
        let chunk = chunk.ok_or(WatchError::ClosedByStore)?;
        if self.buf.len() + chunk.len() > MAX_LINE_BYTES {
            return Err(WatchError::Malformed("line too long".into()));
        }
        self.buf.extend_from_slice(&chunk);
        Ok(())
    }

    /// Queues the changes of a line; blank lines are skipped.
    fn parse_line(&mut self, line: &[u8]) -> Result<(), WatchError> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let line: WatchLine =
            serde_json::from_slice(line).map_err(|e| WatchError::Malformed(e.to_string()))?;
        let result: WatchResult = line.result;
        if result.compact_revision.0 > 0 {
            return Err(WatchError::Compacted);
        }
        if result.canceled {
            return Err(WatchError::ClosedByStore);
        }
        for event in result.events {
            let pair = KeyValue::from(event.kv);
            let change = if event.kind == "DELETE" {
                Change::Deleted(pair.key, pair.mod_revision)
            } else {
                Change::Put(pair)
            };
            self.changes.push_back(change);
        }
        Ok(())
    }
}
