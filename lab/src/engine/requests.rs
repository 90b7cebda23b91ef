//! HTTP endpoints of a model engine.

use std::collections::HashMap;
use std::sync::Arc;

use http::HeaderMap;
use http::StatusCode;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use serde::Deserialize;
use serde_json::Map;
use serde_json::Value;
use serde_json::json;
use teaseldrum::core::CacheSalt;
use teaseldrum::core::placement::BYTES_PER_TOKEN;
use teaseldrum::core::placement::hash_blocks;
use teaseldrum::core::placement::read_prompt_text;
use teaseldrum::http::HttpBody;
use tokio::sync::watch;
use tokio::time::sleep;

use super::EngineRequest;
use super::generation::Generation;
use super::generation::Progress;
use super::generation::ResponseWriter;
use super::generation_reader::GenerationReader;
use super::kv_transfer::handle_export;
use super::kv_transfer::handle_import;
use super::orders::handle_order;
use super::shared_engine::SharedEngine;
use super::token_stream::REQUEST_ID_HEADER;
use super::token_stream::TokenStream;
use super::token_stream::set_request_id;
use crate::stand_in::ConnectionDropped;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::read_json;

/// Output length of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Dispatches a request by its path.
pub async fn handle_request(shared: Arc<SharedEngine>, req: Request<Incoming>) -> StandInResult {
    let path = req.uri().path().to_owned();
    match path.as_str() {
        "/v1/completions" => handle_generation(shared, req, false).await,
        "/v1/chat/completions" => handle_generation(shared, req, true).await,
        "/resume" => Ok(handle_resume(shared, &req)),
        "/cancel" => handle_cancel(&shared, req).await,
        "/state" => Ok(make_state_response(&shared)),
        "/cache_events" => Ok(handle_cache_events(&shared, &req)),
        "/kv/export" => handle_export(&shared, req).await,
        "/kv/import" => handle_import(&shared, req).await,
        "/orders" => handle_order(shared, req).await,
        _ => Ok(json_response(StatusCode::NOT_FOUND, &json!({}))),
    }
}

/// Returns the response to a request that cannot be parsed.
pub fn malformed_response() -> Response<HttpBody> {
    json_response(StatusCode::BAD_REQUEST, &json!({"error": "malformed"}))
}

async fn handle_generation(
    shared: Arc<SharedEngine>,
    req: Request<Incoming>,
    is_chat: bool,
) -> StandInResult {
    let request_id = read_or_draw_request_id(req.headers());
    let Some(fields) = read_json::<Map<String, Value>>(req).await else {
        return Ok(malformed_response());
    };
    let Some((generation, engine_request)) =
        parse_generation_request(&fields, request_id.clone(), is_chat)
    else {
        return Ok(malformed_response());
    };
    let writer = generation.response_writer();
    let progress = generation.watch_progress();
    let attempt = shared.submit(generation, engine_request);
    let reader = GenerationReader::new(Arc::clone(&shared), attempt);
    let faults = shared.lock().faults.clone();
    sleep(faults.response_delay).await;
    let response_request_id = if faults.wrong_request_id {
        String::from("of-another")
    } else {
        request_id
    };
    if fields.get("stream").is_some_and(|stream| *stream == true) {
        let stream = TokenStream {
            reader,
            writer,
            progress,
            next_index: 0,
            sent_events: 0,
        };
        return Ok(stream.into_response(&response_request_id));
    }
    make_whole_response(&reader, writer, progress, &response_request_id).await
}

fn read_or_draw_request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| format!("{:x}", rand::random::<u64>()), String::from)
}

fn parse_generation_request(
    fields: &Map<String, Value>,
    request_id: String,
    is_chat: bool,
) -> Option<(Generation, EngineRequest)> {
    let prompt = read_prompt_text(fields)?;
    let salt = parse_salt(fields)?;
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    let tokens = u32::try_from(tokens).ok()?;
    let output_tokens = fields.get("max_tokens").and_then(Value::as_u64);
    let output_tokens = output_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    let priority = fields.get("priority").and_then(Value::as_i64);
    let engine_request = EngineRequest {
        attempt: 0,
        blocks: hash_blocks(salt, prompt.as_bytes()).collect(),
        prompt_tokens: tokens,
        output_tokens: u32::try_from(output_tokens).ok()?,
        priority: i32::try_from(priority.unwrap_or(0)).ok()?,
    };
    let id = rand::random();
    Some((
        Generation::new(id, request_id, is_chat, tokens),
        engine_request,
    ))
}

/// Returns the cache salt, if any. The outer `None` means that it is malformed.
fn parse_salt(fields: &Map<String, Value>) -> Option<Option<CacheSalt>> {
    let Some(salt) = fields.get("cache_salt") else {
        return Some(None);
    };
    let bits = u64::from_str_radix(salt.as_str()?, 16).ok()?;
    serde_json::from_value(bits.into()).ok().map(Some)
}

async fn make_whole_response(
    reader: &GenerationReader,
    writer: ResponseWriter,
    mut progress: watch::Receiver<Progress>,
    request_id: &str,
) -> StandInResult {
    let wait_result = progress.wait_for(|progress| progress.ended).await;
    let final_progress = wait_result.map_err(|_| ConnectionDropped)?;
    if final_progress.cancelled {
        return Err(ConnectionDropped);
    }
    if reader.shared.lock().faults.break_after_events.is_some() {
        return Err(ConnectionDropped);
    }
    let mut response = json_response(StatusCode::OK, &writer.write_response(*final_progress));
    set_request_id(&mut response, request_id);
    Ok(response)
}

fn parse_query(req: &Request<Incoming>) -> HashMap<String, String> {
    let query = req.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

/// Resumes a stream after the event with the number `after`, or from its start
/// if `after` is missing.
fn handle_resume(shared: Arc<SharedEngine>, req: &Request<Incoming>) -> Response<HttpBody> {
    let query = parse_query(req);
    let request_id = query.get("request_id").cloned().unwrap_or_default();
    let next_index = match query.get("after") {
        None => Some(0),
        Some(after) => after.parse::<u32>().ok().map(|after| after + 1),
    };
    let Some(next_index) = next_index else {
        return malformed_response();
    };
    let generation_parts = {
        let mut state = shared.lock();
        state.counts.resumed += 1;
        let resumes_other_generation = state.faults.resumes_other_generation;
        let attempt = state.find_attempt(&request_id);
        attempt.and_then(|attempt| {
            let generation = state.generation(attempt)?;
            let mut writer = generation.response_writer();
            if resumes_other_generation {
                writer.id = writer.id.wrapping_add(1);
            }
            Some((attempt, writer, generation.watch_progress()))
        })
    };
    let Some((attempt, writer, progress)) = generation_parts else {
        return json_response(StatusCode::NOT_FOUND, &json!({"error": "unknown request"}));
    };
    let stream = TokenStream {
        reader: GenerationReader::new(shared, attempt),
        writer,
        progress,
        next_index,
        sent_events: 0,
    };
    stream.into_response(&request_id)
}

#[derive(Debug, Deserialize)]
struct CancelRequest {
    request_id: String,
}

async fn handle_cancel(shared: &SharedEngine, req: Request<Incoming>) -> StandInResult {
    let Some(cancel) = read_json::<CancelRequest>(req).await else {
        return Ok(malformed_response());
    };
    let cancelled = shared.cancel(&cancel.request_id);
    Ok(json_response(
        StatusCode::OK,
        &json!({"cancelled": cancelled}),
    ))
}

fn make_state_response(shared: &SharedEngine) -> Response<HttpBody> {
    let load = shared.read_load();
    let state = shared.lock();
    let response_body = json!({
        "incarnation": state.incarnation,
        "weights": state.weights,
        "role": state.role,
        "model": shared.settings.model,
        "load": load,
    });
    json_response(StatusCode::OK, &response_body)
}

fn handle_cache_events(shared: &SharedEngine, req: &Request<Incoming>) -> Response<HttpBody> {
    let query = parse_query(req);
    let after = query.get("after").and_then(|after| after.parse().ok());
    let now = shared.now();
    let state = shared.lock();
    let events = state.cache_events.read(after.unwrap_or(0), now);
    let response_body = json!({
        "incarnation": state.incarnation,
        "first": events.first,
        "next": events.next,
        "events": events.events,
    });
    json_response(StatusCode::OK, &response_body)
}
