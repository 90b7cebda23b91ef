//! Records of requests that may run at most once, in the platform's store.

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

use super::once_lease::OnceLease;
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

const MAX_WAITING: usize = 4_096;
const MAX_BATCH: usize = 32;
const MAX_BATCH_BYTES: usize = 640 * 1024;
const MAX_BATCHES_IN_FLIGHT: usize = 4;

/// Records of requests that may run at most once. Reads and writes that wait
/// at the same time go to the store as one transaction. Cheap to clone; all
/// clones must live on one runtime.
#[derive(Debug, Clone)]
pub struct OnceStore {
    tx: mpsc::Sender<Job>,
    tasks: TaskTracker,
}

#[derive(Debug)]
struct Job {
    key: Bytes,
    write: Option<Write>,
    reply: oneshot::Sender<OnceEvent>,
}

#[derive(Debug)]
struct Write {
    expect: WriteCondition,
    value: Bytes,
}

impl OnceStore {
    /// Starts the batching task on the current runtime; none where the
    /// settings name no store.
    pub fn start(settings: &EntrySettings) -> Option<Self> {
        if settings.platform.store.is_empty() {
            return None;
        }
        let store = Store::new(&settings.platform);
        let lease = OnceLease::new(store.clone(), settings.once_retention);
        let (tx, rx) = mpsc::channel(MAX_WAITING);
        tokio::spawn(Batcher { store, lease, rx }.run());
        Some(Self {
            tx,
            tasks: TaskTracker::new(),
        })
    }

    /// Reads a record.
    pub async fn read(&self, key: OnceKey) -> OnceEvent {
        self.call(key, None).await
    }

    /// Writes a record if the one there is as expected.
    pub async fn write(
        &self,
        key: OnceKey,
        expect: WriteCondition,
        record: &OnceRecord,
    ) -> OnceEvent {
        let value = record.encode();
        self.call(key, Some(Write { expect, value })).await
    }

    /// Runs work that goes on though its caller is gone.
    pub fn spawn(&self, work: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(work);
    }

    /// Waits until all spawned work has ended, at most `limit`.
    pub async fn finish(&self, limit: Duration) {
        self.tasks.close();
        if timeout(limit, self.tasks.wait()).await.is_err() {
            log::warn!("entry: Drain timed out; outcomes were not recorded.");
        }
    }

    async fn call(&self, key: OnceKey, write: Option<Write>) -> OnceEvent {
        let (reply, answer) = oneshot::channel();
        let key = key.store_key();
        let job = Job { key, write, reply };
        if self.tx.send(job).await.is_err() {
            return OnceEvent::NoEffect;
        }
        answer.await.unwrap_or(OnceEvent::EffectUnknown)
    }
}

/// Collects what waits and sends it in batches.
struct Batcher {
    store: Store,
    lease: OnceLease,
    rx: mpsc::Receiver<Job>,
}

impl Batcher {
    async fn run(mut self) {
        let in_flight = TaskTracker::new();
        let mut held_over = None;
        loop {
            while in_flight.len() >= MAX_BATCHES_IN_FLIGHT {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            let first = match held_over.take() {
                Some(job) => job,
                None => match self.rx.recv().await {
                    Some(job) => job,
                    None => return,
                },
            };
            let batch = self.collect(first, &mut held_over);
            let lease = self.lease.current().await;
            let sender = BatchSender {
                store: self.store.clone(),
                lease,
                lease_refused: Arc::clone(&self.lease.refused),
            };
            in_flight.spawn(sender.send(batch));
        }
    }

    /// Takes what waits, each key once; the first that does not fit is held
    /// over.
    fn collect(&mut self, first: Job, held_over: &mut Option<Job>) -> Vec<Job> {
        let mut keys = HashSet::from([first.key.clone()]);
        let mut bytes = first.size();
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            let Ok(job) = self.rx.try_recv() else {
                break;
            };
            bytes += job.size();
            if bytes > MAX_BATCH_BYTES || !keys.insert(job.key.clone()) {
                *held_over = Some(job);
                break;
            }
            batch.push(job);
        }
        batch
    }
}

impl Job {
    fn size(&self) -> usize {
        self.write.as_ref().map_or(0, |write| write.value.len())
    }

    fn range(&self) -> Operation {
        Operation::Range(KeyRange::Key(self.key.clone()))
    }

    fn compare(&self) -> Option<Compare> {
        let write = self.write.as_ref()?;
        Some(match write.expect {
            WriteCondition::Absent => Compare::Absent(self.key.clone()),
            WriteCondition::ModRevision(revision) => {
                Compare::ModRevision(self.key.clone(), revision)
            }
        })
    }

    fn operation(&self, lease: LeaseId) -> Operation {
        match &self.write {
            Some(write) => Operation::Put(self.key.clone(), write.value.clone(), Some(lease)),
            None => self.range(),
        }
    }

    /// Tells whether the write could still take effect, by what is there.
    fn may_still_write(&self, found: Option<&KeyValue>) -> bool {
        match self.write.as_ref().map(|write| write.expect) {
            None => false,
            Some(WriteCondition::Absent) => found.is_none(),
            Some(WriteCondition::ModRevision(revision)) => {
                found.is_some_and(|pair| pair.mod_revision == revision)
            }
        }
    }

    fn answer(self, event: OnceEvent) {
        // The one who asked may have been dropped.
        let _ = self.reply.send(event);
    }
}

/// Sends one batch.
struct BatchSender {
    store: Store,
    lease: Result<LeaseId, StoreError>,
    lease_refused: Arc<AtomicBool>,
}

impl BatchSender {
    /// Sends a batch; if the record of one write is not as expected, the
    /// writes that still can go are sent again without it.
    async fn send(self, mut batch: Vec<Job>) {
        while !batch.is_empty() {
            let sent = match &self.lease {
                Ok(lease) => self.store.txn(&build_txn(&batch, *lease)).await,
                Err(e) => Err(e.clone()),
            };
            batch = match sent {
                Ok(answer) => answer_batch(batch, &answer),
                Err(e) => {
                    log::warn!("entry: Records not written: {e}.");
                    let refused = matches!(e, StoreError::Refused { .. });
                    self.lease_refused.fetch_or(refused, Ordering::AcqRel);
                    fail_batch(batch, &e);
                    return;
                }
            };
        }
    }
}

fn build_txn(batch: &[Job], lease: LeaseId) -> Txn {
    Txn {
        compares: batch.iter().filter_map(Job::compare).collect(),
        success: batch.iter().map(|job| job.operation(lease)).collect(),
        failure: batch.iter().map(Job::range).collect(),
    }
}

/// Answers what is decided and returns the rest.
fn answer_batch(batch: Vec<Job>, answer: &TxnResponse) -> Vec<Job> {
    if answer.reads.len() != batch.len() {
        let e = StoreError::Unknown("answer of the wrong length".into());
        fail_batch(batch, &e);
        return Vec::new();
    }
    let mut rest = Vec::new();
    for (job, read) in batch.into_iter().zip(&answer.reads) {
        let found = read.first();
        if answer.succeeded && job.write.is_some() {
            job.answer(OnceEvent::Written(answer.revision));
        } else if job.may_still_write(found) {
            rest.push(job);
        } else {
            job.answer(judge_found(found));
        }
    }
    rest
}

fn judge_found(found: Option<&KeyValue>) -> OnceEvent {
    let Some(pair) = found else {
        return OnceEvent::Absent;
    };
    match OnceRecord::decode(&pair.value) {
        Some(record) => OnceEvent::Found(record, pair.mod_revision),
        None => {
            log::error!("entry: Record is malformed.");
            OnceEvent::NoEffect
        }
    }
}

fn fail_batch(batch: Vec<Job>, e: &StoreError) {
    for job in batch {
        let event = if e.may_have_taken_effect() {
            OnceEvent::EffectUnknown
        } else {
            OnceEvent::NoEffect
        };
        job.answer(event);
    }
}
