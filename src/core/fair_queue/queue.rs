//! Queue that shares a server between accounts by start-time fair queueing.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;

use super::QueueFull;
use super::SchedulingParams;

/// Queue that shares a server between accounts by weight, by start-time fair
/// queueing (Goyal, Vin and Cheng, 1996). Shares are counted in tokens, not in
/// requests. An account that is alone gets the whole server, and one that
/// returns after an idle time gets no credit for it.
#[derive(Debug)]
pub struct FairQueue<A, T> {
    max_waiting: usize,
    quantum: u64,
    next_sequence: u64,
    virtual_time: u64,
    finish_tags: HashMap<A, u64>,
    waiting: BTreeMap<QueuePosition, T>,
}

/// Position of a waiting request. The least position is served first: by
/// priority, of which a higher number is served first, then by start tag in
/// quanta, then by the caller's order, then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: Reverse<i32>,
    start_quantum: u64,
    order: u64,
    sequence: u64,
    start_tag: u64,
}

/// Virtual time of one token at weight 1. Weights may be rates in tokens a second;
/// a unit is then a microsecond of the account's rate.
const TAG_UNITS_PER_TOKEN: u64 = 1_000_000;

impl<A: Clone + Eq + Hash, T> FairQueue<A, T> {
    /// Creates an empty queue that holds at most `max_waiting` requests.
    pub fn new(max_waiting: usize) -> Self {
        Self::with_quantum(max_waiting, 1)
    }

    /// Creates an empty queue in which start tags count in steps of `quantum`: a
    /// millionth of it is in tokens at weight 1.
    pub fn with_quantum(max_waiting: usize, quantum: u64) -> Self {
        Self {
            max_waiting,
            quantum: quantum.max(1),
            next_sequence: 0,
            virtual_time: 0,
            finish_tags: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Adds a request. The position returned can be used to remove it.
    ///
    /// # Errors
    ///
    /// The queue is full.
    pub fn push(
        &mut self,
        account: &A,
        params: SchedulingParams,
        item: T,
    ) -> Result<QueuePosition, QueueFull> {
        if self.waiting.len() >= self.max_waiting {
            return Err(QueueFull);
        }
        let previous_finish = self.finish_tags.get(account).copied().unwrap_or(0);
        let start_tag = previous_finish.max(self.virtual_time);
        self.finish_tags
            .insert(account.clone(), start_tag.saturating_add(span_of(params)));
        let position = QueuePosition {
            priority: Reverse(params.priority),
            start_quantum: start_tag / self.quantum,
            order: params.order,
            sequence: self.next_sequence,
            start_tag,
        };
        self.next_sequence += 1;
        self.waiting.insert(position, item);
        Ok(position)
    }

    /// Removes and returns the request to be served next.
    pub fn pop(&mut self) -> Option<T> {
        let (position, _) = self.waiting.first_key_value()?;
        self.take(*position)
    }

    /// Removes a request that is served now, not necessarily the first.
    pub fn take(&mut self, position: QueuePosition) -> Option<T> {
        let item = self.waiting.remove(&position)?;
        self.virtual_time = self.virtual_time.max(position.start_tag);
        self.drop_idle_accounts();
        Some(item)
    }

    /// Removes a request that will not be served, and returns its tokens to the
    /// account's share. `params` are those that it was added with.
    pub fn cancel(
        &mut self,
        account: &A,
        params: SchedulingParams,
        position: QueuePosition,
    ) -> Option<T> {
        let item = self.waiting.remove(&position)?;
        if let Some(finish) = self.finish_tags.get_mut(account) {
            *finish = finish.saturating_sub(span_of(params));
        }
        self.drop_idle_accounts();
        Some(item)
    }

    /// Returns the request that would be served last.
    pub fn last(&self) -> Option<&T> {
        self.waiting.values().next_back()
    }

    /// Lists the requests that will be served before `position`, in their order.
    pub fn iter_before(&self, position: QueuePosition) -> impl Iterator<Item = &T> {
        self.waiting.range(..position).map(|(_, item)| item)
    }

    /// Removes a request whose caller has disconnected. Its tokens still count
    /// towards the account's share.
    pub fn remove(&mut self, position: QueuePosition) -> Option<T> {
        self.waiting.remove(&position)
    }

    /// Lists the waiting requests in the order in which they will be served.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.values()
    }

    /// Removes all waiting requests.
    pub fn drain(&mut self) -> impl Iterator<Item = T> {
        std::mem::take(&mut self.waiting).into_values()
    }

    /// Forgets the accounts whose finish tag has been reached. Has an effect
    /// only when no request of any account waits.
    fn drop_idle_accounts(&mut self) {
        let now = self.virtual_time;
        if self.waiting.is_empty() {
            self.finish_tags.retain(|_, finish| *finish > now);
        }
    }
}

/// Returns the virtual time that a request takes of its account's share.
fn span_of(params: SchedulingParams) -> u64 {
    params.tokens.saturating_mul(TAG_UNITS_PER_TOKEN) / u64::from(params.weight.max(1))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn make_params(tokens: u64, weight: u32, priority: i32) -> SchedulingParams {
        SchedulingParams {
            tokens,
            weight,
            priority,
            order: 0,
        }
    }

    fn push(queue: &mut FairQueue<&'static str, &'static str>, account: &'static str, tokens: u64) {
        let pushed = queue.push(&account, make_params(tokens, 1, 0), account);
        pushed.expect("the queue has room");
    }

    #[test]
    fn pop_busy_account_does_not_delay_other() {
        let mut queue = FairQueue::new(100);
        for _ in 0..20 {
            push(&mut queue, "busy", 100);
        }
        push(&mut queue, "other", 100);
        let first: Vec<_> = (0..2).filter_map(|_| queue.pop()).collect();
        assert!(first.contains(&"other"));
    }

    #[test]
    fn pop_shares_by_tokens_not_requests() {
        let mut queue = FairQueue::new(100);
        for _ in 0..40 {
            push(&mut queue, "large", 400);
            push(&mut queue, "small", 100);
        }
        let taken: Vec<_> = (0..25).filter_map(|_| queue.pop()).collect();
        let large = taken.iter().filter(|&&account| account == "large").count();
        assert_eq!(large, 5);
    }

    #[test]
    fn pop_shares_by_weight() {
        let mut queue = FairQueue::new(100);
        for _ in 0..40 {
            let heavy = queue.push(&"heavy", make_params(100, 3, 0), "heavy");
            heavy.expect("the queue has room");
            push(&mut queue, "light", 100);
        }
        let taken: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
        let heavy = taken.iter().filter(|&&account| account == "heavy").count();
        assert_eq!(heavy, 15);
    }

    #[test]
    fn pop_higher_priority_first() {
        let mut queue = FairQueue::new(100);
        push(&mut queue, "a", 1);
        let urgent = queue.push(&"b", make_params(1_000, 1, 5), "b");
        urgent.expect("the queue has room");
        assert_eq!(queue.pop(), Some("b"));
    }

    #[test]
    fn pop_returning_account_gets_no_credit() {
        let mut queue = FairQueue::new(100);
        push(&mut queue, "late", 100);
        queue.pop();
        for _ in 0..10 {
            push(&mut queue, "busy", 100);
            queue.pop();
        }
        for _ in 0..10 {
            push(&mut queue, "late", 100);
            push(&mut queue, "busy", 100);
        }
        let taken: Vec<_> = (0..10).filter_map(|_| queue.pop()).collect();
        let late = taken.iter().filter(|&&account| account == "late").count();
        assert!((4..=6).contains(&late));
    }

    /// Guards against an account that pays with its later share for requests that were
    /// refused while they waited.
    #[test]
    fn cancel_returns_share() {
        let mut queue = FairQueue::new(100);
        for _ in 0..50 {
            let params = make_params(100, 1, 0);
            let position = queue.push(&"busy", params, "busy").expect("room");
            assert_eq!(queue.cancel(&"busy", params, position), Some("busy"));
        }
        push(&mut queue, "other", 100);
        push(&mut queue, "busy", 100);
        push(&mut queue, "other", 100);
        let taken: Vec<_> = (0..2).filter_map(|_| queue.pop()).collect();
        assert_eq!(taken, ["other", "busy"]);
    }

    #[test]
    fn push_full() {
        let mut queue = FairQueue::new(1);
        push(&mut queue, "a", 1);
        assert_eq!(queue.push(&"b", make_params(1, 1, 0), "b"), Err(QueueFull));
    }

    #[test]
    fn remove_cancelled_request() {
        let mut queue = FairQueue::new(4);
        let position = queue
            .push(&"a", make_params(1, 1, 0), "a")
            .expect("the queue has room");
        assert_eq!(queue.remove(position), Some("a"));
        assert_eq!(queue.remove(position), None);
        assert_eq!(queue.pop(), None);
    }
}
