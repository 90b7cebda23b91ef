//! HTTP server of a process's operator pages.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::thread::JoinHandle;

use rouille::Request;
use rouille::Response;
use rouille::Server;

use super::RoleStatus;
use crate::threads::StartError;

/// Content type of the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// HTTP server for `/healthz`, `/readyz` and `/metrics`. Dropping it stops the
/// server and closes its listener.
pub struct OperatorServer {
    address: SocketAddr,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl OperatorServer {
    /// Starts the server on threads of its own. Port 0 selects a free port.
    ///
    /// # Errors
    ///
    /// The address cannot be bound.
    pub fn start(
        address: SocketAddr,
        role_status: Arc<dyn RoleStatus>,
    ) -> Result<Self, StartError> {
        let handler = move |req: &Request| respond(req, role_status.as_ref());
        let server = Server::new(address, handler)
            .map_err(|e| StartError::Listen(address, std::io::Error::other(e.to_string())))?;
        let address = server.server_addr();
        let (thread, stop) = server.stoppable();
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
        // Sending fails only if the server thread has already ended.
        let _ = self.stop.send(());
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

fn respond(req: &Request, role_status: &dyn RoleStatus) -> Response {
    if req.method() != "GET" {
        return Response::text("only GET is served\n").with_status_code(405);
    }
    match req.url().as_str() {
        "/healthz" => Response::text("ok\n"),
        "/readyz" if role_status.is_ready() => Response::text("ready\n"),
        "/readyz" => Response::text("draining\n").with_status_code(503),
        "/metrics" => Response::from_data(METRICS_CONTENT_TYPE, role_status.write_metrics()),
        _ => Response::text("no such page\n").with_status_code(404),
    }
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
