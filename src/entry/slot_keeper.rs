//! Slots of this entry: leases in the platform's store.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use rand::seq::SliceRandom;
use tokio::time::Instant;
use tokio::time::sleep;

use super::EntryContext;
use crate::core::MonotonicTime;
use crate::core::limit::AccountTokens;
use crate::core::limit::ShareParameters;
use crate::registry::Compare;
use crate::registry::KeyRange;
use crate::registry::LeaseId;
use crate::registry::Operation;
use crate::registry::Store;
use crate::registry::StoreError;
use crate::registry::Txn;

const SLOT_PREFIX: &str = "teaseldrum/slots/";
const LEFT_PREFIX: &str = "teaseldrum/slot-levels/";

/// Time that the host list gets to arrive before slots are taken.
const LIST_WAIT: Duration = Duration::from_secs(2);

const FIRST_RETRY: Duration = Duration::from_millis(500);

/// Renewals in the life of a lease.
const RENEWALS: u32 = 12;

/// A lease holder's clock may run slower than the store's by one part in this
/// many.
const DRIFT_DIVISOR: u32 = 20;

/// Time for all loans to come home when this entry ends.
const HAND_OVER_LIMIT: Duration = Duration::from_secs(3);

/// Slots that this entry holds, and their lease.
#[derive(Debug, Clone)]
pub struct HeldSlots {
    lease: LeaseId,
    slots: Vec<u16>,
}

/// Takes slots and keeps their lease until the control thread ends.
pub async fn keep_slots(cx: Arc<EntryContext>) {
    let terms = ShareParameters::default();
    if cx.settings.share.sole {
        let forever = MonotonicTime::from_micros(u64::MAX);
        cx.shares
            .change(|limiter, now| limiter.set_slots(terms.slots, forever, now));
        return;
    }
    if cx.settings.platform.store.is_empty() {
        log::warn!("entry: No store and not the only entry: no share of any rate.");
        return;
    }
    if cx.settings.platform.hosts.is_some() {
        wait_for_list(&cx).await;
    }
    let store = Store::new(&cx.settings.platform);
    let renewal = cx.settings.share.slot_lease / RENEWALS;
    let mut retry = FIRST_RETRY;
    loop {
        match hold_slots(&cx, &store, &terms).await {
            Ok(()) => retry = FIRST_RETRY,
            Err(e) => log::warn!("entry: Slots of rates not held: {e}."),
        }
        sleep(retry.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        retry = (retry * 2).min(renewal);
    }
}

async fn wait_for_list(cx: &EntryContext) {
    let end = Instant::now() + LIST_WAIT;
    while cx.hosts.hosts().is_empty() && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Takes slots and keeps them as long as their lease can be renewed. Returns
/// when there is none to take.
async fn hold_slots(
    cx: &EntryContext,
    store: &Store,
    terms: &ShareParameters,
) -> Result<(), StoreError> {
    let life = cx.settings.share.slot_lease;
    let free = find_free(store, terms).await?;
    if free.is_empty() {
        return Ok(());
    }
    let asked_at = cx.shares.now();
    let lease = store.grant_lease(life).await?;
    let wanted = choose_slots(free, terms, cx.hosts.entry_names().len());
    let Some(left) = take_slots(cx, store, lease, &wanted).await? else {
        return store.revoke_lease(lease).await;
    };
    let until = end_of_lease(asked_at, life);
    let count = u16::try_from(wanted.len()).unwrap_or(0);
    cx.shares.change(|limiter, now| {
        limiter.set_slots(count, until, now);
        limiter.add_handed_over_tokens(&left, now);
    });
    log::info!("entry: Holds {count} slots of rates.");
    let held = HeldSlots {
        lease,
        slots: wanted,
    };
    *cx.lock_slots() = Some(held.clone());
    renew(cx, store, &held).await;
    *cx.lock_slots() = None;
    Ok(())
}

/// Returns the slots that nobody holds.
async fn find_free(store: &Store, terms: &ShareParameters) -> Result<Vec<u16>, StoreError> {
    let prefix = KeyRange::Prefix(Bytes::from_static(SLOT_PREFIX.as_bytes()));
    let taken = store.range(&prefix).await?;
    let is_free = |slot: &u16| !taken.iter().any(|value| value.key == slot_key(*slot));
    Ok((0..terms.slots).filter(is_free).collect())
}

/// Chooses this entry's part of the free slots, at random, so that entries
/// which start together seldom choose the same.
fn choose_slots(mut free: Vec<u16>, terms: &ShareParameters, entries: usize) -> Vec<u16> {
    free.shuffle(&mut rand::rng());
    let part = usize::from(terms.slots).div_ceil(entries.max(1));
    free.truncate(part);
    free
}

/// Takes all of the slots or none. Returns what their earlier holders left.
async fn take_slots(
    cx: &EntryContext,
    store: &Store,
    lease: LeaseId,
    slots: &[u16],
) -> Result<Option<Vec<AccountTokens>>, StoreError> {
    let value = Bytes::from(cx.settings.name.clone());
    let puts = slots
        .iter()
        .map(|slot| Operation::Put(slot_key(*slot), value.clone(), Some(lease)));
    let reads = slots
        .iter()
        .map(|slot| Operation::Range(KeyRange::Key(left_key(*slot))));
    let deletes = slots
        .iter()
        .map(|slot| Operation::Delete(KeyRange::Key(left_key(*slot))));
    let txn = Txn {
        compares: slots
            .iter()
            .map(|slot| Compare::Absent(slot_key(*slot)))
            .collect(),
        success: reads.chain(deletes).chain(puts).collect(),
        failure: Vec::new(),
    };
    let answer = store.txn(&txn).await?;
    if !answer.succeeded {
        return Ok(None);
    }
    let left = answer.reads.iter().flatten();
    let left =
        left.filter_map(|value| serde_json::from_slice::<Vec<AccountTokens>>(&value.value).ok());
    Ok(Some(left.flatten().collect()))
}

/// Renews the lease until it is lost, for certain or by its age.
async fn renew(cx: &EntryContext, store: &Store, held: &HeldSlots) {
    let life = cx.settings.share.slot_lease;
    let mut ends = Instant::now() + life;
    loop {
        sleep(life / RENEWALS).await;
        let asked_at = cx.shares.now();
        let asked = Instant::now();
        match store.keep_lease_alive(held.lease).await {
            Ok(Duration::ZERO) => return lose_slots(cx),
            Ok(left) => {
                ends = asked + left;
                let until = end_of_lease(asked_at, left);
                let count = u16::try_from(held.slots.len()).unwrap_or(0);
                cx.shares
                    .change(|limiter, now| limiter.set_slots(count, until, now));
            }
            Err(e) => log::warn!("entry: Slots of rates not renewed: {e}."),
        }
        if Instant::now() >= ends {
            return lose_slots(cx);
        }
    }
}

fn lose_slots(cx: &EntryContext) {
    log::warn!("entry: Slots of rates lost.");
    cx.shares
        .change(|limiter, now| limiter.set_slots(0, now, now));
}

/// Hands the slots over when this entry ends: calls loans home and leaves the
/// levels in the store. What cannot be handed over is lost until the lease
/// ends.
pub async fn hand_over_slots(cx: &EntryContext) {
    let Some(held) = cx.lock_slots().clone() else {
        return;
    };
    let end = Instant::now() + HAND_OVER_LIMIT;
    let levels = loop {
        let levels = cx.shares.change(|limiter, now| {
            limiter.tick(now);
            limiter.hand_over(now)
        });
        match levels {
            Some(levels) => break levels,
            None if Instant::now() >= end => return,
            None => sleep(Duration::from_millis(20)).await,
        }
    };
    let store = Store::new(&cx.settings.platform);
    match leave_levels(&store, &held, &levels).await {
        Ok(()) => log::info!("entry: Slots of rates handed over."),
        Err(e) => log::warn!("entry: Slots of rates not handed over: {e}."),
    }
}

/// Writes the levels and gives the slots up, if this entry still holds them.
async fn leave_levels(
    store: &Store,
    held: &HeldSlots,
    levels: &[AccountTokens],
) -> Result<(), StoreError> {
    let count = held.slots.len() as u64;
    let parts: Vec<AccountTokens> = levels
        .iter()
        .map(|level| AccountTokens {
            tokens: level.tokens / count.max(1),
            ..*level
        })
        .filter(|level| level.tokens > 0)
        .collect();
    let value = Bytes::from(serde_json::to_vec(&parts).unwrap_or_default());
    let writes = held.slots.iter().flat_map(|slot| {
        [
            Operation::Delete(KeyRange::Key(slot_key(*slot))),
            Operation::Put(left_key(*slot), value.clone(), None),
        ]
    });
    let txn = Txn {
        compares: held
            .slots
            .iter()
            .map(|slot| Compare::Present(slot_key(*slot)))
            .collect(),
        success: writes.collect(),
        failure: Vec::new(),
    };
    let answer = store.txn(&txn).await?;
    if answer.succeeded {
        store.revoke_lease(held.lease).await?;
    }
    Ok(())
}

fn end_of_lease(asked_at: MonotonicTime, life: Duration) -> MonotonicTime {
    asked_at + (life - life / DRIFT_DIVISOR)
}

fn slot_key(slot: u16) -> Bytes {
    Bytes::from(format!("{SLOT_PREFIX}{slot:04}"))
}

fn left_key(slot: u16) -> Bytes {
    Bytes::from(format!("{LEFT_PREFIX}{slot:04}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn choose_slots_even_parts() {
        let terms = ShareParameters::default();
        let all: Vec<u16> = (0..terms.slots).collect();
        assert_eq!(choose_slots(all.clone(), &terms, 3).len(), 11);
        assert_eq!(choose_slots(all.clone(), &terms, 350).len(), 1);
        assert_eq!(choose_slots(all, &terms, 0).len(), 32);
    }
}
