//! Finds out which entries still run and what the old servers still do.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use tokio::time::timeout;

use super::Follower;
use crate::core::ServerName;
use crate::core::fleet::RolloutOrder;
use crate::core::fleet::ServiceServers;
use crate::gateway::context::GatewayContext;
use crate::gateway::probe_port::is_refused;

/// Time to connect to an entry that does not report, and for an old server's load.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Old servers that are asked for their load at once.
const MAX_LOAD_READS: usize = 64;

impl Follower {
    /// Returns the names of the entries that are known, without those whose process has
    /// ended: their host refuses connections.
    pub(super) async fn list_running_entries(&self) -> Vec<String> {
        let now = self.cx.now();
        let mut known = self.cx.known_entries.list(now);
        let silent: HashSet<String> = {
            let leaders = self.cx.rollouts.lock();
            let led = leaders.get(&self.service);
            let is_silent = |name: &String| led.is_some_and(|led| !led.leader.is_heard(name, now));
            known
                .iter()
                .map(|entry| entry.name.clone())
                .filter(is_silent)
                .collect()
        };
        let checks = known
            .iter()
            .filter(|entry| silent.contains(&entry.name))
            .map(|entry| is_refused(entry.address, CHECK_TIMEOUT));
        let mut are_refused = join_all(checks).await.into_iter();
        known.retain(|entry| !silent.contains(&entry.name) || !are_refused.next().unwrap_or(false));
        let names = known.into_iter().map(|entry| entry.name);
        names.chain([self.cx.settings.name.clone()]).collect()
    }

    /// Asks the old servers that have not stated to run nothing for their load. Returns
    /// the number of calls that they run; `None` if one of them does not tell.
    pub(super) async fn read_old_load(&mut self, order: &RolloutOrder) -> Option<u32> {
        let (servers, health_path) = {
            let state = self.cx.lock();
            let views = state.dispatcher.list_service_backends(&self.service);
            let servers: Vec<(ServerName, SocketAddr)> = views
                .filter(|view| view.member.build != order.target)
                .filter(|view| !self.idle_servers.contains(&view.member.name))
                .map(|view| (view.member.name.clone(), view.member.address))
                .collect();
            let services = state.route_table.as_ref();
            let mut services = services
                .into_iter()
                .flat_map(|table| &table.configuration().services);
            let service = services.find(|service| service.name == self.service);
            let path = service.map(|service| service.health_path.clone());
            (servers, path.unwrap_or_default())
        };
        let count = servers.len();
        let reads = servers
            .iter()
            .take(MAX_LOAD_READS)
            .map(|(_, address)| read_running(&self.cx, *address, &health_path));
        let loads = join_all(reads).await;
        let mut running = (count <= MAX_LOAD_READS).then_some(0);
        for ((name, _), load) in servers.iter().zip(loads) {
            if load == Some(0) {
                self.idle_servers.insert(name.clone());
            }
            running = running.zip(load).map(|(sum, load): (u32, u32)| sum + load);
        }
        running
    }

    pub(super) fn count_servers(
        &self,
        order: &RolloutOrder,
        old_running: Option<u32>,
    ) -> ServiceServers {
        let now = self.cx.now();
        let state = self.cx.lock();
        let given_up = state
            .rollouts
            .find(&self.service)
            .map_or(&[][..], |rollout| rollout.given_up());
        let mut servers = ServiceServers {
            old_running,
            ..ServiceServers::default()
        };
        for view in state.dispatcher.list_service_backends(&self.service) {
            let build = &view.member.build;
            if *build == order.target {
                servers.new_accepting += u32::from(view.accepts_calls(now));
            } else if !given_up.contains(build) {
                servers.old_listed += 1;
            }
        }
        servers
    }
}

/// Returns the calls that a server states to run; none if its process has ended, or if
/// it states no load: the entries' own counts decide then.
async fn read_running(cx: &GatewayContext, address: SocketAddr, health_path: &str) -> Option<u32> {
    if is_refused(address, CHECK_TIMEOUT).await {
        return Some(0);
    }
    let read = cx.ports.engine.read_load(address, health_path);
    match timeout(CHECK_TIMEOUT, read).await {
        Ok(Ok(load)) => Some(load.map_or(0, |load| load.running + load.waiting)),
        Ok(Err(_)) | Err(_) => None,
    }
}
