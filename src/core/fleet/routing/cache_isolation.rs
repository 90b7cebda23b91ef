//! Accounts that share no cached prompt parts, and the salts that follow from that.

use std::collections::BTreeSet;

use super::VersionedSalt;
use crate::core::AccountName;
use crate::core::CacheSalt;
use crate::core::WeightsVersion;
use crate::core::fleet::AccountRule;

/// Accounts that are isolated in the configuration in force.
///
/// Engines and stores keep parts by salt and do not know who computed them. The salt
/// that the other accounts share therefore depends on the set of isolated accounts: a
/// part under it was computed by an account outside this set, so that it may be used by
/// all accounts outside. A change of the set costs them the parts under the salt before.
#[derive(Debug, Default)]
pub struct CacheIsolation {
    accounts: BTreeSet<AccountName>,
    /// Salt of the set; `None` if it is empty.
    set_salt: Option<CacheSalt>,
}

impl CacheIsolation {
    /// Returns the isolation that the accounts of a configuration ask for.
    pub fn from_accounts(accounts: &[AccountRule]) -> Self {
        let isolated = accounts.iter().filter(|account| account.is_isolated);
        let accounts: BTreeSet<AccountName> =
            isolated.map(|account| account.name.clone()).collect();
        Self {
            set_salt: (!accounts.is_empty()).then(|| CacheSalt::of_accounts(&accounts)),
            accounts,
        }
    }

    /// Returns whether other accounts share no parts with `account`.
    pub fn is_isolated(&self, account: &AccountName) -> bool {
        self.accounts.contains(account)
    }

    /// Returns the salt of a call that is sent now. `was_isolated` tells whether its
    /// account was isolated when the call was read; such a call stays apart.
    pub fn find_salt(
        &self,
        version: WeightsVersion,
        account: Option<&AccountName>,
        was_isolated: bool,
    ) -> VersionedSalt {
        match account {
            Some(account) if was_isolated || self.is_isolated(account) => {
                VersionedSalt::of_account(version, account)
            }
            _ => VersionedSalt::shared(version, self.set_salt),
        }
    }
}
