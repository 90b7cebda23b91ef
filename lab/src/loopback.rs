//! Loopback addresses that no other test uses at the same time.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const PORT: u16 = 7_000;
const HOSTS_PER_PROCESS: u32 = 250;

static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Returns an address that no other call returned. Each process has a network
/// of its own within 127.0.0.0/8, drawn from its id, away from 127.0.0.1,
/// where the system picks ports.
///
/// # Panics
///
/// The addresses of this process are used up.
pub fn allocate_address() -> SocketAddr {
    let index = ALLOCATED.fetch_add(1, Ordering::AcqRel);
    let pid = std::process::id();
    let second = 1 + (pid >> 8) % 254;
    let octets = [second, pid % 256, 1 + index % HOSTS_PER_PROCESS];
    let [second, third, fourth] = octets.map(|octet| u8::try_from(octet).expect("an octet"));
    let port = PORT + u16::try_from(index / HOSTS_PER_PROCESS).expect("few addresses");
    SocketAddr::from((Ipv4Addr::new(127, second, third, fourth), port))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn allocate_address_differs() {
        assert_ne!(allocate_address(), allocate_address());
    }
}
