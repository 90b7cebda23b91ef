//! Sends streamed requests to a deployment and measures the responses.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use http::StatusCode;
use serde_json::Value;
use serde_json::json;
use teaseldrum::core::CacheSalt;
use teaseldrum::core::placement::BLOCK_BYTES;
use teaseldrum::core::placement::BLOCK_TOKENS;
use teaseldrum::core::placement::BYTES_PER_TOKEN;
use teaseldrum::core::placement::BlockHash;
use teaseldrum::core::placement::hash_blocks;
use teaseldrum::http::Client;
use teaseldrum::http::ClientTimeouts;
use teaseldrum::http::EventStream;
use teaseldrum::http::Exchange;
use teaseldrum::http::full_body;
use teaseldrum::threads::build_runtime;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep_until;

use super::DeploymentSpec;
use super::Measures;
use super::fleet::api_key_of;
use super::measures::Sample;
use super::measures::Served;
use super::prompts::PromptGenerator;
use super::prompts::PromptRequest;

/// Every timeout of the client.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(30);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// Longest body of an error response that is read.
const MAX_ERROR_BYTES: usize = 65_536;

/// Sends requests to a deployment for `duration`, through its entries in turn, and
/// measures the responses. Progress goes to standard error.
///
/// # Panics
///
/// Panics if a caller panics or the runtime cannot be built.
pub fn send_traffic(
    deployment: &DeploymentSpec,
    entries: &[SocketAddr],
    duration: Duration,
    seed: u64,
) -> Measures {
    let runtime = build_runtime().expect("runtime can be built");
    let client = Client::new(ClientTimeouts {
        connect: CLIENT_TIMEOUT,
        head: CLIENT_TIMEOUT,
        read: CLIENT_TIMEOUT,
        idle: CLIENT_TIMEOUT,
    });
    let callers = Callers {
        deployment,
        entries,
        client,
        seen_blocks: HashSet::new(),
        measures: Measures::new(deployment),
    };
    runtime.block_on(callers.run(duration, seed))
}

struct Callers<'a> {
    deployment: &'a DeploymentSpec,
    entries: &'a [SocketAddr],
    client: Client,
    seen_blocks: HashSet<BlockHash>,
    measures: Measures,
}

struct CallOutcome {
    account: usize,
    sample: Sample,
}

impl Callers<'_> {
    async fn run(mut self, duration: Duration, seed: u64) -> Measures {
        let started_at = Instant::now();
        let mut prompts = PromptGenerator::new(self.deployment.clone(), seed);
        let mut running = JoinSet::new();
        let mut next_send_at = started_at;
        let mut next_report_at = started_at + PROGRESS_INTERVAL;
        let mut sent = 0;
        while next_send_at < started_at + duration {
            tokio::select! {
                () = sleep_until(next_send_at) => {
                    let entry = self.entries[sent % self.entries.len()];
                    running.spawn(self.prepare_call(entry, prompts.draw_request()));
                    sent += 1;
                    next_send_at += Duration::from_secs_f64(prompts.draw_gap_seconds());
                }
                Some(outcome) = running.join_next() => self.record(outcome.expect("caller ran")),
                () = sleep_until(next_report_at) => {
                    next_report_at += PROGRESS_INTERVAL;
                    self.print_progress(sent);
                }
            }
        }
        while let Some(outcome) = running.join_next().await {
            self.record(outcome.expect("caller ran"));
        }
        self.print_progress(sent);
        self.measures
    }

    /// Builds a request, and returns the future that sends it and reads the
    /// response.
    fn prepare_call(
        &mut self,
        entry: SocketAddr,
        request: PromptRequest,
    ) -> impl Future<Output = CallOutcome> + 'static {
        let new_tokens = self.count_new_tokens(&request);
        let body = json!({
            "prompt": request.prompt,
            "max_tokens": self.deployment.output_tokens,
            "stream": true,
        });
        let key = api_key_of(self.deployment, request.account);
        let req = Request::post("/v1/completions")
            .header("host", entry.to_string())
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .body(full_body(body.to_string()))
            .expect("valid request");
        let client = self.client.clone();
        async move {
            let sample = call(client, entry, req, new_tokens).await;
            CallOutcome {
                account: request.account,
                sample: sample.unwrap_or_else(Sample::Failed),
            }
        }
    }

    /// Counts the tokens of a prompt that no earlier prompt of its account had.
    fn count_new_tokens(&mut self, request: &PromptRequest) -> u64 {
        let account = self.deployment.accounts[request.account].name;
        let salt = CacheSalt::of_account(&account.into());
        let prompt = request.prompt.as_bytes();
        let seen_blocks = &mut self.seen_blocks;
        let blocks = hash_blocks(Some(salt), prompt)
            .filter(|block| seen_blocks.insert(*block))
            .count();
        let rest = (prompt.len() % BLOCK_BYTES).div_ceil(BYTES_PER_TOKEN);
        (blocks * BLOCK_TOKENS + rest) as u64
    }

    fn record(&mut self, outcome: CallOutcome) {
        if let Sample::Failed(reason) = &outcome.sample {
            eprintln!("{}: A request failed: {reason}", self.deployment.name);
        }
        self.measures.record(outcome.account, &outcome.sample);
    }

    fn print_progress(&self, sent: usize) {
        let done = self.measures.served() + self.measures.failed() + self.measures.refused();
        eprintln!(
            "{}: {sent} requests sent, {done} done, hit rate {:.0}%",
            self.deployment.name,
            100.0 * self.measures.hit_rate()
        );
    }
}

async fn call(
    client: Client,
    entry: SocketAddr,
    req: Request<teaseldrum::http::HttpBody>,
    new_tokens: u64,
) -> Result<Sample, String> {
    let started_at = Instant::now();
    let exchange = client.send(entry, req).await;
    let exchange = exchange.map_err(|e| e.to_string())?;
    if exchange.status() != StatusCode::OK {
        return read_error_response(exchange).await;
    }
    let mut events = EventStream::new(exchange);
    let mut first_token = None;
    let mut usage = Value::Null;
    let mut has_end = false;
    while let Some(event) = events.next().await.map_err(|e| e.to_string())? {
        first_token.get_or_insert_with(|| started_at.elapsed());
        if event.data == "[DONE]" {
            has_end = true;
            continue;
        }
        let data: Value = serde_json::from_str(&event.data).map_err(|e| e.to_string())?;
        if let Some(error) = data.get("error") {
            return Err(error.to_string());
        }
        if data["usage"].is_object() {
            usage = data["usage"].clone();
        }
    }
    if !has_end {
        return Err("stream ended without [DONE]".into());
    }
    let read = |value: &Value| value.as_u64().unwrap_or_default();
    Ok(Sample::Served(Served {
        ttft: first_token.unwrap_or_default(),
        prompt_tokens: read(&usage["prompt_tokens"]),
        cached_tokens: read(&usage["prompt_tokens_details"]["cached_tokens"]),
        new_tokens,
        output_tokens: read(&usage["completion_tokens"]),
    }))
}

async fn read_error_response(mut exchange: Exchange) -> Result<Sample, String> {
    let status = exchange.status();
    let body = exchange.read_rest(MAX_ERROR_BYTES).await;
    let body = body.map_err(|e| e.to_string())?;
    let error_body: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = error_body["error"]["code"].as_str().unwrap_or_default();
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Ok(Sample::Refused(code.into()));
    }
    Err(format!("{status} {code}"))
}
