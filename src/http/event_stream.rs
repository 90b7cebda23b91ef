//! Decoding and encoding of server-sent events.

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

/// Reason why no further event of a stream can be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventStreamError {
    /// The connection broke or timed out.
    Connection(ClientError),
    /// The body is not a valid stream of server-sent events.
    Malformed,
}

impl EventStreamError {
    /// Returns whether only nothing arrived for a time. The stream may still go on.
    pub fn is_silence(&self) -> bool {
        matches!(self, Self::Connection(ClientError::TimedOut))
    }
}

impl fmt::Display for EventStreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(e) => e.fmt(f),
            Self::Malformed => f.write_str("malformed event stream"),
        }
    }
}

/// Server-sent events of a response, each returned as soon as it is complete.
pub struct EventStream {
    events: Pin<Box<dyn Stream<Item = Result<Event, DecodeError<ClientError>>> + Send>>,
}

impl EventStream {
    /// Reads the events of a response. A read timeout set on `exchange` applies
    /// until its first chunk; from then on the client's applies.
    pub fn new(exchange: Exchange) -> Self {
        let chunks = unfold(Some(exchange), next_chunk);
        Self {
            events: Box::pin(chunks.eventsource()),
        }
    }

    /// Waits for the next event. Returns `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// The connection broke or timed out, or the body is malformed. Nothing is lost after a
    /// timeout, so that the next event can be waited for once more.
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
        Err(ClientError::TimedOut) => Some((Err(ClientError::TimedOut), Some(exchange))),
        Err(e) => Some((Err(e), None)),
    }
}

/// Encodes one event. An empty id or name omits its line; each line of `data`
/// becomes a `data` line of its own.
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
        let encoded = write_event("3", "error", "a\nb");
        assert_eq!(
            encoded,
            Bytes::from_static(b"id: 3\nevent: error\ndata: a\ndata: b\n\n")
        );
    }

    #[test]
    fn write_event_data_only() {
        assert_eq!(write_event("", "", "x"), Bytes::from_static(b"data: x\n\n"));
    }
}
