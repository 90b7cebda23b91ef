//! Indexes a configuration for lookups of routes by host name and path and of
//! accounts by API key.

use std::collections::HashMap;
use std::sync::Arc;

use super::AccountRule;
use super::Configuration;
use super::RouteRule;
use crate::core::KeyDigest;
use crate::core::fleet::CallRefusal;

/// Lookup tables of one configuration.
#[derive(Debug)]
pub struct RouteTable {
    configuration: Arc<Configuration>,
    routes: Vec<Arc<RouteRule>>,
    routes_by_host: HashMap<String, Vec<usize>>,
    accounts_by_key: HashMap<KeyDigest, usize>,
}

impl RouteTable {
    /// Builds the tables, with the longest path prefixes first.
    pub fn new(configuration: Arc<Configuration>) -> Self {
        let mut routes_by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (index, route) in configuration.routes.iter().enumerate() {
            let host = route.host.to_ascii_lowercase();
            routes_by_host.entry(host).or_default().push(index);
        }
        for indexes in routes_by_host.values_mut() {
            indexes.sort_by_key(|&index| usize::MAX - configuration.routes[index].prefix.len());
        }
        let routes = configuration.routes.iter().cloned().map(Arc::new).collect();
        let accounts_by_key = configuration
            .accounts
            .iter()
            .enumerate()
            .flat_map(|(index, account)| account.keys.iter().map(move |key| (*key, index)))
            .collect();
        Self {
            configuration,
            routes,
            routes_by_host,
            accounts_by_key,
        }
    }

    /// Returns the indexed configuration.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// Returns the route with the longest prefix of `path` at `host`. A port in
    /// `host` is ignored.
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = host.split(':').next().unwrap_or(host);
        let indexes = self.routes_by_host.get(&host.to_ascii_lowercase())?;
        indexes
            .iter()
            .map(|&index| &self.routes[index])
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the account of an API key. Without a known key, returns `None`
    /// if the route allows anonymous callers or no accounts are configured.
    ///
    /// # Errors
    ///
    /// The route requires a key, and the key is missing or unknown.
    pub fn authenticate(
        &self,
        route: &RouteRule,
        key: Option<&KeyDigest>,
    ) -> Result<Option<&AccountRule>, CallRefusal> {
        let account = key
            .and_then(|key| self.accounts_by_key.get(key))
            .map(|&index| &self.configuration.accounts[index]);
        let needs_key = !route.allows_anonymous && !self.configuration.accounts.is_empty();
        if needs_key && account.is_none() {
            return Err(CallRefusal::UnknownKey);
        }
        Ok(account)
    }
}
