//! Asynchronous store client, for the long-running roles.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::CONTENT_TYPE;
use http::header::HOST;

use super::KeyRange;
use super::KeyValue;
use super::LeaseId;
use super::StoreError;
use super::Txn;
use super::TxnResponse;
use super::Watch;
use super::wire::Base64;
use super::wire::Call;
use super::wire::DeleteCall;
use super::wire::LeaseGrantCall;
use super::wire::LeaseKeepAliveCall;
use super::wire::LeaseRevokeCall;
use super::wire::Number;
use super::wire::PutCall;
use super::wire::RangeCall;
use super::wire::TxnCall;
use super::wire::WatchCall;
use super::wire::WatchCreateRequest;
use super::wire::decode;
use super::wire::encode;
use crate::http::Client;
use crate::http::Exchange;
use crate::http::HttpBody;
use crate::http::full_body;
use crate::settings::PlatformSettings;

const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Asynchronous store client. Cheap to clone; all clones must be used on one
/// runtime, because they share connections.
#[derive(Clone)]
pub struct Store {
    addresses: Arc<[SocketAddr]>,
    /// Index, modulo the number of addresses, of the address to try first: the one
    /// that responded last, or the one after a failed write.
    preferred: Arc<AtomicUsize>,
    call_client: Client,
    watch_client: Client,
}

impl Store {
    /// Creates a client. It connects with the first call.
    pub fn new(settings: &PlatformSettings) -> Self {
        Self {
            addresses: settings.store.clone().into(),
            preferred: Arc::default(),
            call_client: Client::new(settings.call_timeouts()),
            watch_client: Client::new(settings.watch_timeouts()),
        }
    }

    /// Reads the keys of a range.
    ///
    /// # Errors
    ///
    /// The store was not reached, refused the call or did not respond.
    pub async fn range(&self, range: &KeyRange) -> Result<Vec<KeyValue>, StoreError> {
        Ok(self.range_at_revision(range).await?.1)
    }

    /// Reads the keys of a range. Also returns the store revision of the read: a
    /// watch from the next revision on misses no change.
    ///
    /// # Errors
    ///
    /// The store was not reached, refused the call or did not respond.
    pub async fn range_at_revision(
        &self,
        range: &KeyRange,
    ) -> Result<(i64, Vec<KeyValue>), StoreError> {
        let response = self.call(&RangeCall::new(range)).await?;
        Ok((response.header.revision.0, response.into()))
    }

    /// Writes a value, which the store deletes when `lease` ends. Returns the store
    /// revision of the write.
    ///
    /// # Errors
    ///
    /// See [`StoreError`] for what is known about the effect.
    pub async fn put(
        &self,
        key: Bytes,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> Result<i64, StoreError> {
        let response = self.call(&PutCall::new(key, value, lease)).await?;
        Ok(response.header.revision.0)
    }

    /// Deletes the keys of a range. Returns the store revision of the deletion.
    ///
    /// # Errors
    ///
    /// See [`StoreError`] for what is known about the effect.
    pub async fn delete(&self, range: &KeyRange) -> Result<i64, StoreError> {
        let response = self.call(&DeleteCall::new(range)).await?;
        Ok(response.header.revision.0)
    }

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// See [`StoreError`] for what is known about the effect.
    pub async fn txn(&self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        let response = self.call(&TxnCall::new(txn)).await?;
        Ok(response.into())
    }

    /// Creates a lease that ends if it is not kept alive for `ttl`, which is rounded
    /// down to whole seconds but is at least one.
    ///
    /// # Errors
    ///
    /// See [`StoreError`]. A lease that was created although the call failed ends
    /// by itself after `ttl`.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let seconds = i64::try_from(ttl.as_secs().max(1)).unwrap_or(i64::MAX);
        let call = LeaseGrantCall {
            ttl: Number(seconds),
        };
        let response = self.call(&call).await?;
        Ok(LeaseId(response.id.0))
    }

    /// Renews a lease. Returns its remaining time, zero if it has ended.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn keep_lease_alive(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        let call = LeaseKeepAliveCall {
            id: Number(lease.0),
        };
        let response = self.call(&call).await?;
        let seconds = u64::try_from(response.result.ttl.0).unwrap_or(0);
        Ok(Duration::from_secs(seconds))
    }

    /// Ends a lease, which deletes its keys.
    ///
    /// # Errors
    ///
    /// See [`StoreError`].
    pub async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let call = LeaseRevokeCall {
            id: Number(lease.0),
        };
        self.call(&call).await.map(|_| ())
    }

    /// Opens a watch on the changes of a range from store revision `start_revision`
    /// on.
    ///
    /// # Errors
    ///
    /// The store was not reached, refused the call or did not respond.
    pub async fn watch(&self, range: &KeyRange, start_revision: i64) -> Result<Watch, StoreError> {
        let call = WatchCall {
            create_request: WatchCreateRequest {
                key: Base64(range.start().clone()),
                range_end: range.end().map(Base64),
                start_revision: Number(start_revision),
            },
        };
        let body = encode(&call)?;
        let sent = self.send(&self.watch_client, WatchCall::PATH, body, true);
        Watch::open(sent.await?).await
    }

    /// Sends a call and decodes its response.
    async fn call<C: Call>(&self, call: &C) -> Result<C::Response, StoreError> {
        let body = encode(call)?;
        let mut exchange = self
            .send(&self.call_client, C::PATH, body, C::IS_READ)
            .await?;
        let status = exchange.status().as_u16();
        let body = exchange.read_rest(MAX_RESPONSE_BYTES).await;
        decode(status, &body.map_err(unknown_effect)?)
    }

    /// Sends a call to the addresses in turn, beginning with the preferred one, until
    /// one responds. A write goes on to the next address only if it certainly was
    /// not sent.
    async fn send(
        &self,
        client: &Client,
        path: &'static str,
        body: Vec<u8>,
        is_read: bool,
    ) -> Result<Exchange, StoreError> {
        let body = Bytes::from(body);
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_error = StoreError::NotReached("no store address in the settings".into());
        for offset in 0..self.addresses.len() {
            let index = (first + offset) % self.addresses.len();
            let address = self.addresses[index];
            let req = build_request(address, path, body.clone())?;
            match client.send(address, req).await {
                Ok(exchange) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(exchange);
                }
                Err(e) => last_error = e.into(),
            }
            if last_error.may_have_taken_effect() && !is_read {
                self.preferred.store(index + 1, Ordering::Relaxed);
                break;
            }
        }
        Err(last_error)
    }
}

impl fmt::Debug for Store {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Store")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

/// Maps an error of reading the response, before which the call may have taken
/// effect.
fn unknown_effect(e: crate::http::ClientError) -> StoreError {
    StoreError::Unknown(e.to_string())
}

fn build_request(
    address: SocketAddr,
    path: &'static str,
    body: Bytes,
) -> Result<Request<HttpBody>, StoreError> {
    Request::post(path)
        .header(HOST, address.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(full_body(body))
        .map_err(|e| StoreError::NotReached(e.to_string()))
}
