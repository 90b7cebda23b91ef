//! Reads and writes the records of at-most-once requests in the platform's
//! store, in batches.

use std::collections::HashSet;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

use super::retention_lease::RetentionLease;
use crate::core::once::OnceEvent;
use crate::core::once::OnceKey;
use crate::core::once::OnceRecord;
use crate::core::once::WriteCondition;
use crate::registry::Compare;
use crate::registry::KeyRange;
use crate::registry::KeyValue;
use crate::registry::LeaseId;
use crate::registry::Operation;
use crate::registry::Store;
use crate::registry::StoreError;
use crate::registry::Txn;
use crate::registry::TxnResponse;
use crate::settings::EntrySettings;

/// Maximum number of reads and writes that wait for a batch.
const MAX_QUEUED_CALLS: usize = 4_096;

/// Maximum number of reads and writes in one transaction.
const MAX_BATCH_CALLS: usize = 32;

/// Maximum size of the records that one transaction writes.
const MAX_BATCH_BYTES: usize = 640 * 1024;

/// Maximum number of transactions that wait for the store's response.
const MAX_BATCHES_IN_FLIGHT: usize = 4;

/// Access to the records of at-most-once requests. Reads and writes that are
/// queued at the same time are sent to the store as one transaction. Cheap to
/// clone; all clones must be used on one runtime.
#[derive(Debug, Clone)]
pub struct OnceStore {
    calls: mpsc::Sender<StoreCall>,
    tasks: TaskTracker,
}

#[derive(Debug)]
struct StoreCall {
    key: Bytes,
    write: Option<RecordWrite>,
    reply_tx: oneshot::Sender<OnceEvent>,
}

#[derive(Debug)]
struct RecordWrite {
    condition: WriteCondition,
    value: Bytes,
}

impl OnceStore {
    /// Starts the batching task on the current runtime. Returns `None` if the
    /// settings name no store.
    pub fn start(settings: &EntrySettings) -> Option<Self> {
        if settings.platform.store.is_empty() {
            return None;
        }
        let store = Store::new(&settings.platform);
        let lease = RetentionLease::new(store.clone(), settings.once_retention);
        let (calls, queue) = mpsc::channel(MAX_QUEUED_CALLS);
        tokio::spawn(
            Batcher {
                store,
                lease,
                queue,
            }
            .run(),
        );
        Some(Self {
            calls,
            tasks: TaskTracker::new(),
        })
    }

    /// Reads a record; returns what was found, or that the store failed.
    pub async fn read(&self, key: OnceKey) -> OnceEvent {
        self.submit(key, None).await
    }

    /// Writes a record if the stored one is as expected; otherwise returns the
    /// stored one.
    pub async fn write(
        &self,
        key: OnceKey,
        condition: WriteCondition,
        record: &OnceRecord,
    ) -> OnceEvent {
        let value = record.encode();
        self.submit(key, Some(RecordWrite { condition, value }))
            .await
    }

    /// Spawns work that continues if the caller disconnects;
    /// [`Self::drain`] waits for it.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(work);
    }

    /// Waits until all spawned work has ended, at most for `drain_timeout`.
    pub async fn drain(&self, drain_timeout: Duration) {
        self.tasks.close();
        if timeout(drain_timeout, self.tasks.wait()).await.is_err() {
            log::warn!(
                "entry: Drain timed out; outcomes of at-most-once requests may not be recorded."
            );
        }
    }

    async fn submit(&self, key: OnceKey, write: Option<RecordWrite>) -> OnceEvent {
        let (reply_tx, reply_rx) = oneshot::channel();
        let key = key.store_key();
        let call = StoreCall {
            key,
            write,
            reply_tx,
        };
        if self.calls.send(call).await.is_err() {
            return OnceEvent::NoEffect;
        }
        reply_rx.await.unwrap_or(OnceEvent::EffectUnknown)
    }
}

/// Collects queued calls into batches and sends up to [`MAX_BATCHES_IN_FLIGHT`]
/// of them concurrently.
struct Batcher {
    store: Store,
    lease: RetentionLease,
    queue: mpsc::Receiver<StoreCall>,
}

impl Batcher {
    async fn run(mut self) {
        let in_flight = TaskTracker::new();
        let mut carried_over = None;
        loop {
            while in_flight.len() >= MAX_BATCHES_IN_FLIGHT {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let first = match carried_over.take() {
                Some(call) => call,
                None => match self.queue.recv().await {
                    Some(call) => call,
                    None => return,
                },
            };
            let batch = self.collect(first, &mut carried_over);
            let lease = self.lease.get_or_grant().await;
            let sender = BatchSender {
                store: self.store.clone(),
                lease,
                lease_may_be_lost: Arc::clone(&self.lease.may_be_lost),
            };
            in_flight.spawn(sender.send(batch));
        }
    }

    /// Takes queued calls up to the bounds of a batch, each key once. The first
    /// call that does not fit is carried over to the next batch.
    fn collect(
        &mut self,
        first: StoreCall,
        carried_over: &mut Option<StoreCall>,
    ) -> Vec<StoreCall> {
        let mut keys = HashSet::from([first.key.clone()]);
        let mut bytes = first.value_bytes();
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH_CALLS {
            let Ok(call) = self.queue.try_recv() else {
                break;
            };
            bytes += call.value_bytes();
            if bytes > MAX_BATCH_BYTES || !keys.insert(call.key.clone()) {
                *carried_over = Some(call);
                break;
            }
            batch.push(call);
        }
        batch
    }
}

impl StoreCall {
    fn value_bytes(&self) -> usize {
        self.write.as_ref().map_or(0, |write| write.value.len())
    }

    fn read_operation(&self) -> Operation {
        Operation::Range(KeyRange::Key(self.key.clone()))
    }

    fn compare(&self) -> Option<Compare> {
        let write = self.write.as_ref()?;
        Some(match write.condition {
            WriteCondition::Absent => Compare::Absent(self.key.clone()),
            WriteCondition::ModRevision(revision) => {
                Compare::ModRevision(self.key.clone(), revision)
            }
        })
    }

    fn operation(&self, lease: LeaseId) -> Operation {
        match &self.write {
            Some(write) => Operation::Put(self.key.clone(), write.value.clone(), Some(lease)),
            None => self.read_operation(),
        }
    }

    /// Tells whether the stored record is as the write expects, so that the
    /// write can succeed in another transaction. False for a read.
    fn may_still_write(&self, found: Option<&KeyValue>) -> bool {
        match self.write.as_ref().map(|write| write.condition) {
            None => false,
            Some(WriteCondition::Absent) => found.is_none(),
            Some(WriteCondition::ModRevision(revision)) => {
                found.is_some_and(|key_value| key_value.mod_revision == revision)
            }
        }
    }

    fn reply(self, event: OnceEvent) {
        // Fails if the task that called has been dropped.
        let _ = self.reply_tx.send(event);
    }
}

/// Sends one batch to the store and replies to its calls.
struct BatchSender {
    store: Store,
    lease: Result<LeaseId, StoreError>,
    lease_may_be_lost: Arc<AtomicBool>,
}

impl BatchSender {
    /// Sends a batch as one transaction. If the stored record of any write is not
    /// as expected, nothing is written: the reads and those writes get the stored
    /// records as replies, and the other writes are sent again.
    async fn send(self, mut batch: Vec<StoreCall>) {
        while !batch.is_empty() {
            let result = match &self.lease {
                Ok(lease) => self.store.txn(&build_txn(&batch, *lease)).await,
                Err(e) => Err(e.clone()),
            };
            batch = match result {
                Ok(response) => reply_to_batch(batch, &response),
                Err(e) => {
                    log::warn!("entry: Store transaction for at-most-once records failed: {e}.");
                    let is_refused = matches!(e, StoreError::Refused { .. });
                    self.lease_may_be_lost
                        .fetch_or(is_refused, Ordering::AcqRel);
                    fail_batch(batch, &e);
                    return;
                }
            };
        }
    }
}

fn build_txn(batch: &[StoreCall], lease: LeaseId) -> Txn {
    Txn {
        compares: batch.iter().filter_map(StoreCall::compare).collect(),
        success: batch.iter().map(|call| call.operation(lease)).collect(),
        failure: batch.iter().map(StoreCall::read_operation).collect(),
    }
}

/// Replies to the calls that the response decides, and returns the writes that
/// must be sent again.
fn reply_to_batch(batch: Vec<StoreCall>, response: &TxnResponse) -> Vec<StoreCall> {
    if response.reads.len() != batch.len() {
        let e = StoreError::Unknown("transaction response has the wrong number of results".into());
        fail_batch(batch, &e);
        return Vec::new();
    }
    let mut undecided = Vec::new();
    for (call, read) in batch.into_iter().zip(&response.reads) {
        let found = read.first();
        if response.succeeded && call.write.is_some() {
            call.reply(OnceEvent::Written(response.revision));
        } else if call.may_still_write(found) {
            undecided.push(call);
        } else {
            call.reply(event_of_record(found));
        }
    }
    undecided
}

fn event_of_record(found: Option<&KeyValue>) -> OnceEvent {
    let Some(key_value) = found else {
        return OnceEvent::Absent;
    };
    match OnceRecord::decode(&key_value.value) {
        Some(record) => OnceEvent::Found(record, key_value.mod_revision),
        None => {
            log::error!("entry: Stored at-most-once record is malformed.");
            // No usable record was read, as if the store had failed.
            OnceEvent::NoEffect
        }
    }
}

fn fail_batch(batch: Vec<StoreCall>, e: &StoreError) {
    for call in batch {
        let event = if e.may_have_taken_effect() {
            OnceEvent::EffectUnknown
        } else {
            OnceEvent::NoEffect
        };
        call.reply(event);
    }
}
