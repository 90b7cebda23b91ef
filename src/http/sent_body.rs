//! Body of a request that tells whether all of it was sent.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::BodyAborted;
use super::HttpBody;

/// Body whose bytes share a token until they were written to the connection.
pub(super) struct SentBody {
    inner: HttpBody,
    token: Arc<()>,
}

/// Bytes of a body with its token.
struct UnsentBytes {
    bytes: Bytes,
    _token: Arc<()>,
}

impl AsRef<[u8]> for UnsentBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl SentBody {
    /// Wraps a body. Clones of `token` exist as long as parts of it are not sent.
    pub fn new(inner: HttpBody, token: Arc<()>) -> Self {
        Self { inner, token }
    }
}

impl Body for SentBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        let attach = |bytes| {
            Bytes::from_owner(UnsentBytes {
                bytes,
                _token: Arc::clone(&self.token),
            })
        };
        frame.map_ok(|frame| frame.map_data(attach))
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
