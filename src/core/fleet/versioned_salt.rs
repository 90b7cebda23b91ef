//! Separation of cached prompt parts by weights version and account.

use std::fmt;

use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::ModelName;
use crate::core::AccountName;
use crate::core::CacheSalt;
use crate::core::WeightsVersion;

/// Text under which an engine caches the parts of a call: parts made by other
/// weights, or by another account where one of the two is isolated, are never
/// found under it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct VersionedSalt(String);

impl VersionedSalt {
    /// Returns the text for calls on a weights version; `isolated` names the
    /// account of a call whose account is isolated.
    pub fn new(version: WeightsVersion, isolated: Option<&AccountName>) -> Self {
        match isolated {
            None => Self(format!("v{}", version.0)),
            Some(account) => Self(format!("v{}.{}", version.0, CacheSalt::of_account(account))),
        }
    }

    /// Returns the text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key of a model's parts under this text, as kept in tables
    /// of cached parts.
    pub fn namespace(&self, model: &ModelName) -> u64 {
        Self::namespace_of(&self.0, model.as_str())
    }

    /// Returns the key of a model's parts under a text.
    pub fn namespace_of(text: &str, model: &str) -> u64 {
        xxh3_64_with_seed(text.as_bytes(), xxh3_64(model.as_bytes()))
    }
}

impl fmt::Display for VersionedSalt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
