//! Memory and descriptors of a process, as its host counts them.

use std::fs;
use std::io;

/// Memory and descriptors of a process at one moment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ProcessUsage {
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Bytes that the kernel has received for it and it has not read. They count toward
    /// the memory of a host.
    pub unread_bytes: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ProcessUsage {
    /// Reads what process `pid` uses. Connections to its listeners, with these ports, and
    /// those to servers with these ports are taken to be its own; the host lists each end
    /// of a connection by itself.
    ///
    /// # Errors
    ///
    /// The process has ended.
    pub fn read(pid: u32, listeners: &[u16], servers: &[u16]) -> io::Result<Self> {
        let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|rss| rss.trim().strip_suffix(" kB"));
        let kilobytes: u64 = rss
            .and_then(|rss| rss.trim().parse().ok())
            .ok_or(io::ErrorKind::NotFound)?;
        let table = fs::read_to_string(format!("/proc/{pid}/net/tcp"))?;
        Ok(Self {
            resident_bytes: kilobytes * 1_024,
            unread_bytes: table
                .lines()
                .map(|line| read_unread(line, listeners, servers))
                .sum(),
            descriptors: fs::read_dir(format!("/proc/{pid}/fd"))?.count(),
        })
    }

    /// Returns the one of two readings with more memory, with the more descriptors of both.
    #[must_use]
    pub fn max_of(self, other: &Self) -> Self {
        let larger = if other.memory_bytes() > self.memory_bytes() {
            *other
        } else {
            self
        };
        Self {
            descriptors: self.descriptors.max(other.descriptors),
            ..larger
        }
    }

    /// Returns the bytes that count toward the memory of the host.
    pub fn memory_bytes(&self) -> u64 {
        self.resident_bytes + self.unread_bytes
    }
}

/// Returns the unread bytes of a line of the kernel's table, if its connection is one to
/// `listeners` at their end, or one to `servers` at the other end.
fn read_unread(line: &str, listeners: &[u16], servers: &[u16]) -> u64 {
    const OPEN: &str = "01";
    let fields: Vec<&str> = line.split_whitespace().collect();
    // Number, local and remote address, state, unsent and unread bytes.
    let [_, local, remote, state, queues, ..] = fields[..] else {
        return 0;
    };
    let is_own = read_port(local).is_some_and(|port| listeners.contains(&port))
        || read_port(remote).is_some_and(|port| servers.contains(&port));
    // In a listening socket, the number is that of connections.
    if !is_own || state != OPEN {
        return 0;
    }
    let unread = queues.rsplit(':').next();
    let unread = unread.and_then(|unread| u64::from_str_radix(unread, 16).ok());
    unread.unwrap_or(0)
}

/// Returns the port of an address in the kernel's table.
fn read_port(address: &str) -> Option<u16> {
    let port = address.rsplit(':').next()?;
    u16::from_str_radix(port, 16).ok()
}
