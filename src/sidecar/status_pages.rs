//! Metrics page of a sidecar.

use std::sync::Arc;

use http::StatusCode;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::context::SidecarContext;
use crate::http::HttpBody;
use crate::http::full_body;

/// Serves `/metrics`.
pub async fn serve_status_page(
    cx: Arc<SidecarContext>,
    req: Request<Incoming>,
) -> Response<HttpBody> {
    let (status, text) = match req.uri().path() {
        "/metrics" => (StatusCode::OK, cx.metrics.encode()),
        _ => (StatusCode::NOT_FOUND, "no such page\n".into()),
    };
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
