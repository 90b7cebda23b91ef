//! Parsed rules of one revision, and the lookups in them.

use slotmap::SlotMap;

use super::Account;
use super::AccountKey;
use super::ApiKey;
use super::Pool;
use super::Route;
use crate::core::AccountName;
use crate::core::KeyDigest;
use crate::core::Revision;

/// Parsed rules of one revision.
#[derive(Debug, Clone, Default)]
pub struct RuleSet {
    /// Revision that the rules were accepted as; 0 for rules of the settings.
    pub revision: Revision,
    /// Client accounts.
    pub accounts: SlotMap<AccountKey, Account>,
    /// API keys of all accounts.
    pub keys: Vec<ApiKey>,
    /// Pools of backend servers.
    pub pools: Vec<Pool>,
    /// Routes, in the order of the file.
    pub routes: Vec<Route>,
}

impl RuleSet {
    /// Returns the route of a path: the one with the longest matching prefix.
    pub fn find_route(&self, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }

    /// Returns the API key that a caller presented. Compares all keys, so that the
    /// time taken does not reveal which one matched.
    pub fn find_key(&self, digest: &KeyDigest) -> Option<&ApiKey> {
        self.keys
            .iter()
            .fold(None, |found, key| match key.digest == *digest {
                true => Some(key),
                false => found,
            })
    }

    /// Returns whether the rules assign the API key to the account. A key that was
    /// removed or moved to another account no longer grants access.
    pub fn key_belongs_to(&self, key_id: &str, account: &AccountName) -> bool {
        self.keys
            .iter()
            .any(|key| key.id == key_id && self.accounts[key.account].name == *account)
    }

    /// Returns an account by name.
    pub fn find_account(&self, name: &AccountName) -> Option<(AccountKey, &Account)> {
        self.accounts
            .iter()
            .find(|(_, account)| account.name == *name)
    }

    /// Returns a pool by name.
    pub fn find_pool(&self, name: &str) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == name)
    }
}
