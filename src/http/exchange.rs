//! A request whose response head has arrived: reads the body and returns the
//! connection to the client's pool.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http_body_util::BodyExt;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::timeout;

use super::ByteReservation;
use super::Client;
use super::ClientError;
use super::client::PoolKey;
use super::client_connection::ClientConnection;

/// A request whose response head has arrived. Dropping it before the end of the
/// body resets the connection, which tells the server to stop.
pub struct Exchange {
    status: StatusCode,
    headers: HeaderMap,
    body: Incoming,
    connection: Option<ClientConnection>,
    key: PoolKey,
    client: Client,
    read_timeout: Duration,
    /// Whether the response is known to belong to the request.
    is_reusable: bool,
    /// Whether the body was read to its end.
    is_read: bool,
    /// Whether the response has neither a length nor chunks, so that its body ends with the
    /// connection.
    ends_with_connection: bool,
}

impl Exchange {
    pub(super) fn new(
        response: Response<Incoming>,
        connection: ClientConnection,
        key: PoolKey,
        client: Client,
    ) -> Self {
        let (head, body) = response.into_parts();
        let is_framed = head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        Self {
            ends_with_connection: !is_framed && !body.is_end_stream(),
            status: head.status,
            headers: head.headers,
            body,
            connection: Some(connection),
            key,
            read_timeout: client.read_timeout(),
            client,
            is_reusable: false,
            is_read: false,
        }
    }

    /// Returns whether the connection has carried other requests before, so that the
    /// response may be a late one to them.
    pub fn has_reused_connection(&self) -> bool {
        let connection = self.connection.as_ref();
        connection.is_some_and(|connection| connection.history.requests() > 1)
    }

    /// Returns the number of the connection in this process, for logs; `None` after the
    /// end of the body.
    pub fn connection_number(&self) -> Option<u64> {
        self.connection.as_ref().map(ClientConnection::number)
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers of the response.
    pub fn headers(&self) -> &HeaderMap {
        &self.headers
    }

    /// Tells that the response belongs to the request, so that other requests may go over
    /// the connection, unless it was opened for this exchange only. Without that, it is
    /// closed: the own response may still come, and would be taken for that to the next
    /// request.
    pub fn allow_reuse(&mut self) {
        self.is_reusable = true;
        if self.is_read {
            self.return_connection();
        }
    }

    /// Records the number of the state that the response states. Returns false if the
    /// connection has brought a newer state before, so that the response is a late one.
    pub fn advance_state(&mut self, number: u64) -> bool {
        let connection = self.connection.as_mut();
        connection.is_none_or(|connection| connection.history.advance_state(number))
    }

    /// Sets the timeout between two chunks of the body.
    pub fn set_read_timeout(&mut self, read_timeout: Duration) {
        self.read_timeout = read_timeout;
    }

    /// Resets the timeout between two chunks to the client's.
    pub fn reset_read_timeout(&mut self) {
        self.read_timeout = self.client.read_timeout();
    }

    /// Returns the length that the response states for the rest of its body; zero if it
    /// states none.
    pub fn declared_len(&self) -> usize {
        usize::try_from(self.body.size_hint().lower()).unwrap_or(usize::MAX)
    }

    /// Waits for the next chunk of the body. Returns `None` at its end, and then
    /// the connection can be reused if [`Self::allow_reuse`] was called.
    ///
    /// # Errors
    ///
    /// The connection broke, the chunk did not arrive within the read timeout, or a
    /// response without length ended before the whole request was sent.
    pub async fn next_chunk(&mut self) -> Result<Option<Bytes>, ClientError> {
        loop {
            let Ok(frame) = timeout(self.read_timeout, self.body.frame()).await else {
                self.client.drop_idle_connections(self.key.address);
                return Err(ClientError::TimedOut);
            };
            match frame {
                None if self.is_cut() => {
                    return Err(ClientError::Broken(
                        "the response ended before the request was sent".into(),
                    ));
                }
                None => {
                    self.end_request();
                    return Ok(None);
                }
                Some(Err(e)) => return Err(ClientError::Broken(e.to_string())),
                Some(Ok(frame)) => {
                    if let Ok(chunk) = frame.into_data() {
                        return Ok(Some(chunk));
                    }
                }
            }
        }
    }

    /// Reads the rest of the body, at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// The connection broke or timed out, or the rest is larger than
    /// `max_bytes`.
    pub async fn read_rest(&mut self, max_bytes: usize) -> Result<Bytes, ClientError> {
        self.collect_rest(max_bytes, None).await
    }

    /// Reads the rest of the body like [`Self::read_rest`], and reserves its bytes in a
    /// shared memory budget as they arrive. If the budget has shares, this waits for room.
    ///
    /// # Errors
    ///
    /// As for [`Self::read_rest`]; also if the budget is exhausted.
    pub async fn read_rest_in_budget(
        &mut self,
        max_bytes: usize,
        reservation: &mut ByteReservation,
    ) -> Result<Bytes, ClientError> {
        self.collect_rest(max_bytes, Some(reservation)).await
    }

    async fn collect_rest(
        &mut self,
        max_bytes: usize,
        mut reservation: Option<&mut ByteReservation>,
    ) -> Result<Bytes, ClientError> {
        let mut buf = Vec::new();
        while let Some(chunk) = self.next_chunk().await? {
            let len = buf.len() + chunk.len();
            let has_room = match &mut reservation {
                Some(reservation) if len <= max_bytes => reservation.grow_to(len).await,
                _ => true,
            };
            if len > max_bytes || !has_room {
                return Err(ClientError::Broken("answer too large".into()));
            }
            buf.extend_from_slice(&chunk);
        }
        Ok(buf.into())
    }

    /// Returns whether the end of the body is only that of a connection that ended before
    /// the server had the whole request. Nothing tells that from a server in trouble.
    fn is_cut(&self) -> bool {
        let connection = self.connection.as_ref();
        let is_request_sent = connection.is_none_or(ClientConnection::is_request_sent);
        self.ends_with_connection && !is_request_sent
    }

    fn end_request(&mut self) {
        self.is_read = true;
        // The server has answered early. The rest of the request would be held until
        // it reads on, and nothing else can be sent before.
        let is_early = |connection: &mut ClientConnection| !connection.is_request_sent();
        if let Some(connection) = self.connection.take_if(is_early) {
            connection.give_up();
        }
        if let Some(connection) = &self.connection {
            connection.end_request();
        }
        if self.is_reusable {
            self.return_connection();
        }
    }

    fn return_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            let server_idle_time = parse_keep_alive_timeout(&self.headers);
            self.client
                .return_connection(self.key, connection, server_idle_time);
        }
    }
}

/// Parses the `timeout` parameter of a `Keep-Alive` header: the whole seconds
/// for which the server keeps an idle connection.
fn parse_keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = value
        .split(',')
        .find_map(|parameter| parameter.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

impl fmt::Debug for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Exchange")
            .field("status", &self.status)
            .field("address", &self.key.address)
            .finish_non_exhaustive()
    }
}
