//! Cache salts that separate cached prompt parts by weights version and by the
//! accounts that may share them.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::core::AccountName;
use crate::core::CacheSalt;
use crate::core::WeightsVersion;
use crate::core::fleet::ModelName;

/// Cache salt sent to engines with a call. A call never finds parts that were
/// computed with other weights, or by another account if either account is
/// isolated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedSalt(String);

impl VersionedSalt {
    /// Creates the salt of an isolated account.
    pub fn of_account(version: WeightsVersion, account: &AccountName) -> Self {
        Self(format!("v{}.{}", version.0, CacheSalt::of_account(account)))
    }

    /// Creates the salt that all accounts share but those of the set with the salt
    /// `isolated`; `None` stands for the empty set.
    pub fn shared(version: WeightsVersion, isolated: Option<CacheSalt>) -> Self {
        match isolated {
            None => Self(format!("v{}", version.0)),
            Some(isolated) => Self(format!("v{}-{isolated}", version.0)),
        }
    }

    /// Returns the salt as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key under which tables of cached parts list a model's parts
    /// with this salt.
    pub fn namespace(&self, model: &ModelName) -> u64 {
        Self::namespace_of(&self.0, model.as_str())
    }

    /// Returns the key for the text of a salt and a model name.
    pub fn namespace_of(text: &str, model: &str) -> u64 {
        xxh3_64_with_seed(text.as_bytes(), xxh3_64(model.as_bytes()))
    }
}

impl fmt::Display for VersionedSalt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
