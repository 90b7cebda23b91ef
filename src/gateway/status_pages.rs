//! Readiness page for the load balancer and metrics page for operators.

use std::sync::Arc;

use http::StatusCode;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::context::GatewayContext;
use crate::http::HttpBody;
use crate::http::full_body;

/// Serves `/ready` and `/metrics` on the runtime of the traffic: a separate
/// thread pool would need more memory than the gateway itself.
pub async fn serve_status_page(
    cx: Arc<GatewayContext>,
    req: Request<Incoming>,
) -> Response<HttpBody> {
    let (status, text) = match req.uri().path() {
        "/ready" if cx.is_ready() => (StatusCode::OK, "ready\n".into()),
        "/ready" => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into()),
        "/metrics" => {
            let gauges = cx.lock().read_gauges(cx.now());
            cx.metrics.set_memory(&cx.byte_budget.read_gauges());
            (StatusCode::OK, cx.metrics.encode(&gauges))
        }
        _ => (StatusCode::NOT_FOUND, "no such page\n".into()),
    };
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
