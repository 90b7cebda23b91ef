//! Loopback addresses for servers of tests: known before they start, kept over a restart,
//! and used by no other test after their end.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

const FIRST_PORT: u16 = 7_000;

const HOSTS_PER_PROCESS: u32 = 250;

static ALLOCATED: AtomicU32 = AtomicU32::new(0);

/// Returns an address whose port no other call in this process has returned: tests tell
/// servers apart by port, and what still sends to a server that has ended reaches no other
/// test. The process id selects the second and third octet within 127.0.0.0/8, so that
/// concurrent test processes rarely collide. 127.0.0.1 is left out because the system
/// assigns ephemeral ports there.
///
/// # Panics
///
/// Panics if this process has used up its addresses.
pub fn allocate_address() -> SocketAddr {
    let index = ALLOCATED.fetch_add(1, Ordering::AcqRel);
    let pid = std::process::id();
    let second = 1 + (pid >> 8) % 254;
    let octets = [second, pid % 256, 1 + index % HOSTS_PER_PROCESS];
    let [second, third, fourth] =
        octets.map(|octet| u8::try_from(octet).expect("the octet is below 256"));
    let port = u32::from(FIRST_PORT) + index;
    let port = u16::try_from(port).expect("the port is below 65536");
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
