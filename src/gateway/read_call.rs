//! Authenticates the caller of a call, reads the body and admits the call.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use hyper::body::Incoming;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::call_progress::CallProgress;
use super::context::GatewayContext;
use crate::clock::Clock;
use crate::core::AccountName;
use crate::core::MonotonicTime;
use crate::core::fleet::AccountRule;
use crate::core::fleet::BuildFilter;
use crate::core::fleet::CallDigest;
use crate::core::fleet::CallHead;
use crate::core::fleet::CallRefusal;
use crate::core::fleet::DispatchRequest;
use crate::core::fleet::HoldPurpose;
use crate::core::fleet::Holder;
use crate::core::fleet::Prompt;
use crate::core::fleet::RouteRule;
use crate::core::fleet::RouteTable;
use crate::http::BodyReadError;
use crate::http::read_body_in_budget;
use crate::http::record_account;
use crate::http::record_whole_body;
use crate::http::strip_hop_by_hop_headers;

/// Call that was read completely and may run.
#[derive(Debug)]
pub struct Call {
    /// Id, prompt description and other metadata from the caller's headers.
    pub head: CallHead,
    /// Route that matches the call.
    pub route: Arc<RouteRule>,
    /// Version of the configuration under which the call was admitted.
    pub configuration_version: u64,
    /// Name of the service that the call is sent to, out of those among which the
    /// route splits its calls; empty if the route has none.
    pub service: String,
    /// Account that the call runs for; `None` for an anonymous caller.
    pub account: Option<AccountName>,
    /// Whether the account shares no cached prompt parts with others.
    pub is_isolated: bool,
    /// Priority at the engine; 0 is the most urgent.
    pub priority: u8,
    /// Tokens charged to the account; 1 if its rate counts calls or the call runs
    /// for no account, in which case nothing is charged.
    pub charged_tokens: u64,
    /// Method of the caller's request.
    pub method: Method,
    /// URI as the caller sent it.
    pub uri: Uri,
    /// The caller's headers, without those of its connection.
    pub headers: HeaderMap,
    /// Complete body. Its bytes are reserved until the last clone is dropped.
    pub body: Bytes,
    /// When the head of the request arrived.
    pub received_at: Instant,
    /// When its whole body had arrived.
    pub read_at: Instant,
    /// When the caller stops waiting or the route's timeout ends, whichever is
    /// first.
    pub deadline: Instant,
    /// The deadline on the clock that counts suspensions of the host.
    expires_at: MonotonicTime,
    clock: Clock,
    digest: OnceLock<CallDigest>,
    /// For whom the bytes of the call are held.
    pub holder: Holder,
}

impl Call {
    /// Returns the time left until the deadline; zero after it.
    pub fn time_left(&self) -> Duration {
        self.expires_at.since(self.clock.now())
    }

    /// Returns the digest by which repeats of the call are recognised. It is computed
    /// when it is first asked for, since most calls need none.
    pub fn digest(&self) -> CallDigest {
        *self.digest.get_or_init(|| {
            let target = self.uri.path_and_query().map_or("", PathAndQuery::as_str);
            let (host, method) = (&self.route.host, self.method.as_str());
            let prompt = self.head.prompt.as_ref();
            let parts = prompt.map_or(&[][..], Prompt::shared_parts);
            CallDigest::new(
                host,
                method,
                target,
                self.account.as_ref(),
                parts,
                &self.body,
            )
        })
    }

    /// Returns whether the call may run on another server after `runs` servers
    /// ran it or may have run it.
    pub fn may_run_again(&self, runs: u32) -> bool {
        self.route.kind.is_retryable() && runs < self.route.max_attempts
    }

    /// Returns the request to choose the call's next server, other than those that
    /// it was sent to.
    pub fn dispatch_request<'a>(&'a self, progress: &'a CallProgress) -> DispatchRequest<'a> {
        DispatchRequest {
            service: &self.service,
            prompt: self.head.prompt.as_ref(),
            account: self.account.as_ref(),
            was_isolated: self.is_isolated,
            tried: &progress.tried,
            build: progress.build.as_ref(),
            builds: BuildFilter::Any,
            body_bytes: Some(self.body.len() as u64),
            time_left: self.time_left(),
        }
    }

    /// Returns the id of the call for logs; `not-text` if it is not UTF-8.
    pub fn id_text(&self) -> &str {
        std::str::from_utf8(&self.head.id).unwrap_or("not-text")
    }
}

/// Finds the route of a call, authenticates its caller, reads the body and
/// admits the call.
///
/// # Errors
///
/// The call is refused; it has not run.
pub async fn read_call(
    cx: &GatewayContext,
    parts: Parts,
    head: CallHead,
    body: Incoming,
    received_at: Instant,
) -> Result<Call, CallRefusal> {
    // A peer's state may be older than the store's until both have been read.
    let table = cx.lock().route_table.clone();
    let table = table.filter(|_| !cx.start_inquiry.is_pending());
    let table = table.ok_or(CallRefusal::NoConfiguration)?;
    let route = find_route(&table, &parts)?;
    let account = table.authenticate(&route, head.key.as_ref())?;
    let limits = &table.configuration().limits;
    let timeout = head
        .caller_timeout
        .unwrap_or(route.timeout)
        .min(route.timeout);
    let expires_at = cx.now() + timeout.saturating_sub(received_at.elapsed());
    let holder = Holder {
        account: account.map(|account| account.name.clone()),
        connection: parts
            .extensions
            .get::<CallerAddress>()
            .map(|caller| caller.0),
        server: None,
    };
    record_account(&parts.extensions, holder.account.clone());
    let mut body_reservation = cx
        .byte_budget
        .reserve_for(holder.clone(), HoldPurpose::NewBody);
    let body =
        read_body_in_budget(body, limits.max_body_bytes, timeout, &mut body_reservation).await;
    let body = body.map_err(|e| {
        log_refused_body(cx, &head, &holder, e);
        refusal_for_body_error(e)
    })?;
    record_whole_body(&parts.extensions);
    let body = body_reservation.attach(body);
    let tokens = compute_charge(account, &head);
    if let Some(account) = account {
        admit_call(cx, &head, account, tokens)?;
    }
    let mut headers = parts.headers;
    strip_hop_by_hop_headers(&mut headers);
    let service_split_hash = xxh3_64(&head.id);
    let service = route
        .pick_service(service_split_hash)
        .unwrap_or_default()
        .to_owned();
    let account_priority = account.and_then(|account| account.priority);
    Ok(Call {
        configuration_version: table.configuration().version,
        service,
        account: account.map(|account| account.name.clone()),
        is_isolated: account.is_some_and(|account| account.is_isolated),
        priority: account_priority.unwrap_or(route.priority),
        charged_tokens: tokens,
        method: parts.method,
        uri: parts.uri,
        headers,
        body,
        received_at,
        read_at: Instant::now(),
        deadline: received_at + timeout,
        expires_at,
        clock: cx.clock(),
        digest: OnceLock::new(),
        holder,
        head,
        route,
    })
}

/// Address of the caller of a request, as an extension of its head.
#[derive(Debug, Clone, Copy)]
pub struct CallerAddress(pub SocketAddr);

/// Logs a body that was not read because the memory has no room for it.
fn log_refused_body(cx: &GatewayContext, head: &CallHead, holder: &Holder, e: BodyReadError) {
    if e != BodyReadError::BudgetExhausted {
        return;
    }
    log::info!(
        "memory: refused body id={} account={} held_bytes={}",
        std::str::from_utf8(&head.id).unwrap_or("not-text"),
        holder.account.as_ref().map_or("-", |name| name.as_str()),
        cx.byte_budget.held(),
    );
}

fn admit_call(
    cx: &GatewayContext,
    head: &CallHead,
    account: &AccountRule,
    tokens: u64,
) -> Result<(), CallRefusal> {
    let now = cx.now();
    let mut state = cx.lock();
    let Err(retry_after) = state.quota.admit(&account.name, tokens, now) else {
        return Ok(());
    };
    let quota_fields = state.quota.describe_account(&account.name, now);
    log::info!(
        "quota: refused id={} account={} tokens={tokens} back_ms={} {quota_fields}",
        std::str::from_utf8(&head.id).unwrap_or("not-text"),
        account.name,
        retry_after.as_millis(),
    );
    Err(CallRefusal::OverRate(retry_after))
}

fn find_route(table: &RouteTable, parts: &Parts) -> Result<Arc<RouteRule>, CallRefusal> {
    let host = parts.uri.host().or_else(|| {
        let host = parts.headers.get(HOST)?;
        host.to_str().ok()
    });
    let host = host.ok_or(CallRefusal::BadRequest("a host is needed"))?;
    let route = table.find_route(host, parts.uri.path());
    route.map(Arc::clone).ok_or(CallRefusal::NoRoute)
}

fn compute_charge(account: Option<&AccountRule>, head: &CallHead) -> u64 {
    match (account, &head.prompt) {
        (Some(account), Some(prompt)) if account.counts_tokens => prompt.charged_tokens(),
        (Some(account), None) if account.counts_tokens => account.tokens_per_plain_call,
        _ => 1,
    }
}

fn refusal_for_body_error(e: BodyReadError) -> CallRefusal {
    match e {
        BodyReadError::TooLarge => CallRefusal::TooLarge,
        BodyReadError::TimedOut | BodyReadError::Broken => CallRefusal::BodyNotReceived,
        BodyReadError::BudgetExhausted => CallRefusal::Overloaded(Duration::from_millis(500)),
    }
}
