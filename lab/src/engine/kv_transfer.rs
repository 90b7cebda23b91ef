//! Export and import of the cached blocks of a model engine, which take time in
//! proportion to their size.

use std::time::Duration;

use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use teaseldrum::core::placement::BlockHash;
use teaseldrum::core::placement::CHUNK_BLOCKS;
use tokio::time::sleep;

use super::requests::malformed_response;
use super::shared_engine::SharedEngine;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::read_json;

/// Time to export or import one chunk of [`CHUNK_BLOCKS`] blocks.
const TRANSFER_TIME_PER_CHUNK: Duration = Duration::from_millis(2);

#[derive(Debug, Deserialize)]
struct BlockList {
    blocks: Vec<BlockHash>,
}

/// Returns the leading blocks of the list that are cached.
pub async fn handle_export(shared: &SharedEngine, req: Request<Incoming>) -> StandInResult {
    let Some(list) = read_json::<BlockList>(req).await else {
        return Ok(malformed_response());
    };
    let cached = shared.lock().model.cache_mut().use_prefix(&list.blocks);
    sleep(transfer_time(cached)).await;
    let response_body = json!({"blocks": list.blocks[..cached]});
    Ok(json_response(StatusCode::OK, &response_body))
}

/// Stores the blocks of the list, which are the first of a prompt, in the cache.
pub async fn handle_import(shared: &SharedEngine, req: Request<Incoming>) -> StandInResult {
    let Some(list) = read_json::<BlockList>(req).await else {
        return Ok(malformed_response());
    };
    sleep(transfer_time(list.blocks.len())).await;
    let now = shared.now();
    let mut state = shared.lock();
    state.model.cache_mut().store(None, &list.blocks);
    state.publish_cache_changes(now);
    let response_body = json!({"imported": list.blocks.len()});
    Ok(json_response(StatusCode::OK, &response_body))
}

fn transfer_time(blocks: usize) -> Duration {
    let chunks = u32::try_from(blocks.div_ceil(CHUNK_BLOCKS)).unwrap_or(u32::MAX);
    TRANSFER_TIME_PER_CHUNK * chunks
}
