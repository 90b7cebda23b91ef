//! HTTP server of a process's operator pages.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::StatusCode;
use http::header::CONTENT_TYPE;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::RoleStatus;
use crate::http::HttpBody;
use crate::http::ReaderLimits;
use crate::http::full_body;
use crate::http::serve;
use crate::http::status_page_limits;
use crate::threads::StartError;
use crate::threads::build_runtime;
use crate::threads::open_listener;

/// Time without a byte taken after which a reader is disconnected.
const READER_TIMEOUT: Duration = Duration::from_secs(10);

/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// HTTP server for `/healthz`, `/readyz` and `/metrics`. Dropping it stops the
/// server and closes its listener.
pub struct OperatorServer {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    /// Starts the server on a thread of its own. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound, or the thread cannot be started.
    pub fn start(
        address: SocketAddr,
        role_status: Arc<dyn RoleStatus>,
    ) -> Result<Self, StartError> {
        let listener = open_listener(address)?;
        let address = listener.local_addr().map_err(StartError::Thread)?;
        let runtime = build_runtime()?;
        let (stop, stopped) = watch::channel(false);
        let thread = thread::Builder::new().name("operator".into());
        let thread = thread.spawn(move || {
            runtime.block_on(async {
                match TcpListener::from_std(listener) {
                    Ok(listener) => serve_pages(listener, role_status, stopped).await,
                    Err(e) => log::error!("operator: The listener is unusable: {e}."),
                }
            });
        });
        let thread = thread.map_err(StartError::Thread)?;
        log::info!("operator: Serving on {address}.");
        Ok(Self {
            address,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperatorServer {
    fn drop(&mut self) {
        self.stop.send_replace(true);
        let join_result = self.thread.take().map(JoinHandle::join);
        if matches!(join_result, Some(Err(_))) {
            log::error!("operator: The server thread panicked.");
        }
    }
}

impl fmt::Debug for OperatorServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorServer")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

async fn serve_pages(
    listener: TcpListener,
    role_status: Arc<dyn RoleStatus>,
    stopped: watch::Receiver<bool>,
) {
    let limits = status_page_limits(ReaderLimits::without_budget(READER_TIMEOUT));
    let handle = move |req: Request<Incoming>, _caller| {
        let response = respond(&req, role_status.as_ref());
        async move { response }
    };
    serve(listener, limits, handle, stopped).await;
}

fn respond(req: &Request<Incoming>, role_status: &dyn RoleStatus) -> Response<HttpBody> {
    if req.method() != Method::GET {
        return build_page(StatusCode::METHOD_NOT_ALLOWED, "only GET is served\n");
    }
    match req.uri().path() {
        "/healthz" => build_page(StatusCode::OK, "ok\n"),
        "/readyz" if role_status.is_ready() => build_page(StatusCode::OK, "ready\n"),
        "/readyz" => build_page(StatusCode::SERVICE_UNAVAILABLE, "draining\n"),
        "/metrics" => {
            let mut response = build_page(StatusCode::OK, role_status.write_metrics());
            let content_type = HeaderValue::from_static(METRICS_CONTENT_TYPE);
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        }
        _ => build_page(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn build_page(status: StatusCode, text: impl Into<Bytes>) -> Response<HttpBody> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; charset=utf-8");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

#[cfg(test)]
mod tests {
    use std::sync::atomic::AtomicBool;
    use std::sync::atomic::Ordering;

    use super::*;

    #[derive(Debug, Default)]
    struct FakeRole {
        draining: AtomicBool,
    }

    impl RoleStatus for FakeRole {
        fn is_ready(&self) -> bool {
            !self.draining.load(Ordering::Acquire)
        }

        fn write_metrics(&self) -> String {
            "# EOF\n".into()
        }
    }

    fn get(server: &OperatorServer, page: &str) -> (u16, String) {
        let url = format!("http://{}{page}", server.address());
        let request = ureq::get(&url).config().http_status_as_error(false).build();
        let mut response = request.call().expect("the operator port answers");
        let body = response
            .body_mut()
            .read_to_string()
            .expect("the body is UTF-8");
        (response.status().as_u16(), body)
    }

    fn start() -> (OperatorServer, Arc<FakeRole>) {
        let role = Arc::new(FakeRole::default());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = OperatorServer::start(any_port, Arc::clone(&role) as Arc<dyn RoleStatus>);
        (server.expect("the operator server starts"), role)
    }

    #[test]
    fn respond_known_and_unknown_pages() {
        let (server, _) = start();
        assert_eq!(get(&server, "/healthz"), (200, "ok\n".into()));
        assert_eq!(get(&server, "/metrics"), (200, "# EOF\n".into()));
        assert_eq!(get(&server, "/other").0, 404);
    }

    #[test]
    fn respond_readyz_fails_while_draining() {
        let (server, role) = start();
        assert_eq!(get(&server, "/readyz").0, 200);
        role.draining.store(true, Ordering::Release);
        assert_eq!(get(&server, "/readyz").0, 503);
        assert_eq!(get(&server, "/healthz").0, 200);
    }
}
