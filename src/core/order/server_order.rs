//! Order to a backend server.

use serde::Deserialize;
use serde::Serialize;

use crate::core::ServerName;

const STORE_KEY_PREFIX: &str = "/teaseldrum/orders/";

/// Order to a backend server, serialised as the server's API expects it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum ServerOrder {
    /// Serve this version of the weights.
    LoadWeights {
        /// Version of the weights.
        version: u64,
    },
    /// Serve this adapter in addition to those already loaded.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Take on this role.
    ChangeRole {
        /// Name of the role.
        role: String,
    },
}

/// Kind of an order. A newer order replaces an older one of the same kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderKind {
    /// [`ServerOrder::LoadWeights`].
    Weights,
    /// [`ServerOrder::LoadAdapter`].
    Adapter,
    /// [`ServerOrder::ChangeRole`].
    Role,
}

impl ServerOrder {
    /// Returns the kind of the order.
    pub fn kind(&self) -> OrderKind {
        match self {
            Self::LoadWeights { .. } => OrderKind::Weights,
            Self::LoadAdapter { .. } => OrderKind::Adapter,
            Self::ChangeRole { .. } => OrderKind::Role,
        }
    }

    /// Returns the store key of this kind of order to a server.
    pub fn store_key(&self, server: &ServerName) -> String {
        let kind = match self.kind() {
            OrderKind::Weights => "weights",
            OrderKind::Adapter => "adapter",
            OrderKind::Role => "role",
        };
        format!("{}{kind}", Self::store_prefix(server))
    }

    /// Returns the prefix of the store keys of all orders to a server.
    pub fn store_prefix(server: &ServerName) -> String {
        format!("{STORE_KEY_PREFIX}{server}/")
    }
}
