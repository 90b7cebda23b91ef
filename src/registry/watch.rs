//! A streamed watch on keys of the store.

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

/// One change of a watched key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The key was written.
    Put(KeyValue),
    /// The key was deleted, at this store revision.
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

/// End of a watch. Open a new one from the revision after the last change
/// seen; after [`Self::Compacted`] read the keys anew first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchError {
    /// The connection failed, or nothing came for the watch's gap. A quiet
    /// watch ends this way too.
    Connection(ClientError),
    /// The store no longer has the changes asked for.
    Compacted,
    /// The store ended the watch.
    Ended,
    /// What came is no change.
    Malformed(String),
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(e) => e.fmt(f),
            Self::Compacted => f.write_str("changes compacted"),
            Self::Ended => f.write_str("watch ended by the store"),
            Self::Malformed(reason) => write!(f, "malformed change: {reason}"),
        }
    }
}

/// A streamed watch on keys of the store. Dropping it ends it.
#[derive(Debug)]
pub struct Watch {
    exchange: Exchange,
    buf: BytesMut,
    changes: VecDeque<Change>,
}

impl Watch {
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
    /// The watch has ended.
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

    fn pop_line(&mut self) -> Option<BytesMut> {
        let end = self.buf.iter().position(|byte| *byte == b'\n')?;
        Some(self.buf.split_to(end + 1))
    }

    async fn read_chunk(&mut self) -> Result<(), WatchError> {
        let chunk = self.exchange.next_chunk().await;
        let chunk = chunk.map_err(WatchError::Connection)?;
        let chunk = chunk.ok_or(WatchError::Ended)?;
        if self.buf.len() + chunk.len() > MAX_LINE_BYTES {
            return Err(WatchError::Malformed("line too long".into()));
        }
        self.buf.extend_from_slice(&chunk);
        Ok(())
    }

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
            return Err(WatchError::Ended);
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
