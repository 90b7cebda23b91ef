//! Callers that send a deployment its traffic and read the streams.

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
use super::fleet::key_of;
use super::measures::Sample;
use super::measures::Served;
use super::prompts::DrawnRequest;
use super::prompts::Prompts;

const PATIENCE: Duration = Duration::from_secs(30);
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
const MAX_ERROR_BYTES: usize = 65_536;

/// Sends a deployment its traffic for a while, through its entries in turn,
/// and measures what comes back. Progress goes to standard error.
///
/// # Panics
///
/// A caller panicked.
pub fn send_traffic(
    customer: &DeploymentSpec,
    entries: &[SocketAddr],
    length: Duration,
    seed: u64,
) -> Measures {
    let runtime = build_runtime().expect("a runtime");
    let client = Client::new(ClientTimeouts {
        connect: PATIENCE,
        head: PATIENCE,
        read: PATIENCE,
        idle: PATIENCE,
    });
    let callers = Callers {
        customer,
        entries,
        client,
        seen: HashSet::new(),
        measures: Measures::new(customer),
    };
    runtime.block_on(callers.run(length, seed))
}

struct Callers<'a> {
    customer: &'a DeploymentSpec,
    entries: &'a [SocketAddr],
    client: Client,
    seen: HashSet<BlockHash>,
    measures: Measures,
}

struct Outcome {
    account: usize,
    sample: Sample,
}

impl Callers<'_> {
    async fn run(mut self, length: Duration, seed: u64) -> Measures {
        let began = Instant::now();
        let mut prompts = Prompts::new(self.customer.clone(), seed);
        let mut running = JoinSet::new();
        let mut due = began;
        let mut report = began + PROGRESS_INTERVAL;
        let mut sent = 0;
        while due < began + length {
            tokio::select! {
                () = sleep_until(due) => {
                    let entry = self.entries[sent % self.entries.len()];
                    running.spawn(self.prepare(entry, prompts.draw_request()));
                    sent += 1;
                    due += Duration::from_secs_f64(prompts.draw_gap());
                }
                Some(outcome) = running.join_next() => self.note(outcome.expect("no panic")),
                () = sleep_until(report) => {
                    report += PROGRESS_INTERVAL;
                    self.print_progress(sent);
                }
            }
        }
        while let Some(outcome) = running.join_next().await {
            self.note(outcome.expect("no panic"));
        }
        self.print_progress(sent);
        self.measures
    }

    fn prepare(
        &mut self,
        entry: SocketAddr,
        drawn: DrawnRequest,
    ) -> impl Future<Output = Outcome> + 'static {
        let new_tokens = self.count_new(&drawn);
        let body = json!({
            "prompt": drawn.prompt,
            "max_tokens": self.customer.answer_tokens,
            "stream": true,
        });
        let key = key_of(self.customer, drawn.account);
        let req = Request::post("/v1/completions")
            .header("host", entry.to_string())
            .header("authorization", format!("Bearer {key}"))
            .header("content-type", "application/json")
            .body(full_body(body.to_string()))
            .expect("valid request");
        let client = self.client.clone();
        async move {
            let sample = call(client, entry, req, new_tokens).await;
            Outcome {
                account: drawn.account,
                sample: sample.unwrap_or_else(Sample::Failed),
            }
        }
    }

    /// Counts the tokens of a prompt that no earlier one of its account had.
    fn count_new(&mut self, drawn: &DrawnRequest) -> u64 {
        let account = self.customer.accounts[drawn.account].name;
        let salt = CacheSalt::of_account(&account.into());
        let prompt = drawn.prompt.as_bytes();
        let seen = &mut self.seen;
        let blocks = hash_blocks(Some(salt), prompt)
            .filter(|block| seen.insert(*block))
            .count();
        let rest = (prompt.len() % BLOCK_BYTES).div_ceil(BYTES_PER_TOKEN);
        (blocks * BLOCK_TOKENS + rest) as u64
    }

    fn note(&mut self, outcome: Outcome) {
        if let Sample::Failed(reason) = &outcome.sample {
            eprintln!("{}: A request failed: {reason}", self.customer.name);
        }
        self.measures.note(outcome.account, &outcome.sample);
    }

    fn print_progress(&self, sent: usize) {
        let done = self.measures.served() + self.measures.failed() + self.measures.refused();
        eprintln!(
            "{}: {sent} requests sent, {done} done, hit rate {:.0}%",
            self.customer.name,
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
    let began = Instant::now();
    let exchange = client.send(entry, req).await;
    let exchange = exchange.map_err(|e| e.to_string())?;
    if exchange.status() != StatusCode::OK {
        return read_refusal(exchange).await;
    }
    let mut events = EventStream::new(exchange);
    let mut first_token = None;
    let mut usage = Value::Null;
    let mut saw_end = false;
    while let Some(event) = events.next().await.map_err(|e| e.to_string())? {
        first_token.get_or_insert_with(|| began.elapsed());
        if event.data == "[DONE]" {
            saw_end = true;
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
    if !saw_end {
        return Err("stream without its end".into());
    }
    let read = |value: &Value| value.as_u64().unwrap_or_default();
    Ok(Sample::Served(Served {
        first_token: first_token.unwrap_or_default(),
        prompt_tokens: read(&usage["prompt_tokens"]),
        cached_tokens: read(&usage["prompt_tokens_details"]["cached_tokens"]),
        new_tokens,
        answer_tokens: read(&usage["completion_tokens"]),
    }))
}

async fn read_refusal(mut exchange: Exchange) -> Result<Sample, String> {
    let status = exchange.status();
    let body = exchange.read_rest(MAX_ERROR_BYTES).await;
    let body = body.map_err(|e| e.to_string())?;
    let answer: Value = serde_json::from_slice(&body).unwrap_or_default();
    let code = answer["error"]["code"].as_str().unwrap_or_default();
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Ok(Sample::Refused(code.into()));
    }
    Err(format!("{status} {code}"))
}
