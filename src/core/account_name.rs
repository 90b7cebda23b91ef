//! Name of a client account, shared by all that refer to the account.

use std::fmt;
use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;

/// Name of a client account, as the rules give it. Clones share the text.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct AccountName(Arc<str>);

impl AccountName {
    /// Returns the name as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for AccountName {
    fn from(name: &str) -> Self {
        Self(Arc::from(name))
    }
}

impl fmt::Display for AccountName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
