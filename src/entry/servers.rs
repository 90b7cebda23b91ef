//! Backend servers as this entry knows them.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::core::Report;
use crate::core::ServerName;
use crate::settings::ServerSettings;

/// Backend servers as this entry knows them.
#[derive(Debug)]
pub struct Servers {
    known: Mutex<Vec<KnownServer>>,
}

/// A server chosen for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Name of the server.
    pub name: ServerName,
    /// Traffic address of its agent.
    pub address: SocketAddr,
    /// Latest report of its agent, if one came.
    pub report: Option<Report>,
}

#[derive(Debug)]
struct KnownServer {
    name: ServerName,
    pool: String,
    address: SocketAddr,
    in_flight: u32,
    report: Option<Report>,
}

impl Servers {
    /// Creates the table from servers named in settings.
    pub fn new(settings: &[ServerSettings]) -> Self {
        let known = settings
            .iter()
            .map(|server| KnownServer {
                name: server.name.clone(),
                pool: server.pool.clone(),
                address: server.address,
                in_flight: 0,
                report: None,
            })
            .collect();
        Self {
            known: Mutex::new(known),
        }
    }

    /// Chooses the server of a pool with the least requests of this entry,
    /// leaving out those in `tried`, and counts the request there.
    pub fn choose(&self, pool: &str, tried: &[ServerName]) -> Option<Choice> {
        let mut known = self.lock_known();
        let server = known
            .iter_mut()
            .filter(|server| server.pool == pool && !tried.contains(&server.name))
            .filter(|server| !server.is_leaving())
            .min_by_key(|server| server.in_flight)?;
        server.in_flight += 1;
        Some(Choice {
            name: server.name.clone(),
            address: server.address,
            report: server.report.clone(),
        })
    }

    /// Ends the count of a request that [`Self::choose`] began.
    pub fn release(&self, name: &ServerName) {
        let mut known = self.lock_known();
        let server = known.iter_mut().find(|server| server.name == *name);
        if let Some(server) = server {
            server.in_flight = server.in_flight.saturating_sub(1);
        }
    }

    /// Takes note of a server's report.
    pub fn observe(&self, name: &ServerName, report: Report) {
        let mut known = self.lock_known();
        let server = known.iter_mut().find(|server| server.name == *name);
        if let Some(server) = server {
            server.report = Some(report);
        }
    }

    fn lock_known(&self) -> MutexGuard<'_, Vec<KnownServer>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl KnownServer {
    fn is_leaving(&self) -> bool {
        self.report.as_ref().is_some_and(|report| report.leaving)
    }
}
