//! Lookup of routes and keys of one configuration.

use std::collections::HashMap;
use std::sync::Arc;

use super::AccountRule;
use super::CallRefusal;
use super::Configuration;
use super::RouteRule;
use crate::core::KeyDigest;

/// Lookup of routes and keys of one configuration.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    routes: Vec<Arc<RouteRule>>,
    hosts: HashMap<String, Vec<usize>>,
    keys: HashMap<KeyDigest, usize>,
}

impl RouteTable {
    /// Indexes a configuration.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut hosts: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(index);
        }
        for indexes in hosts.values_mut() {
            indexes.sort_by_key(|&index| usize::MAX - configuration.routes[index].prefix.len());
        }
        let routes = configuration.routes.iter().cloned().map(Arc::new).collect();
        let keys = configuration
            .accounts
            .iter()
            .enumerate()
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (*key, index)))
            .collect();
        Self {
            configuration,
            routes,
            hosts,
            keys,
        }
    }

    /// Returns the configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Finds the route with the longest prefix of `path` at `host`; a port in
    /// `host` is left out of account.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or(host);
        let indexes = self.hosts.get(&host.to_ascii_lowercase())?;
        indexes
            .iter()
            .map(|&index| &self.routes[index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Finds the account that a call runs for; none for a call without a
    /// known key on an open route.
    ///
    /// # Errors
    ///
    /// The route asks for a key, and there is none or no account has it.
    pub fn authenticate(
        &self,
        route: &RouteRule,
        key: Option<&KeyDigest>,
    ) -> Result<Option<&AccountRule>, CallRefusal> {
        let account = key
            .and_then(|key| self.keys.get(key))
            .map(|&index| &self.configuration.accounts[index]);
        let needs_key = !route.allows_anonymous && !self.configuration.accounts.is_empty();
        if needs_key && account.is_none() {
            return Err(CallRefusal::UnknownKey);
        }
        Ok(account)
    }
}
