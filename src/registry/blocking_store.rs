//! Store client that blocks the calling thread, for the command line and tools.

use std::net::SocketAddr;

use bytes::Bytes;
use ureq::Agent;

use super::KeyRange;
use super::KeyValue;
use super::LeaseId;
use super::StoreError;
use super::Txn;
use super::TxnResponse;
use super::wire::Call;
use super::wire::PutCall;
use super::wire::RangeCall;
use super::wire::TxnCall;
use super::wire::decode;
use super::wire::encode;
use crate::settings::PlatformSettings;

const MAX_RESPONSE_BYTES: u64 = 16 * 1024 * 1024;

/// Store client that blocks the calling thread, for the command line and tools.
#[derive(Debug)]
pub struct BlockingStore {
    addresses: Vec<SocketAddr>,
    agent: Agent,
}

impl BlockingStore {
    /// Creates a client. It connects with the first call.
    pub fn new(settings: &PlatformSettings) -> Self {
        let config = Agent::config_builder()
            .http_status_as_error(false)
            // Responses name no request: a late one must not meet another request.
            .max_idle_connections(0)
            .timeout_connect(Some(settings.connect_timeout))
            .timeout_global(Some(settings.connect_timeout + settings.call_timeout))
            .build();
        Self {
            addresses: settings.store.clone(),
            agent: config.into(),
        }
    }

    /// Reads the keys of a range.
    ///
    /// # Errors
    ///
    /// The store was not reached, refused the call or did not respond.
    pub fn range(&self, range: &KeyRange) -> Result<Vec<KeyValue>, StoreError> {
        let response = self.call(&RangeCall::new(range))?;
        Ok(response.into())
    }

    /// Writes a value, which the store deletes when `lease` ends. Returns the store
    /// revision of the write.
    ///
    /// # Errors
    ///
    /// See [`StoreError`] for what is known about the effect.
    pub fn put(&self, key: Bytes, value: Bytes, lease: Option<LeaseId>) -> Result<i64, StoreError> {
        let response = self.call(&PutCall::new(key, value, lease))?;
        Ok(response.header.revision.0)
    }

    /// Executes a transaction.
    ///
    /// # Errors
    ///
    /// See [`StoreError`] for what is known about the effect.
    pub fn txn(&self, txn: &Txn) -> Result<TxnResponse, StoreError> {
        let response = self.call(&TxnCall::new(txn))?;
        Ok(response.into())
    }

    /// Sends a call to the addresses in turn until one responds. A write goes on to
    /// the next address only if it certainly had no effect.
    fn call<C: Call>(&self, call: &C) -> Result<C::Response, StoreError> {
        let body = encode(call)?;
        let mut last_error = StoreError::NotReached("no store address in the settings".into());
        for address in &self.addresses {
            match self.call_address::<C>(*address, &body) {
                Err(e) if e.may_have_taken_effect() && !C::IS_READ => return Err(e),
                Err(e @ StoreError::Refused { .. }) => return Err(e),
                Err(e) => last_error = e,
                Ok(response) => return Ok(response),
            }
        }
        Err(last_error)
    }

    fn call_address<C: Call>(
        &self,
        address: SocketAddr,
        body: &[u8],
    ) -> Result<C::Response, StoreError> {
        let url = format!("http://{address}{}", C::PATH);
        let sent = self
            .agent
            .post(&url)
            .header("content-type", "application/json")
            .send(body);
        let response = sent.map_err(classify_error)?;
        let status = response.status().as_u16();
        let body = response
            .into_body()
            .into_with_config()
            .limit(MAX_RESPONSE_BYTES)
            .read_to_vec()
            .map_err(|e| StoreError::Unknown(e.to_string()))?;
        decode(status, &body)
    }
}

/// Classifies a client error by its effect: only if the connection was never
/// established is it certain that the call had no effect.
fn classify_error(e: ureq::Error) -> StoreError {
    let was_refused = matches!(
        &e,
        ureq::Error::Io(io) if io.kind() == std::io::ErrorKind::ConnectionRefused
    );
    match e {
        ureq::Error::ConnectionFailed
        | ureq::Error::HostNotFound
        | ureq::Error::BadUri(_)
        | ureq::Error::Timeout(ureq::Timeout::Connect) => StoreError::NotReached(e.to_string()),
        _ if was_refused => StoreError::NotReached(e.to_string()),
        _ => StoreError::Unknown(e.to_string()),
    }
}
