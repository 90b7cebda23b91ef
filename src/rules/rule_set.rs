//! All rules of one revision.

use slotmap::SlotMap;

use super::Account;
use super::AccountKey;
use super::ApiKey;
use super::Pool;
use super::Route;
use crate::core::AccountName;
use crate::core::KeyDigest;
use crate::core::Revision;

/// All rules of one revision.
#[derive(Debug, Clone, Default)]
pub struct RuleSet {
    /// Revision of the rules.
    pub revision: Revision,
    /// Client accounts.
    pub accounts: SlotMap<AccountKey, Account>,
    /// Keys of all accounts.
    pub keys: Vec<ApiKey>,
    /// Pools of backend servers.
    pub pools: Vec<Pool>,
    /// Routes in the order of the file.
    pub routes: Vec<Route>,
}

impl RuleSet {
    /// Finds the route of a path: the one with the longest prefix.
    pub fn find_route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Finds the key that a caller showed. Every key is compared, so that the
    /// time taken does not tell which one matched.
    pub fn find_key(&self, digest: &KeyDigest) -> Option<&ApiKey> {
        self.keys
            .iter()
            .fold(None, |found, key| match key.digest == *digest {
                true => Some(key),
                false => found,
            })
    }

    /// Tells whether a key still opens an account.
    pub fn key_belongs_to(&self, key_id: &str, account: &AccountName) -> bool {
        self.keys
            .iter()
            .any(|key| key.id == key_id && self.accounts[key.account].name == *account)
    }

    /// Finds an account by name.
    pub fn find_account(&self, name: &AccountName) -> Option<(AccountKey, &Account)> {
        self.accounts
            .iter()
            .find(|(_, account)| account.name == *name)
    }

    /// Finds a pool by name.
    pub fn find_pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
