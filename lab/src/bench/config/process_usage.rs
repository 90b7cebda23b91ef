//! CPU time and resident memory of a process, read from `/proc`.

use std::fs;
use std::time::Duration;

/// Unit of the CPU times in `/proc/PID/stat`.
const CLOCK_TICK: Duration = Duration::from_millis(10);
/// Unit of the sizes in `/proc/PID/statm`.
const PAGE_BYTES: u64 = 4_096;

/// Returns the user and system CPU time that a process has used since it
/// started, or zero if the process does not exist.
pub fn read_cpu_time(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: u32 = fields.filter_map(|field| field.parse::<u32>().ok()).sum();
    CLOCK_TICK * ticks
}

/// Returns the resident memory of a process in bytes, or zero if the process
/// does not exist.
pub fn read_resident_bytes(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
