//! Contents of a store: keys, leases and the history for watches. Does no I/O.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::ops::Bound;
use std::time::Duration;

use teaseldrum::core::MonotonicTime;

use super::lease::Lease;
use super::wire::Binary;
use super::wire::Compare;
use super::wire::DeleteRangeRequest;
use super::wire::DeleteRangeResponse;
use super::wire::EventType;
use super::wire::Header;
use super::wire::KeyValue;
use super::wire::LeaseRequest;
use super::wire::LeaseResponse;
use super::wire::Number;
use super::wire::PutRequest;
use super::wire::PutResponse;
use super::wire::RangeRequest;
use super::wire::RangeResponse;
use super::wire::Relation;
use super::wire::RequestOp;
use super::wire::ResponseOp;
use super::wire::Target;
use super::wire::TxnRequest;
use super::wire::TxnResponse;
use super::wire::WatchEvent;

/// Maximum size of the value of a key.
pub const MAX_VALUE_BYTES: usize = 1024 * 1024;

/// Number of events kept for watches; older ones are dropped.
const MAX_HISTORY_EVENTS: usize = 20_000;

const FIRST_REVISION: i64 = 1;

/// Range end that stands for no upper bound.
const UNBOUNDED_END: &[u8] = &[0];

/// Reason for which a store refuses a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StoreError {
    /// The lease is unknown, or [`StoreState::expire`] has ended it.
    LeaseNotFound,
    /// The value is larger than [`MAX_VALUE_BYTES`].
    ValueTooLarge,
    /// The key is empty.
    EmptyKey,
}

impl StoreError {
    /// Returns the error message, which is that of etcd without its prefix.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::LeaseNotFound => "requested lease not found",
            Self::ValueTooLarge => "request is too large",
            Self::EmptyKey => "key is not provided",
        }
    }
}

/// Contents of a store. Every write increments the revision once, however many
/// keys it changes.
#[derive(Debug)]
pub struct StoreState {
    revision: i64,
    keys: BTreeMap<Binary, KeyValue>,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
    history: VecDeque<WatchEvent>,
    /// Oldest revision from which a watch can start.
    first_kept_revision: i64,
}

impl StoreState {
    /// Creates an empty store.
    pub fn new() -> Self {
        Self {
            revision: FIRST_REVISION,
            keys: BTreeMap::new(),
            leases: BTreeMap::new(),
            next_lease: 1,
            history: VecDeque::new(),
            first_kept_revision: FIRST_REVISION,
        }
    }

    /// Returns the header of a response at the current revision.
    pub fn header(&self) -> Header {
        Header {
            revision: Number(self.revision),
        }
    }

    /// Reads a key or a range of keys.
    pub fn range(&self, req: &RangeRequest) -> RangeResponse {
        let found: Vec<&KeyValue> = self.find_in_range(&req.key, &req.range_end).collect();
        let limit = usize::try_from(req.limit.0).unwrap_or(0);
        let kept = if limit == 0 { found.len() } else { limit };
        RangeResponse {
            header: self.header(),
            more: found.len() > kept,
            count: Number(found.len() as i64),
            kvs: found.into_iter().take(kept).cloned().collect(),
        }
    }

    /// Writes a key in a new revision.
    ///
    /// # Errors
    ///
    /// The key is empty, the value is too large or the lease is unknown.
    pub fn put(&mut self, req: &PutRequest) -> Result<PutResponse, StoreError> {
        self.check_put(req)?;
        self.revision += 1;
        self.write(req);
        Ok(PutResponse {
            header: self.header(),
        })
    }

    /// Deletes a key or a range of keys, in a new revision if there are any.
    pub fn delete_range(&mut self, req: &DeleteRangeRequest) -> DeleteRangeResponse {
        let keys = self.list_keys(&req.key, &req.range_end);
        if !keys.is_empty() {
            self.revision += 1;
        }
        let deleted = self.remove(&keys);
        DeleteRangeResponse {
            header: self.header(),
            deleted: Number(deleted),
        }
    }

    /// Runs a transaction in at most one new revision.
    ///
    /// # Errors
    ///
    /// A put of the selected branch is not allowed. No operation was run.
    pub fn txn(&mut self, req: &TxnRequest) -> Result<TxnResponse, StoreError> {
        let succeeded = req
            .compare
            .iter()
            .all(|compare| self.condition_holds(compare));
        let operations = if succeeded {
            &req.success
        } else {
            &req.failure
        };
        for operation in operations {
            operation
                .request_put
                .as_ref()
                .map_or(Ok(()), |put| self.check_put(put))?;
        }
        if operations
            .iter()
            .any(|operation| self.modifies_keys(operation))
        {
            self.revision += 1;
        }
        let responses = operations
            .iter()
            .filter_map(|operation| self.run_operation(operation))
            .collect();
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Grants a lease of at least 1 s, with a new id if the request names none.
    pub fn grant(&mut self, req: &LeaseRequest, now: MonotonicTime) -> LeaseResponse {
        let id = match req.id.0 {
            0 => self.allocate_lease_id(),
            id => id,
        };
        let seconds = u64::try_from(req.ttl.0).unwrap_or(0).max(1);
        let lease = Lease::new(Duration::from_secs(seconds), now);
        self.leases.insert(id, lease);
        self.make_lease_response(id, Some(lease))
    }

    /// Renews a lease. The response has a time to live of zero if the lease is
    /// unknown or [`Self::expire`] has ended it.
    pub fn keep_alive(&mut self, req: &LeaseRequest, now: MonotonicTime) -> LeaseResponse {
        let lease = self.leases.get_mut(&req.id.0);
        let renewed = lease.map(|lease| {
            lease.renew(now);
            *lease
        });
        self.make_lease_response(req.id.0, renewed)
    }

    /// Ends a lease and deletes its keys.
    ///
    /// # Errors
    ///
    /// The lease is unknown.
    pub fn revoke(&mut self, req: &LeaseRequest) -> Result<LeaseResponse, StoreError> {
        self.leases
            .remove(&req.id.0)
            .ok_or(StoreError::LeaseNotFound)?;
        self.remove_keys_of_lease(req.id.0);
        Ok(self.make_lease_response(req.id.0, None))
    }

    /// Ends the expired leases and deletes their keys. Returns whether there were
    /// any.
    pub fn expire(&mut self, now: MonotonicTime) -> bool {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in &expired {
            self.leases.remove(id);
            self.remove_keys_of_lease(*id);
        }
        !expired.is_empty()
    }

    /// Returns the events of a key or a range of keys from a revision on, or
    /// `None` if events since then have been dropped.
    pub fn events_from(&self, key: &Binary, end: &Binary, from: i64) -> Option<Vec<WatchEvent>> {
        if from < self.first_kept_revision {
            return None;
        }
        let events = self
            .history
            .iter()
            .filter(|event| event.kv.mod_revision.0 >= from)
            .filter(|event| is_in_range(&event.kv.key, key, end))
            .cloned()
            .collect();
        Some(events)
    }

    /// Returns the oldest revision from which a watch can start.
    pub fn first_kept_revision(&self) -> i64 {
        self.first_kept_revision
    }

    /// Returns the current revision.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    fn find_in_range(&self, key: &Binary, end: &Binary) -> impl Iterator<Item = &KeyValue> {
        let lower = Bound::Included(key.clone());
        let upper = match end.0.as_slice() {
            [] => Bound::Included(key.clone()),
            UNBOUNDED_END => Bound::Unbounded,
            _ if end > key => Bound::Excluded(end.clone()),
            _ => Bound::Excluded(key.clone()),
        };
        let is_empty = upper == Bound::Excluded(key.clone());
        let upper = if is_empty { lower.clone() } else { upper };
        self.keys
            .range((lower, upper))
            .map(|(_, kv)| kv)
            .filter(move |_| !is_empty)
    }

    fn list_keys(&self, key: &Binary, end: &Binary) -> Vec<Binary> {
        self.find_in_range(key, end)
            .map(|kv| kv.key.clone())
            .collect()
    }

    fn check_put(&self, req: &PutRequest) -> Result<(), StoreError> {
        if req.key.0.is_empty() {
            return Err(StoreError::EmptyKey);
        }
        if req.value.0.len() > MAX_VALUE_BYTES {
            return Err(StoreError::ValueTooLarge);
        }
        if req.lease.0 != 0 && !self.leases.contains_key(&req.lease.0) {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }

    /// Writes a key in the current revision and adds the event to
    /// the history.
    fn write(&mut self, req: &PutRequest) {
        let old = self.keys.get(&req.key);
        let kv = KeyValue {
            key: req.key.clone(),
            create_revision: old.map_or(Number(self.revision), |old| old.create_revision),
            mod_revision: Number(self.revision),
            version: Number(old.map_or(0, |old| old.version.0) + 1),
            value: req.value.clone(),
            lease: req.lease,
        };
        self.keys.insert(req.key.clone(), kv.clone());
        self.append_event(EventType::Put, kv);
    }

    /// Deletes the keys in the current revision, adds the events to the history
    /// and returns the number of keys.
    fn remove(&mut self, keys: &[Binary]) -> i64 {
        for key in keys {
            self.keys.remove(key);
            let kv = KeyValue {
                key: key.clone(),
                create_revision: Number(0),
                mod_revision: Number(self.revision),
                version: Number(0),
                value: Binary::default(),
                lease: Number(0),
            };
            self.append_event(EventType::Delete, kv);
        }
        keys.len() as i64
    }

    fn remove_keys_of_lease(&mut self, lease: i64) {
        let keys: Vec<Binary> = self
            .keys
            .values()
            .filter(|kv| kv.lease.0 == lease)
            .map(|kv| kv.key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
            self.remove(&keys);
        }
    }

    fn append_event(&mut self, kind: EventType, kv: KeyValue) {
        self.history.push_back(WatchEvent { kind, kv });
        while self.history.len() > MAX_HISTORY_EVENTS {
            if let Some(evicted) = self.history.pop_front() {
                self.first_kept_revision = evicted.kv.mod_revision.0 + 1;
            }
        }
    }

    fn condition_holds(&self, compare: &Compare) -> bool {
        let kv = self.keys.get(&compare.key);
        let ordering = match compare.target {
            Target::Version => kv.map_or(0, |kv| kv.version.0).cmp(&compare.version.0),
            Target::Create => {
                let created = kv.map_or(0, |kv| kv.create_revision.0);
                created.cmp(&compare.create_revision.0)
            }
            Target::Mod => {
                let modified = kv.map_or(0, |kv| kv.mod_revision.0);
                modified.cmp(&compare.mod_revision.0)
            }
            Target::Value => match kv {
                Some(kv) => kv.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            Relation::Equal => ordering.is_eq(),
            Relation::NotEqual => ordering.is_ne(),
            Relation::Greater => ordering.is_gt(),
            Relation::Less => ordering.is_lt(),
        }
    }

    fn modifies_keys(&self, operation: &RequestOp) -> bool {
        let deletes = operation
            .request_delete_range
            .as_ref()
            .is_some_and(|req| !self.list_keys(&req.key, &req.range_end).is_empty());
        operation.request_put.is_some() || deletes
    }

    /// Runs one operation in the current revision.
    fn run_operation(&mut self, operation: &RequestOp) -> Option<ResponseOp> {
        if let Some(req) = &operation.request_range {
            return Some(ResponseOp::Range(self.range(req)));
        }
        if let Some(req) = &operation.request_put {
            self.write(req);
            let header = self.header();
            return Some(ResponseOp::Put(PutResponse { header }));
        }
        let req = operation.request_delete_range.as_ref()?;
        let keys = self.list_keys(&req.key, &req.range_end);
        let deleted = Number(self.remove(&keys));
        let header = self.header();
        Some(ResponseOp::DeleteRange(DeleteRangeResponse {
            header,
            deleted,
        }))
    }

    fn allocate_lease_id(&mut self) -> i64 {
        while self.leases.contains_key(&self.next_lease) {
            self.next_lease += 1;
        }
        let id = self.next_lease;
        self.next_lease += 1;
        id
    }

    fn make_lease_response(&self, id: i64, lease: Option<Lease>) -> LeaseResponse {
        let seconds = lease.map_or(0, |lease| lease.ttl.as_secs());
        LeaseResponse {
            header: self.header(),
            id: Number(id),
            ttl: Number(i64::try_from(seconds).unwrap_or(i64::MAX)),
        }
    }
}

fn is_in_range(key: &Binary, first: &Binary, end: &Binary) -> bool {
    match end.0.as_slice() {
        [] => key == first,
        UNBOUNDED_END => key >= first,
        _ => key >= first && key < end,
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NOW: MonotonicTime = MonotonicTime::ZERO;

    fn put(key: &str, value: &str, lease: i64) -> PutRequest {
        PutRequest {
            key: Binary(key.into()),
            value: Binary(value.into()),
            lease: Number(lease),
        }
    }

    fn create_if_absent(key: &str, value: &str) -> TxnRequest {
        TxnRequest {
            compare: vec![Compare {
                key: Binary(key.into()),
                target: Target::Create,
                ..Compare::default()
            }],
            success: vec![RequestOp {
                request_put: Some(put(key, value, 0)),
                ..RequestOp::default()
            }],
            failure: vec![RequestOp {
                request_range: Some(RangeRequest {
                    key: Binary(key.into()),
                    ..RangeRequest::default()
                }),
                ..RequestOp::default()
            }],
        }
    }

    fn list_key_names(state: &StoreState, key: &str, end: &str) -> Vec<String> {
        let req = RangeRequest {
            key: Binary(key.into()),
            range_end: Binary(end.into()),
            ..RangeRequest::default()
        };
        let keys = state.range(&req).kvs.into_iter();
        keys.map(|kv| String::from_utf8(kv.key.0).expect("the key is UTF-8"))
            .collect()
    }

    #[test]
    fn txn_create_if_absent() {
        let mut state = StoreState::new();
        let first = state
            .txn(&create_if_absent("a", "1"))
            .expect("the write is allowed");
        let second = state
            .txn(&create_if_absent("a", "2"))
            .expect("the write is allowed");
        assert!(first.succeeded && !second.succeeded);
        let ResponseOp::Range(kept) = &second.responses[0] else {
            panic!("expected the response to a range read");
        };
        assert_eq!(kept.kvs[0].value, Binary("1".into()));
        assert_eq!(second.header.revision, first.header.revision);
    }

    #[test]
    fn range_bounds() {
        let mut state = StoreState::new();
        for key in ["a", "b", "c"] {
            state.put(&put(key, "", 0)).expect("the write is allowed");
        }
        assert_eq!(list_key_names(&state, "a", "c"), ["a", "b"]);
        assert_eq!(list_key_names(&state, "b", "\0"), ["b", "c"]);
        assert_eq!(list_key_names(&state, "b", ""), ["b"]);
        assert!(list_key_names(&state, "c", "a").is_empty());
    }

    #[test]
    fn expire_deletes_keys_of_lease() {
        let mut state = StoreState::new();
        let grant = LeaseRequest {
            ttl: Number(5),
            ..LeaseRequest::default()
        };
        let id = state.grant(&grant, NOW).id;
        state
            .put(&put("a", "1", id.0))
            .expect("the write is allowed");
        assert!(!state.expire(NOW + Duration::from_secs(4)));
        assert!(state.expire(NOW + Duration::from_secs(5)));
        assert!(list_key_names(&state, "a", "").is_empty());
        let renewal = LeaseRequest {
            id,
            ..LeaseRequest::default()
        };
        assert_eq!(state.keep_alive(&renewal, NOW).ttl, Number(0));
        assert_eq!(
            state.put(&put("a", "1", id.0)).err(),
            Some(StoreError::LeaseNotFound)
        );
    }

    #[test]
    fn events_from_put_and_delete() {
        let mut state = StoreState::new();
        let key = Binary("a".into());
        let from = state.put(&put("a", "1", 0)).expect("the write is allowed");
        state.put(&put("b", "1", 0)).expect("the write is allowed");
        let deletion = DeleteRangeRequest {
            key: key.clone(),
            ..DeleteRangeRequest::default()
        };
        state.delete_range(&deletion);
        let from = from.header.revision.0;
        let events = state.events_from(&key, &Binary::default(), from);
        let kinds: Vec<EventType> = events
            .expect("the revision is kept")
            .iter()
            .map(|event| event.kind)
            .collect();
        assert_eq!(kinds, [EventType::Put, EventType::Delete]);
    }

    #[test]
    fn events_from_compacted() {
        let mut state = StoreState::new();
        for _ in 0..=MAX_HISTORY_EVENTS {
            state.put(&put("a", "1", 0)).expect("the write is allowed");
        }
        let key = Binary("a".into());
        assert!(state.events_from(&key, &Binary::default(), 2).is_none());
        let known = state.events_from(&key, &Binary::default(), state.first_kept_revision());
        assert_eq!(known.map(|events| events.len()), Some(MAX_HISTORY_EVENTS));
    }

    #[test]
    fn put_value_too_large() {
        let mut state = StoreState::new();
        let mut large = put("a", "", 0);
        large.value = Binary(vec![0; MAX_VALUE_BYTES + 1]);
        assert_eq!(state.put(&large).err(), Some(StoreError::ValueTooLarge));
    }
}
