//! The KV cache stores of a fleet and the prompt parts that each of them holds.

use std::net::IpAddr;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::CachedPartChange;
use super::part_table::PartTable;
use crate::core::fleet::Prompt;

/// What is known of a KV cache store.
#[derive(Debug)]
pub(in crate::core::fleet) struct KvCacheStoreView {
    pub address: SocketAddr,
    pub parts: PartTable,
    pub is_unreachable: bool,
    /// The store serves a limited number of readers, and this process or its
    /// collector is not among them.
    pub is_unwatched: bool,
}

/// The KV cache stores. Each prompt belongs to one of them, so that together
/// they hold as many different parts as possible.
#[derive(Debug, Default)]
pub(in crate::core::fleet) struct KvCacheStores {
    stores: Vec<KvCacheStoreView>,
}

impl KvCacheStores {
    /// Replaces the addresses; the parts of stores that stay are kept.
    pub fn set_addresses(&mut self, addresses: &[SocketAddr]) {
        self.stores
            .retain(|store| addresses.contains(&store.address));
        for address in addresses {
            if self.find_mut(*address).is_none() {
                self.stores.push(KvCacheStoreView {
                    address: *address,
                    parts: PartTable::default(),
                    is_unreachable: false,
                    is_unwatched: false,
                });
            }
        }
    }

    /// Returns the addresses of all stores.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.stores.iter().map(|store| store.address).collect()
    }

    /// Returns whether a store has this address.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.stores.iter().any(|store| store.address == address)
    }

    /// Returns the store with an address.
    pub fn find_mut(&mut self, address: SocketAddr) -> Option<&mut KvCacheStoreView> {
        let mut stores = self.stores.iter_mut();
        stores.find(|store| store.address == address)
    }

    /// Returns the store of a prompt, unless it is unreachable: by rendezvous
    /// hashing (Thaler and Ravishankar, 1998) of the longest shared part, so
    /// that all entries agree.
    pub fn find_for(&self, prompt: &Prompt) -> Option<&KvCacheStoreView> {
        let seed = prompt.shared_parts().last()?.id.0;
        let store = self
            .stores
            .iter()
            .max_by_key(|store| hash_address(store.address, seed))?;
        (!store.is_unreachable).then_some(store)
    }
}

impl KvCacheStoreView {
    /// Applies changes of the parts in the store, which is then reachable and
    /// watched; `is_full_list` means that it holds no others.
    pub fn observe(&mut self, changes: &[CachedPartChange], is_full_list: bool) {
        self.is_unreachable = false;
        self.is_unwatched = false;
        self.parts.apply_all(changes, is_full_list);
    }
}

/// Hashes an address; used for choices on which all processes agree.
pub(in crate::core::fleet) fn hash_address(address: SocketAddr, seed: u64) -> u64 {
    let seed = seed.wrapping_add(u64::from(address.port()));
    match address.ip() {
        IpAddr::V4(ip) => xxh3_64_with_seed(&ip.octets(), seed),
        IpAddr::V6(ip) => xxh3_64_with_seed(&ip.octets(), seed),
    }
}
