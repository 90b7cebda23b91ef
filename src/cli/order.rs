//! `teaseldrum order`: writes an order for a backend server to the store, from
//! which the server's agent reads it.

use std::net::SocketAddr;

use argh::FromArgs;
use serde_json::json;

use super::Exit;
use crate::core::ServerName;
use crate::core::order::ServerOrder;
use crate::registry::BlockingStore;
use crate::registry::Compare;
use crate::registry::KeyRange;
use crate::registry::Operation;
use crate::registry::StoreError;
use crate::registry::Txn;
use crate::settings::PlatformSettings;
use crate::settings::Section;

/// Give an order to a backend server; its agent carries the order out.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "order")]
pub struct OrderCommand {
    /// address of the platform's store; may be repeated
    #[argh(option)]
    store: Vec<SocketAddr>,
    /// name of the backend server
    #[argh(option)]
    server: String,
    /// version of the weights to serve
    #[argh(option)]
    weights: Option<u64>,
    /// adapter to load
    #[argh(option)]
    adapter: Option<String>,
    /// role to change to
    #[argh(option)]
    role: Option<String>,
}

impl OrderCommand {
    /// Writes the order, unless another one of its kind is written at the same
    /// time.
    pub fn run(self) -> Exit {
        let Some(order) = self.requested_order() else {
            eprintln!("Give exactly one of --weights, --adapter and --role.");
            return Exit::InvalidInput;
        };
        let mut section = Section::new("platform", json!({"store": self.store}));
        let store = BlockingStore::new(&PlatformSettings::read(&mut section));
        let server = ServerName::from(self.server.as_str());
        match write_order(&store, &server, &order) {
            Ok(Some(revision)) => {
                println!("Order written at revision {revision}.");
                Exit::Success
            }
            Ok(None) => {
                eprintln!(
                    "Another order was written at the same time; check it and run the command again."
                );
                Exit::Failure
            }
            Err(e) => {
                eprintln!("{e}");
                Exit::Failure
            }
        }
    }

    /// Returns the order that the options name; `None` unless exactly one
    /// is given.
    fn requested_order(&self) -> Option<ServerOrder> {
        match (self.weights, &self.adapter, &self.role) {
            (Some(version), None, None) => Some(ServerOrder::LoadWeights { version }),
            (None, Some(adapter), None) => Some(ServerOrder::LoadAdapter {
                adapter: adapter.clone(),
            }),
            (None, None, Some(role)) => Some(ServerOrder::ChangeRole { role: role.clone() }),
            _ => None,
        }
    }
}

/// Replaces the server's order of the same kind by one compare-and-swap.
/// Returns the revision of the store, or `None` if another order was
/// written between the read and the write.
///
/// # Errors
///
/// The store gave no usable response; [`StoreError`] tells whether the order
/// may have been written.
pub fn write_order(
    store: &BlockingStore,
    server: &ServerName,
    order: &ServerOrder,
) -> Result<Option<i64>, StoreError> {
    let key = order.store_key(server);
    let existing = store.range(&KeyRange::Key(key.clone().into()))?;
    let compare = match existing.first() {
        None => Compare::Absent(key.clone().into()),
        Some(pair) => Compare::ModRevision(key.clone().into(), pair.mod_revision),
    };
    let value = serde_json::to_vec(order).map_err(|e| StoreError::NotReached(e.to_string()))?;
    let txn = Txn {
        compares: vec![compare],
        success: vec![Operation::Put(key.into(), value.into(), None)],
        failure: Vec::new(),
    };
    let response = store.txn(&txn)?;
    Ok(response.succeeded.then_some(response.revision))
}
