//! Server-sent events of an answer.

use std::fmt;
use std::pin::Pin;

use bytes::Bytes;
use bytes::BytesMut;
use eventsource_stream::Event;
use eventsource_stream::EventStreamError as DecodeError;
use eventsource_stream::Eventsource;
use futures::Stream;
use futures::StreamExt;
use futures::stream::unfold;

use super::ClientError;
use super::Exchange;

/// Failure of a stream of server-sent events.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventStreamError {
    /// The connection failed.
    Connection(ClientError),
    /// The bytes are no server-sent events.
    Malformed,
}

impl fmt::Display for EventStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(e) => e.fmt(f),
            Self::Malformed => f.write_str("malformed event stream"),
        }
    }
}

/// Server-sent events of an answer, each given out as soon as it arrives.
pub struct EventStream {
    events: Pin<Box<dyn Stream<Item = Result<Event, DecodeError<ClientError>>> + Send>>,
}

impl EventStream {
    /// Reads the events of an answer. A gap set for the answer holds until
    /// the first event.
    pub fn new(exchange: Exchange) -> Self {
        let chunks = unfold(Some(exchange), next_chunk);
        Self {
            events: Box::pin(chunks.eventsource()),
        }
    }

    /// Waits for the next event; none at the end of the stream.
    ///
    /// # Errors
    ///
    /// The connection failed or the bytes are no events.
    pub async fn next(&mut self) -> Result<Option<Event>, EventStreamError> {
        match self.events.next().await {
            None => Ok(None),
            Some(Ok(event)) => Ok(Some(event)),
            Some(Err(DecodeError::Transport(e))) => Err(EventStreamError::Connection(e)),
            Some(Err(_)) => Err(EventStreamError::Malformed),
        }
    }
}

impl fmt::Debug for EventStream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("EventStream").finish_non_exhaustive()
    }
}

async fn next_chunk(
    exchange: Option<Exchange>,
) -> Option<(Result<Bytes, ClientError>, Option<Exchange>)> {
    let mut exchange = exchange?;
    match exchange.next_chunk().await {
        Ok(None) => None,
        Ok(Some(chunk)) => {
            exchange.reset_read_timeout();
            Some((Ok(chunk), Some(exchange)))
        }
        Err(e) => Some((Err(e), None)),
    }
}

/// Writes one event; an empty id or name leaves its line out.
pub fn write_event(id: &str, name: &str, data: &str) -> Bytes {
    let mut buf = BytesMut::with_capacity(id.len() + name.len() + data.len() + 32);
    write_field(&mut buf, "id", id);
    write_field(&mut buf, "event", name);
    for line in data.split('\n') {
        buf.extend_from_slice(b"data: ");
        buf.extend_from_slice(line.as_bytes());
        buf.extend_from_slice(b"\n");
    }
    buf.extend_from_slice(b"\n");
    buf.freeze()
}

fn write_field(buf: &mut BytesMut, field: &str, value: &str) {
    if value.is_empty() {
        return;
    }
    buf.extend_from_slice(field.as_bytes());
    buf.extend_from_slice(b": ");
    buf.extend_from_slice(value.as_bytes());
    buf.extend_from_slice(b"\n");
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn write_event_all_fields() {
        let written = write_event("3", "error", "a\nb");
        assert_eq!(
            written,
            Bytes::from_static(b"id: 3\nevent: error\ndata: a\ndata: b\n\n")
        );
    }

    #[test]
    fn write_event_data_only() {
        assert_eq!(write_event("", "", "x"), Bytes::from_static(b"data: x\n\n"));
    }
}
