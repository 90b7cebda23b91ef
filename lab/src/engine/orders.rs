//! Orders to a model engine: load weights, load an adapter, change the role.
//! Orders with a stale fencing token are refused.

use std::sync::Arc;

use http::StatusCode;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use teaseldrum::http::HttpBody;
use tokio::time::sleep;

use super::requests::malformed_response;
use super::shared_engine::SharedEngine;
use crate::stand_in::ConnectionDropped;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::read_json;

#[derive(Debug, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
enum Order {
    LoadWeights { version: u64 },
    LoadAdapter { adapter: String },
    ChangeRole { role: String },
}

#[derive(Debug, Deserialize)]
struct OrderRequest {
    #[serde(flatten)]
    order: Order,
    fencing: Option<u64>,
}

/// Executes an order. It runs to its end even if the caller disconnects.
pub async fn handle_order(shared: Arc<SharedEngine>, req: Request<Incoming>) -> StandInResult {
    let Some(req) = read_json::<OrderRequest>(req).await else {
        return Ok(malformed_response());
    };
    let order_task = tokio::spawn(async move { execute_order(&shared, req).await });
    order_task.await.map_err(|_| ConnectionDropped)
}

async fn execute_order(shared: &SharedEngine, req: OrderRequest) -> Response<HttpBody> {
    if let Some(rejection) = check_fencing(shared, req.fencing) {
        return rejection;
    }
    let incarnation = shared.lock().incarnation;
    let order_delay = shared.lock().faults.order_delay;
    match req.order {
        Order::LoadWeights { .. } => shared.settings.weight_store.load().await,
        Order::LoadAdapter { .. } | Order::ChangeRole { .. } => {
            sleep(shared.settings.order_time).await;
        }
    }
    sleep(order_delay).await;
    if let Some(rejection) = check_fencing(shared, req.fencing) {
        return rejection;
    }
    let now = shared.now();
    let mut state = shared.lock();
    if state.incarnation != incarnation {
        return json_response(StatusCode::GONE, &json!({"error": "restarted"}));
    }
    state.counts.orders += 1;
    match req.order {
        Order::LoadWeights { version } => {
            state.weights = version;
            state.model.cache_mut().clear();
        }
        Order::LoadAdapter { adapter } => log::debug!("lab: Engine loaded adapter {adapter}."),
        Order::ChangeRole { role } => state.role = role,
    }
    state.publish_cache_changes(now);
    let response_body = json!({"incarnation": state.incarnation, "weights": state.weights});
    json_response(StatusCode::OK, &response_body)
}

/// Returns a refusal if the fencing token is lower than the highest one seen;
/// otherwise records it. A missing token is lower than any other.
fn check_fencing(shared: &SharedEngine, fencing: Option<u64>) -> Option<Response<HttpBody>> {
    if !shared.settings.enforces_fencing {
        return None;
    }
    let mut state = shared.lock();
    if fencing < state.fencing {
        state.counts.fenced += 1;
        let response_body = json!({"error": "fenced", "fencing": state.fencing});
        return Some(json_response(StatusCode::CONFLICT, &response_body));
    }
    state.fencing = fencing;
    None
}
