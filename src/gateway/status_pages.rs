//! Readiness page for the load balancer and metrics page for operators.

use std::sync::Arc;

use http::StatusCode;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;

use super::context::GatewayContext;
use super::report_mesh_traffic::update_mesh_metrics;
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
            update_mesh_metrics(&cx);
            let now = cx.now();
            let gauges = cx.lock().read_gauges(now);
            if let Some(admission) = &cx.lock().admission {
                cx.metrics.admission.set_gauges(&admission.read_gauges(now));
            }
            cx.metrics.set_memory(&cx.byte_budget.read_gauges());
            (StatusCode::OK, cx.metrics.encode(&gauges))
        }
        _ => (StatusCode::NOT_FOUND, "no such page\n".into()),
    };
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
