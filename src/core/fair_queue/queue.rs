//! Start-time fair queueing (Goyal, Vin and Cheng, 1996).

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::hash::Hash;

use super::QueueFull;
use super::SchedulingParams;

/// Queue that shares a server between accounts by weight, in token cost and
/// not in requests: start-time fair queueing (Goyal, Vin and Cheng, 1996). An
/// account that is alone gets the whole server; one that returns after a
/// quiet time gets no credit for it.
#[derive(Debug)]
pub struct FairQueue<A, T> {
    max_waiting: usize,
    next_number: u64,
    virtual_time: u64,
    finish_tags: HashMap<A, u64>,
    waiting: BTreeMap<QueuePosition, T>,
}

/// Place of a waiting request; the least goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    priority: Reverse<i32>,
    start_tag: u64,
    number: u64,
}

/// Parts into which a token is divided by weights.
const TAGS_PER_TOKEN: u64 = 1_000;

impl<A: Clone + Eq + Hash, T> FairQueue<A, T> {
    /// Creates an empty queue with room for `max_waiting` requests.
    pub fn new(max_waiting: usize) -> Self {
        Self {
            max_waiting,
            next_number: 0,
            virtual_time: 0,
            finish_tags: HashMap::new(),
            waiting: BTreeMap::new(),
        }
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Tells whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets a request wait. The place returned serves to take it out again.
    ///
    /// # Errors
    ///
    /// Too many requests wait already.
    pub fn push(
        &mut self,
        account: &A,
        cost: SchedulingParams,
        item: T,
    ) -> Result<QueuePosition, QueueFull> {
        if self.waiting.len() >= self.max_waiting {
            return Err(QueueFull);
        }
        let finished = self.finish_tags.get(account).copied().unwrap_or(0);
        let start_tag = finished.max(self.virtual_time);
        let span = cost.tokens.saturating_mul(TAGS_PER_TOKEN) / u64::from(cost.weight.max(1));
        self.finish_tags
            .insert(account.clone(), start_tag.saturating_add(span));
        let order = QueuePosition {
            priority: Reverse(cost.priority),
            start_tag,
            number: self.next_number,
        };
        self.next_number += 1;
        self.waiting.insert(order, item);
        Ok(order)
    }

    /// Takes the request whose turn it is.
    pub fn pop(&mut self) -> Option<T> {
        let (order, item) = self.waiting.pop_first()?;
        self.virtual_time = self.virtual_time.max(order.start_tag);
        self.drop_idle_accounts();
        Some(item)
    }

    /// Takes a request out whose caller has left.
    pub fn remove(&mut self, order: QueuePosition) -> Option<T> {
        self.waiting.remove(&order)
    }

    /// Lists the waiting requests in the order of their turns.
    pub fn iter(&self) -> impl Iterator<Item = &T> {
        self.waiting.values()
    }

    /// Removes all waiting requests.
    pub fn drain(&mut self) -> impl Iterator<Item = T> {
        std::mem::take(&mut self.waiting).into_values()
    }

    fn drop_idle_accounts(&mut self) {
        let now = self.virtual_time;
        if self.waiting.is_empty() {
            self.finish_tags.retain(|_, finish| *finish > now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn cost(tokens: u64, weight: u32, priority: i32) -> SchedulingParams {
        SchedulingParams {
            tokens,
            weight,
            priority,
        }
    }

    fn push(queue: &mut FairQueue<&'static str, &'static str>, account: &'static str, tokens: u64) {
        let pushed = queue.push(&account, cost(tokens, 1, 0), account);
        pushed.expect("room");
    }

    #[test]
    fn pop_noisy_account_waits_for_its_turn() {
        let mut queue = FairQueue::new(100);
        for _ in 0..20 {
            push(&mut queue, "noisy", 100);
        }
        push(&mut queue, "quiet", 100);
        let first: Vec<_> = (0..2).filter_map(|_| queue.pop()).collect();
        assert!(first.contains(&"quiet"));
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
            let heavy = queue.push(&"heavy", cost(100, 3, 0), "heavy");
            heavy.expect("room");
            push(&mut queue, "light", 100);
        }
        let taken: Vec<_> = (0..20).filter_map(|_| queue.pop()).collect();
        let heavy = taken.iter().filter(|&&account| account == "heavy").count();
        assert_eq!(heavy, 15);
    }

    #[test]
    fn pop_urgent_first() {
        let mut queue = FairQueue::new(100);
        push(&mut queue, "a", 1);
        let urgent = queue.push(&"b", cost(1_000, 1, 5), "b");
        urgent.expect("room");
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

    #[test]
    fn push_full() {
        let mut queue = FairQueue::new(1);
        push(&mut queue, "a", 1);
        assert_eq!(queue.push(&"b", cost(1, 1, 0), "b"), Err(QueueFull));
    }

    #[test]
    fn remove_caller_gone() {
        let mut queue = FairQueue::new(4);
        let order = queue.push(&"a", cost(1, 1, 0), "a").expect("room");
        assert_eq!(queue.remove(order), Some("a"));
        assert_eq!(queue.remove(order), None);
        assert_eq!(queue.pop(), None);
    }
}
