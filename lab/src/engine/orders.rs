//! Orders to a model engine.

use std::sync::Arc;

use http::StatusCode;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use teaseldrum::http::HttpBody;
use tokio::time::sleep;

use super::requests::answer_malformed;
use super::shared::Shared;
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

/// Carries out an order, even if the one who gave it goes away.
pub async fn answer_order(shared: Arc<Shared>, req: Request<Incoming>) -> StandInResult {
    let Some(req) = read_json::<OrderRequest>(req).await else {
        return Ok(answer_malformed());
    };
    let done = tokio::spawn(async move { carry_out(&shared, req).await });
    done.await.map_err(|_| ConnectionDropped)
}

async fn carry_out(shared: &Shared, req: OrderRequest) -> Response<HttpBody> {
    if let Some(refusal) = check_fencing(shared, req.fencing) {
        return refusal;
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
    if let Some(refusal) = check_fencing(shared, req.fencing) {
        return refusal;
    }
    let now = shared.now();
    let mut inner = shared.lock();
    if inner.incarnation != incarnation {
        return json_response(StatusCode::GONE, &json!({"error": "restarted"}));
    }
    inner.counts.orders += 1;
    match req.order {
        Order::LoadWeights { version } => {
            inner.weights = version;
            inner.model.cache_mut().clear();
        }
        Order::LoadAdapter { adapter } => log::debug!("lab: Engine loaded adapter {adapter}."),
        Order::ChangeRole { role } => inner.role = role,
    }
    inner.publish_changes(now);
    let answer = json!({"incarnation": inner.incarnation, "weights": inner.weights});
    json_response(StatusCode::OK, &answer)
}

/// Refuses an order whose fencing number is lower than one seen before.
fn check_fencing(shared: &Shared, fencing: Option<u64>) -> Option<Response<HttpBody>> {
    if !shared.settings.enforces_fencing {
        return None;
    }
    let mut inner = shared.lock();
    if fencing < inner.fencing {
        inner.counts.fenced += 1;
        let answer = json!({"error": "fenced", "fencing": inner.fencing});
        return Some(json_response(StatusCode::CONFLICT, &answer));
    }
    inner.fencing = fencing;
    None
}
