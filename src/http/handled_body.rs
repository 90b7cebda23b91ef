//! Body of a response whose request counts as handled until the body has ended.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use super::BodyAborted;
use super::HttpBody;
use super::caller_activity::CallerActivity;

/// Body that records the end of its request when it is dropped.
pub(super) struct HandledBody {
    inner: HttpBody,
    activity: CallerActivity,
}

impl HandledBody {
    /// Wraps the body of the response to the request that `activity` has last recorded.
    pub fn new(inner: HttpBody, activity: CallerActivity) -> Self {
        Self { inner, activity }
    }
}

impl Drop for HandledBody {
    fn drop(&mut self) {
        self.activity.end_request();
    }
}

impl Body for HandledBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
