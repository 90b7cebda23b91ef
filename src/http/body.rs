//! The body type of all messages, and reading a whole body within limits on
//! size, time and memory.

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
use super::ByteReservation;

/// Body of a response to a caller or of a request to another process.
pub type HttpBody = UnsyncBoxBody<Bytes, BodyAborted>;

/// Reason why a body could not be read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyReadError {
    /// The body is larger than `max_bytes`.
    TooLarge,
    /// The whole body did not arrive within the time limit.
    TimedOut,
    /// The connection broke within the body.
    Broken,
    /// The memory budget shared by all bodies has no room for this one.
    BudgetExhausted,
}

impl fmt::Display for BodyReadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "body too large",
            Self::TimedOut => "body did not arrive in time",
            Self::Broken => "connection broke before the body ended",
            Self::BudgetExhausted => "memory budget for bodies is exhausted",
        })
    }
}

/// Returns a body of zero bytes.
pub fn empty_body() -> HttpBody {
    Empty::new().map_err(convert_infallible).boxed_unsync()
}

/// Returns a body with the given content, whose length is known.
pub fn full_body(content: impl Into<Bytes>) -> HttpBody {
    Full::new(content.into())
        .map_err(convert_infallible)
        .boxed_unsync()
}

fn convert_infallible(error: Infallible) -> BodyAborted {
    match error {}
}

/// Reads a whole body of at most `max_bytes`. `time_limit` covers all of it, not
/// each chunk.
///
/// # Errors
///
/// The body is too large, takes too long, or its connection breaks.
pub async fn read_body<B>(
    body: B,
    max_bytes: usize,
    time_limit: Duration,
) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
{
    timeout(time_limit, collect_body(body, max_bytes, |_| true))
        .await
        .map_err(|_| BodyReadError::TimedOut)?
}

/// Reads a whole body like [`read_body`] and reserves its bytes in a shared
/// memory budget as they arrive. A body that states a length for which there is no
/// room is not read at all.
///
/// # Errors
///
/// As for [`read_body`]; also if the budget is exhausted.
pub async fn read_body_in_budget<B>(
    body: B,
    max_bytes: usize,
    time_limit: Duration,
    reservation: &mut ByteReservation,
) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
{
    let declared_len = declared_len(&body);
    if declared_len <= max_bytes && !reservation.allows_new_body(declared_len) {
        return Err(BodyReadError::BudgetExhausted);
    }
    timeout(
        time_limit,
        collect_body(body, max_bytes, |bytes| reservation.try_grow(bytes)),
    )
    .await
    .map_err(|_| BodyReadError::TimedOut)?
}

/// Returns the length that a body states; zero if it states none.
fn declared_len<B: Body>(body: &B) -> usize {
    usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX)
}

async fn collect_body<B>(
    body: B,
    max_bytes: usize,
    mut reserve: impl FnMut(usize) -> bool,
) -> Result<Bytes, BodyReadError>
where
    B: Body<Data = Bytes>,
{
    let declared_len = declared_len(&body);
    if declared_len > max_bytes {
        return Err(BodyReadError::TooLarge);
    }
    let mut body = std::pin::pin!(body);
    // Memory that is not written to yet costs nothing, and the buffer need not grow.
    let mut buf = BytesMut::with_capacity(declared_len);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyReadError::Broken)?;
        let Some(chunk) = frame.data_ref() else {
            continue;
        };
        if buf.len() + chunk.len() > max_bytes {
            return Err(BodyReadError::TooLarge);
        }
        if !reserve(chunk.len()) {
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
    use crate::http::ByteBudget;

    const TIME_LIMIT: Duration = Duration::from_secs(5);

    #[tokio::test]
    async fn read_body_whole() {
        let read = read_body(full_body("abc"), 3, TIME_LIMIT).await;
        assert_eq!(read, Ok(Bytes::from_static(b"abc")));
    }

    #[tokio::test]
    async fn read_body_too_large() {
        let read = read_body(full_body("abcd"), 3, TIME_LIMIT).await;
        assert_eq!(read, Err(BodyReadError::TooLarge));
    }

    #[tokio::test]
    async fn read_body_in_budget_exhausted() {
        let budget = Arc::new(ByteBudget::new(4));
        let mut reservation = budget.start_reservation();
        let read = read_body_in_budget(full_body("abc"), 3, TIME_LIMIT, &mut reservation).await;
        assert_eq!(read, Ok(Bytes::from_static(b"abc")));
        let mut second = budget.start_reservation();
        let read = read_body_in_budget(full_body("ab"), 3, TIME_LIMIT, &mut second).await;
        assert_eq!(read, Err(BodyReadError::BudgetExhausted));
    }

    #[tokio::test(start_paused = true)]
    async fn read_body_timed_out() {
        let (_tx, body) = super::super::ChannelBody::new(1);
        let read = read_body(body, 3, TIME_LIMIT).await;
        assert_eq!(read, Err(BodyReadError::TimedOut));
    }
}
