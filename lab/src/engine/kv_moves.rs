//! Export and import of a model engine's cached blocks.

use std::time::Duration;

use http::StatusCode;
use hyper::Request;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::json;
use teaseldrum::core::placement::BlockHash;
use teaseldrum::core::placement::CHUNK_BLOCKS;
use tokio::time::sleep;

use super::requests::answer_malformed;
use super::shared::Shared;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::read_json;

const MOVE_TIME_PER_PIECE: Duration = Duration::from_millis(2);

#[derive(Debug, Deserialize)]
struct BlockList {
    blocks: Vec<BlockHash>,
}

/// Answers with the leading blocks of the list that are cached.
pub async fn answer_export(shared: &Shared, req: Request<Incoming>) -> StandInResult {
    let Some(list) = read_json::<BlockList>(req).await else {
        return Ok(answer_malformed());
    };
    let held = shared.lock().model.cache_mut().use_prefix(&list.blocks);
    sleep(move_time(held)).await;
    let answer = json!({"blocks": list.blocks[..held]});
    Ok(json_response(StatusCode::OK, &answer))
}

/// Takes blocks, which are a prompt's first ones, into the cache.
pub async fn answer_import(shared: &Shared, req: Request<Incoming>) -> StandInResult {
    let Some(list) = read_json::<BlockList>(req).await else {
        return Ok(answer_malformed());
    };
    sleep(move_time(list.blocks.len())).await;
    let now = shared.now();
    let mut inner = shared.lock();
    inner.model.cache_mut().store(None, &list.blocks);
    inner.publish_changes(now);
    let answer = json!({"imported": list.blocks.len()});
    Ok(json_response(StatusCode::OK, &answer))
}

fn move_time(blocks: usize) -> Duration {
    let pieces = u32::try_from(blocks.div_ceil(CHUNK_BLOCKS)).unwrap_or(u32::MAX);
    MOVE_TIME_PER_PIECE * pieces
}
