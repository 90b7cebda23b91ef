//! Holds rate slots for this entry under a lease in the platform's store. A
//! slot is one of a fixed number of equal parts of every account's rate.

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

/// Keys of the slots that are held; the value names the entry.
const SLOT_PREFIX: &str = "teaseldrum/slots/";
/// Keys of the unused tokens that earlier holders stored, by slot.
const TOKENS_PREFIX: &str = "teaseldrum/slot-levels/";

/// Longest wait for the host list before slots are taken. The number of entries
/// on it determines how many slots to take.
const HOST_LIST_TIMEOUT: Duration = Duration::from_secs(2);

const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Renewals within the time to live of a lease.
const RENEWALS_PER_TTL: u32 = 12;

/// 1/20 of a lease's time to live is left unused, because the clock of this
/// host may run slower than the store's.
const CLOCK_DRIFT_DIVISOR: u32 = 20;

/// Longest wait for all loans to be returned when this entry stops.
const HANDOVER_TIMEOUT: Duration = Duration::from_secs(3);

/// The rate slots that this entry holds, and the lease that they are tied to.
#[derive(Debug, Clone)]
pub struct HeldSlots {
    lease: LeaseId,
    slots: Vec<u16>,
}

/// Acquires rate slots, and acquires new ones whenever the lease is lost, until
/// the control thread ends. An entry that is the only one owns all slots
/// without a lease.
pub async fn run_slot_lease(cx: Arc<EntryContext>) {
    let parameters = ShareParameters::default();
    if cx.settings.share.is_only_entry {
        let forever = MonotonicTime::from_micros(u64::MAX);
        cx.limiter
            .update(|limiter, now| limiter.set_slots(parameters.slots, forever, now));
        return;
    }
    if cx.settings.platform.store.is_empty() {
        log::warn!(
            "entry: No store is configured, so this entry gets no rate slots; set share.sole if it is the only entry."
        );
        return;
    }
    if cx.settings.platform.hosts.is_some() {
        wait_for_host_list(&cx).await;
    }
    let store = Store::new(&cx.settings.platform);
    let renewal_interval = cx.settings.share.slot_lease_ttl / RENEWALS_PER_TTL;
    let mut retry_delay = INITIAL_RETRY_DELAY;
    loop {
        match hold_until_lost(&cx, &store, &parameters).await {
            Ok(()) => retry_delay = INITIAL_RETRY_DELAY,
            Err(e) => log::warn!("entry: Rate slots could not be acquired: {e}."),
        }
        sleep(retry_delay.mul_f64(0.75 + 0.5 * rand::random::<f64>())).await;
        retry_delay = (retry_delay * 2).min(renewal_interval);
    }
}

async fn wait_for_host_list(cx: &EntryContext) {
    let deadline = Instant::now() + HOST_LIST_TIMEOUT;
    while cx.hosts.hosts().is_empty() && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
}

/// Takes free slots and holds them until their lease is lost. Returns
/// immediately if no slot is free or another entry took one of the chosen slots
/// first.
async fn hold_until_lost(
    cx: &EntryContext,
    store: &Store,
    parameters: &ShareParameters,
) -> Result<(), StoreError> {
    let ttl = cx.settings.share.slot_lease_ttl;
    let free_slots = find_free_slots(store, parameters).await?;
    if free_slots.is_empty() {
        return Ok(());
    }
    let requested_at = cx.limiter.now();
    let lease = store.grant_lease(ttl).await?;
    let chosen = choose_slots(free_slots, parameters, cx.hosts.entry_names().len());
    let Some(handed_over_tokens) = take_slots(cx, store, lease, &chosen).await? else {
        return store.revoke_lease(lease).await;
    };
    let usable_until = usable_lease_end(requested_at, ttl);
    let count = u16::try_from(chosen.len()).unwrap_or(0);
    cx.limiter.update(|limiter, now| {
        limiter.set_slots(count, usable_until, now);
        limiter.add_handed_over_tokens(&handed_over_tokens, now);
    });
    log::info!("entry: Holding {count} rate slots.");
    let held = HeldSlots {
        lease,
        slots: chosen,
    };
    *cx.lock_held_slots() = Some(held.clone());
    renew_until_lost(cx, store, &held).await;
    *cx.lock_held_slots() = None;
    Ok(())
}

/// Returns the slots that no entry holds, by their keys in the store.
async fn find_free_slots(
    store: &Store,
    parameters: &ShareParameters,
) -> Result<Vec<u16>, StoreError> {
    let prefix = KeyRange::Prefix(Bytes::from_static(SLOT_PREFIX.as_bytes()));
    let taken = store.range(&prefix).await?;
    let is_free = |slot: &u16| !taken.iter().any(|value| value.key == slot_key(*slot));
    Ok((0..parameters.slots).filter(is_free).collect())
}

/// Chooses, from the free slots, as many as are this entry's equal share of all
/// slots. The choice is random, so that entries that start at the same time
/// rarely choose the same slots.
fn choose_slots(mut free: Vec<u16>, parameters: &ShareParameters, entries: usize) -> Vec<u16> {
    free.shuffle(&mut rand::rng());
    let share = usize::from(parameters.slots).div_ceil(entries.max(1));
    free.truncate(share);
    free
}

/// Takes all of the slots or none. Returns the unused tokens that their earlier
/// holders stored at handover, or `None` if one of the slots is no longer free.
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
        .map(|slot| Operation::Range(KeyRange::Key(tokens_key(*slot))));
    let deletes = slots
        .iter()
        .map(|slot| Operation::Delete(KeyRange::Key(tokens_key(*slot))));
    let txn = Txn {
        compares: slots
            .iter()
            .map(|slot| Compare::Absent(slot_key(*slot)))
            .collect(),
        success: reads.chain(deletes).chain(puts).collect(),
        failure: Vec::new(),
    };
    let response = store.txn(&txn).await?;
    if !response.succeeded {
        return Ok(None);
    }
    let handed_over_tokens = response.reads.iter().flatten();
    let handed_over_tokens = handed_over_tokens
        .filter_map(|value| serde_json::from_slice::<Vec<AccountTokens>>(&value.value).ok());
    Ok(Some(handed_over_tokens.flatten().collect()))
}

/// Renews the lease until the store reports it as expired, or until its time to
/// live has passed without a renewal.
async fn renew_until_lost(cx: &EntryContext, store: &Store, held: &HeldSlots) {
    let ttl = cx.settings.share.slot_lease_ttl;
    let mut ttl_end = Instant::now() + ttl;
    loop {
        sleep(ttl / RENEWALS_PER_TTL).await;
        let requested_at = cx.limiter.now();
        let request_start = Instant::now();
        match store.keep_lease_alive(held.lease).await {
            Ok(Duration::ZERO) => return stop_using_slots(cx),
            Ok(remaining) => {
                ttl_end = request_start + remaining;
                let usable_until = usable_lease_end(requested_at, remaining);
                let count = u16::try_from(held.slots.len()).unwrap_or(0);
                cx.limiter
                    .update(|limiter, now| limiter.set_slots(count, usable_until, now));
            }
            Err(e) => log::warn!("entry: Lease on the rate slots was not renewed: {e}."),
        }
        if Instant::now() >= ttl_end {
            return stop_using_slots(cx);
        }
    }
}

/// Sets the number of slots in the limiter to 0. The keys in the store expire
/// with the lease.
fn stop_using_slots(cx: &EntryContext) {
    log::warn!("entry: Lease on the rate slots was lost.");
    cx.limiter
        .update(|limiter, now| limiter.set_slots(0, now, now));
}

/// Hands the slots over when this entry stops: waits until all loans have been
/// returned or have expired, then stores the unused tokens for the next
/// holders. Slots that cannot be handed over within [`HANDOVER_TIMEOUT`] stay
/// unused until the lease expires.
pub async fn hand_over_slots(cx: &EntryContext) {
    let Some(held) = cx.lock_held_slots().clone() else {
        return;
    };
    let deadline = Instant::now() + HANDOVER_TIMEOUT;
    let tokens = loop {
        let tokens = cx.limiter.update(|limiter, now| {
            limiter.tick(now);
            limiter.hand_over(now)
        });
        match tokens {
            Some(tokens) => break tokens,
            None if Instant::now() >= deadline => return,
            None => sleep(Duration::from_millis(20)).await,
        }
    };
    let store = Store::new(&cx.settings.platform);
    match store_tokens(&store, &held, &tokens).await {
        Ok(()) => log::info!("entry: Rate slots handed over."),
        Err(e) => log::warn!("entry: Rate slots not handed over: {e}."),
    }
}

/// Stores the unused tokens, divided equally between the slots, and releases
/// the slots in the same transaction. Does nothing if the key of one of the
/// slots no longer exists, since the lease has then expired.
async fn store_tokens(
    store: &Store,
    held: &HeldSlots,
    tokens: &[AccountTokens],
) -> Result<(), StoreError> {
    let count = held.slots.len() as u64;
    let tokens_per_slot: Vec<AccountTokens> = tokens
        .iter()
        .map(|account| AccountTokens {
            tokens: account.tokens / count.max(1),
            ..*account
        })
        .filter(|account| account.tokens > 0)
        .collect();
    let value = Bytes::from(serde_json::to_vec(&tokens_per_slot).unwrap_or_default());
    let writes = held.slots.iter().flat_map(|slot| {
        [
            Operation::Delete(KeyRange::Key(slot_key(*slot))),
            Operation::Put(tokens_key(*slot), value.clone(), None),
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
    let response = store.txn(&txn).await?;
    if response.succeeded {
        store.revoke_lease(held.lease).await?;
    }
    Ok(())
}

/// Returns the time until which slots may be used under a lease.
fn usable_lease_end(requested_at: MonotonicTime, ttl: Duration) -> MonotonicTime {
    requested_at + (ttl - ttl / CLOCK_DRIFT_DIVISOR)
}

fn slot_key(slot: u16) -> Bytes {
    Bytes::from(format!("{SLOT_PREFIX}{slot:04}"))
}

fn tokens_key(slot: u16) -> Bytes {
    Bytes::from(format!("{TOKENS_PREFIX}{slot:04}"))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn choose_slots_equal_shares() {
        let parameters = ShareParameters::default();
        let all: Vec<u16> = (0..parameters.slots).collect();
        assert_eq!(choose_slots(all.clone(), &parameters, 3).len(), 11);
        assert_eq!(choose_slots(all.clone(), &parameters, 350).len(), 1);
        assert_eq!(choose_slots(all, &parameters, 0).len(), 32);
    }
}
