//! Whole bodies, read within bounds.

use std::convert::Infallible;
use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Full;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Body;
use tokio::time::timeout;

use super::BodyAborted;
use super::BodyReservation;

/// Body of an answer or of a request to another process.
pub type HttpBody = UnsyncBoxBody<Bytes, BodyAborted>;

/// Reason for which a body could not be read whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyReadError {
    /// The body is larger than allowed.
    TooLarge,
    /// Too long a time passed between two chunks.
    TimedOut,
    /// The connection broke.
    Broken,
    /// All bodies together take as much memory as allowed.
    BudgetExhausted,
}

impl fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "body too large",
            Self::TimedOut => "body came too slowly",
            Self::Broken => "connection broke within the body",
            Self::BudgetExhausted => "no room for the body",
        })
    }
}

/// Returns a body without content.
pub fn empty_body() -> HttpBody {
    Empty::new().map_err(never).boxed_unsync()
}

/// Returns a body of known content.
pub fn full_body(content: impl Into<Bytes>) -> HttpBody {
    Full::new(content.into()).map_err(never).boxed_unsync()
}

fn never(never: Infallible) -> BodyAborted {
    match never {}
}

/// Reads a body of at most `max_bytes`, within `limit` altogether.
///
/// # Errors
///
/// The body is too large, comes too slowly or breaks off.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    limit: Duration,
) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
{
    timeout(limit, collect(body, max_bytes, |_| true))
        .await
        .map_err(|_| BodyReadError::TimedOut)?
}

/// Reads a body like [`read_body`] and takes its bytes from a shared budget
/// as they arrive.
///
/// # Errors
///
/// The body is too large, comes too slowly or breaks off, or the budget has
/// no room for it.
pub async fn read_body_in_budget<B>(
    body: B,
    max_bytes: usize,
    limit: Duration,
    reservation: &mut BodyReservation,
) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
{
    timeout(
        limit,
        collect(body, max_bytes, |bytes| reservation.try_grow(bytes)),
    )
    .await
    .map_err(|_| BodyReadError::TimedOut)?
}

async fn collect<B>(
    body: B,
    max_bytes: usize,
    mut take: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
{
    let announced = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced > max_bytes {
        return Err(BodyReadError::TooLarge);
    }
    let mut body = std::pin::pin!(body);
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Broken)?;
        let Some(chunk) = frame.data_ref() else {
            continue;
        };
        if buf.len() + chunk.len() > max_bytes {
            return Err(BodyReadError::TooLarge);
        }
        if !take(chunk.len()) {
            return Err(BodyReadError::BudgetExhausted);
        }
        buf.extend_from_slice(chunk);
    }
    Ok(buf.freeze())
}

#[cfg(test)]
mod tests {
    use std::sync::Arc;

    use super::*;
    use crate::http::BodyBudget;

    const LIMIT: Duration = Duration::from_secs(5);

    #[tokio::test]
    async fn read_body_whole() {
        let read = read_body(full_body("abc"), 3, LIMIT).await;
        assert_eq!(read, Ok(Bytes::from_static(b"abc")));
    }

    #[tokio::test]
    async fn read_body_too_large() {
        let read = read_body(full_body("abcd"), 3, LIMIT).await;
        assert_eq!(read, Err(BodyReadError::TooLarge));
    }

    #[tokio::test]
    async fn read_body_in_budget_exhausted() {
        let budget = Arc::new(BodyBudget::new(4));
        let mut reservation = budget.start_reservation();
        let read = read_body_in_budget(full_body("abc"), 3, LIMIT, &mut reservation).await;
        assert_eq!(read, Ok(Bytes::from_static(b"abc")));
        let mut other = budget.start_reservation();
        let read = read_body_in_budget(full_body("ab"), 3, LIMIT, &mut other).await;
        assert_eq!(read, Err(BodyReadError::BudgetExhausted));
    }

    #[tokio::test(start_paused = true)]
    async fn read_body_timed_out() {
        let (_tx, body) = super::super::ChannelBody::new(1);
        let read = read_body(body, 3, LIMIT).await;
        assert_eq!(read, Err(BodyReadError::TimedOut));
    }
}
