//! The HTTP calls of a model engine.

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
use super::generation::AnswerScript;
use super::generation::Generation;
use super::generation::Progress;
use super::kv_moves::answer_export;
use super::kv_moves::answer_import;
use super::orders::answer_order;
use super::reader::Reader;
use super::shared::Shared;
use super::token_stream::REQUEST_ID_HEADER;
use super::token_stream::TokenStream;
use super::token_stream::name_request;
use crate::stand_in::ConnectionDropped;
use crate::stand_in::StandInResult;
use crate::stand_in::json_response;
use crate::stand_in::read_json;

const DEFAULT_MAX_TOKENS: u64 = 16;

/// Serves one call.
pub async fn answer(shared: Arc<Shared>, req: Request<Incoming>) -> StandInResult {
    let path = req.uri().path().to_owned();
    match path.as_str() {
        "/v1/completions" => answer_generation(shared, req, false).await,
        "/v1/chat/completions" => answer_generation(shared, req, true).await,
        "/resume" => Ok(answer_resume(shared, &req)),
        "/cancel" => answer_cancel(&shared, req).await,
        "/state" => Ok(answer_state(&shared)),
        "/cache_events" => Ok(answer_cache_events(&shared, &req)),
        "/kv/export" => answer_export(&shared, req).await,
        "/kv/import" => answer_import(&shared, req).await,
        "/orders" => answer_order(shared, req).await,
        _ => Ok(json_response(StatusCode::NOT_FOUND, &json!({}))),
    }
}

/// Answers to a call that cannot be read.
pub fn answer_malformed() -> Response<HttpBody> {
    json_response(StatusCode::BAD_REQUEST, &json!({"error": "malformed"}))
}

async fn answer_generation(
    shared: Arc<Shared>,
    req: Request<Incoming>,
    is_chat: bool,
) -> StandInResult {
    let request_id = read_request_id(req.headers());
    let Some(fields) = read_json::<Map<String, Value>>(req).await else {
        return Ok(answer_malformed());
    };
    let Some((generation, work)) = read_work(&fields, request_id.clone(), is_chat) else {
        return Ok(answer_malformed());
    };
    let script = generation.script();
    let progress = generation.watch();
    let attempt = shared.submit(generation, work);
    let reader = Reader::new(Arc::clone(&shared), attempt);
    let faults = shared.lock().faults.clone();
    sleep(faults.response_delay).await;
    let named = if faults.wrong_request_id {
        String::from("of-another")
    } else {
        request_id
    };
    if fields.get("stream").is_some_and(|stream| *stream == true) {
        let stream = TokenStream {
            reader,
            script,
            progress,
            next: 0,
            sent: 0,
        };
        return Ok(stream.into_response(&named));
    }
    answer_whole(&reader, script, progress, &named).await
}

fn read_request_id(headers: &HeaderMap) -> String {
    headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .map_or_else(|| format!("{:x}", rand::random::<u64>()), String::from)
}

fn read_work(
    fields: &Map<String, Value>,
    request_id: String,
    is_chat: bool,
) -> Option<(Generation, EngineRequest)> {
    let prompt = read_prompt_text(fields)?;
    let salt = read_salt(fields)?;
    let tokens = prompt.len().div_ceil(BYTES_PER_TOKEN).max(1);
    let tokens = u32::try_from(tokens).ok()?;
    let output_tokens = fields.get("max_tokens").and_then(Value::as_u64);
    let output_tokens = output_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1);
    let priority = fields.get("priority").and_then(Value::as_i64);
    let work = EngineRequest {
        attempt: 0,
        blocks: hash_blocks(salt, prompt.as_bytes()).collect(),
        prompt_tokens: tokens,
        output_tokens: u32::try_from(output_tokens).ok()?,
        priority: i32::try_from(priority.unwrap_or(0)).ok()?,
    };
    let id = rand::random();
    Some((Generation::new(id, request_id, is_chat, tokens), work))
}

/// Returns none where the salt is malformed.
fn read_salt(fields: &Map<String, Value>) -> Option<Option<CacheSalt>> {
    let Some(salt) = fields.get("cache_salt") else {
        return Some(None);
    };
    let bits = u64::from_str_radix(salt.as_str()?, 16).ok()?;
    serde_json::from_value(bits.into()).ok().map(Some)
}

async fn answer_whole(
    reader: &Reader,
    script: AnswerScript,
    mut progress: watch::Receiver<Progress>,
    request_id: &str,
) -> StandInResult {
    let waited = progress.wait_for(|progress| progress.ended).await;
    let ended = waited.map_err(|_| ConnectionDropped)?;
    if ended.cancelled {
        return Err(ConnectionDropped);
    }
    if reader.shared.lock().faults.break_after_events.is_some() {
        return Err(ConnectionDropped);
    }
    let mut response = json_response(StatusCode::OK, &script.write_whole(*ended));
    name_request(&mut response, request_id);
    Ok(response)
}

fn read_query(req: &Request<Incoming>) -> HashMap<String, String> {
    let query = req.uri().query().unwrap_or_default();
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .map(|(name, value)| (name.into(), value.into()))
        .collect()
}

/// Goes on with a stream from event number `after` + 1.
fn answer_resume(shared: Arc<Shared>, req: &Request<Incoming>) -> Response<HttpBody> {
    let query = read_query(req);
    let request_id = query.get("request_id").cloned().unwrap_or_default();
    let next = match query.get("after") {
        None => Some(0),
        Some(after) => after.parse::<u32>().ok().map(|after| after + 1),
    };
    let Some(next) = next else {
        return answer_malformed();
    };
    let found = {
        let mut inner = shared.lock();
        inner.counts.resumed += 1;
        let resumes_other_generation = inner.faults.resumes_other_generation;
        let attempt = inner.find_attempt(&request_id);
        attempt.and_then(|attempt| {
            let generation = inner.generation(attempt)?;
            let mut script = generation.script();
            if resumes_other_generation {
                script.id = script.id.wrapping_add(1);
            }
            Some((attempt, script, generation.watch()))
        })
    };
    let Some((attempt, script, progress)) = found else {
        return json_response(StatusCode::NOT_FOUND, &json!({"error": "unknown request"}));
    };
    let stream = TokenStream {
        reader: Reader::new(shared, attempt),
        script,
        progress,
        next,
        sent: 0,
    };
    stream.into_response(&request_id)
}

#[derive(Debug, Deserialize)]
struct CancelRequest {
    request_id: String,
}

async fn answer_cancel(shared: &Shared, req: Request<Incoming>) -> StandInResult {
    let Some(cancel) = read_json::<CancelRequest>(req).await else {
        return Ok(answer_malformed());
    };
    let cancelled = shared.cancel(&cancel.request_id);
    Ok(json_response(
        StatusCode::OK,
        &json!({"cancelled": cancelled}),
    ))
}

fn answer_state(shared: &Shared) -> Response<HttpBody> {
    let load = shared.read_load();
    let inner = shared.lock();
    let state = json!({
        "incarnation": inner.incarnation,
        "weights": inner.weights,
        "role": inner.role,
        "model": shared.settings.model,
        "load": load,
    });
    json_response(StatusCode::OK, &state)
}

fn answer_cache_events(shared: &Shared, req: &Request<Incoming>) -> Response<HttpBody> {
    let query = read_query(req);
    let after = query.get("after").and_then(|after| after.parse().ok());
    let now = shared.now();
    let inner = shared.lock();
    let events = inner.events.read(after.unwrap_or(0), now);
    let answer = json!({
        "incarnation": inner.incarnation,
        "first": events.first,
        "next": events.next,
        "events": events.events,
    });
    json_response(StatusCode::OK, &answer)
}
