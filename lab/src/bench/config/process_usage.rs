//! Processor time and memory of a process, as the system tells them.

use std::fs;
use std::time::Duration;

const CLOCK_TICK: Duration = Duration::from_millis(10);
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time that a process has used.
pub fn read_cpu_time(pid: u32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: u32 = fields.filter_map(|field| field.parse::<u32>().ok()).sum();
    CLOCK_TICK * ticks
}

/// Returns the bytes of a process that are in memory.
pub fn read_resident_bytes(pid: u32) -> u64 {
    let text = fs::read_to_string(format!("/proc/{pid}/statm")).unwrap_or_default();
    let pages = text.split_whitespace().nth(1);
    pages
        .and_then(|pages| pages.parse::<u64>().ok())
        .unwrap_or(0)
        * PAGE_BYTES
}
