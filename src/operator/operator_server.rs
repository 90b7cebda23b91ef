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

const METRICS_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

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
    pub fn start(address: SocketAddr, observed: Arc<dyn RoleStatus>) -> Result<Self, StartError> {
        let answer = move |req: &Request| answer_page(req, observed.as_ref());
        let server = Server::new(address, answer)
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
        let ended = self.thread.take().map(JoinHandle::join);
        if matches!(ended, Some(Err(_))) {
            log::error!("operator: The listener panicked.");
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

fn answer_page(req: &Request, observed: &dyn RoleStatus) -> Response {
    if req.method() != "GET" {
        return Response::text("only GET is served\n").with_status_code(405);
    }
    match req.url().as_str() {
        "/healthz" => Response::text("ok\n"),
        "/readyz" if observed.is_ready() => Response::text("ready\n"),
        "/readyz" => Response::text("draining\n").with_status_code(503),
        "/metrics" => Response::from_data(METRICS_TYPE, observed.write_metrics()),
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

    fn get(port: &OperatorServer, page: &str) -> (u16, String) {
        let url = format!("http://{}{page}", port.address());
        let request = ureq::get(&url).config().http_status_as_error(false).build();
        let mut answer = request.call().expect("an answer");
        let text = answer.body_mut().read_to_string().expect("text");
        (answer.status().as_u16(), text)
    }

    fn start() -> (OperatorServer, Arc<FakeRole>) {
        let role = Arc::new(FakeRole::default());
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let port = OperatorServer::start(any_port, Arc::clone(&role) as Arc<dyn RoleStatus>);
        (port.expect("a port"), role)
    }

    #[test]
    fn answer_page_known_pages() {
        let (port, _) = start();
        assert_eq!(get(&port, "/healthz"), (200, "ok\n".into()));
        assert_eq!(get(&port, "/metrics"), (200, "# EOF\n".into()));
        assert_eq!(get(&port, "/other").0, 404);
    }

    #[test]
    fn answer_page_not_ready_while_draining() {
        let (port, role) = start();
        assert_eq!(get(&port, "/readyz").0, 200);
        role.draining.store(true, Ordering::Release);
        assert_eq!(get(&port, "/readyz").0, 503);
        assert_eq!(get(&port, "/healthz").0, 200);
    }
}
