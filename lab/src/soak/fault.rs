//! Draws the faults of a soak from its seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// A fault, with the index of the gateway or backend server that it affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is paused with SIGSTOP and continued.
    Pause(usize),
    /// A gateway is killed and started again.
    Kill(usize),
    /// All gateways are killed at once and started again.
    KillAll,
    /// A gateway is told to stop with SIGTERM, and started again once it has
    /// drained.
    Drain(usize),
    /// A gateway is told to reload its settings with SIGHUP.
    Reload(usize),
    /// The store refuses every call.
    StoreDown,
    /// The store does not respond.
    StoreSilent,
    /// Long responses of the store take seconds.
    StoreSlow,
    /// The link of a gateway to the store delivers nothing.
    StoreLinkSilent(usize),
    /// The link to a server delays all data.
    Delay(usize),
    /// The open connections to a server are reset.
    Reset(usize),
    /// The link to a server delivers requests but no responses.
    OneWay(usize),
    /// The link to a server delivers nothing in either direction.
    Silence(usize),
    /// The operator sends a new configuration with one more route.
    NewConfiguration,
    /// A server is listed as draining, and later as ready again.
    DrainServer(usize),
    /// The store is away, and comes back from a copy of when it went; the operator and
    /// the servers write theirs again.
    RestoreStore,
    /// A server says in its answers that it leaves, and starts again later.
    LeaveServer(usize),
    /// A server rejects calls and asks for a pause.
    PauseServer(usize),
    /// A server names a limit on the calls of all gateways.
    LimitServer(usize),
    /// A server stands still, and goes on with what it finds in its connections.
    FreezeServer(usize),
    /// One account sends many times the calls of all others to all gateways.
    Storm,
}

/// A fault and its time.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// Time of the fault, counted from when callers start.
    pub at: Duration,
    /// Time until the fault is ended. Not used for drains, reloads, resets and new
    /// configurations.
    pub duration: Duration,
    /// Fault to inject.
    pub fault: Fault,
}

/// Longest fault: longer than the timeouts of pings, watches and silent peers.
const MAX_FAULT_MS: u64 = 3_000;

/// Mean time between two faults: shorter than most faults, so that several
/// overlap.
const MEAN_FAULT_GAP_MS: u64 = 450;

/// Draws the faults within `total_time`, in the order of their time.
pub fn draw_faults(
    rng: &mut StdRng,
    total_time: Duration,
    gateways: usize,
    servers: usize,
) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    loop {
        at += Duration::from_millis(rng.random_range(1..2 * MEAN_FAULT_GAP_MS));
        if at >= total_time {
            return faults;
        }
        let gateway = rng.random_range(0..gateways);
        let server = rng.random_range(0..servers);
        let fault = match rng.random_range(0..23) {
            0 => Fault::Pause(gateway),
            1 => Fault::Kill(gateway),
            2 => Fault::KillAll,
            3 | 4 => Fault::Drain(gateway),
            5 => Fault::Reload(gateway),
            6 => Fault::StoreDown,
            7 => Fault::StoreSilent,
            8 => Fault::StoreSlow,
            9 => Fault::StoreLinkSilent(gateway),
            10 => Fault::Delay(server),
            11 => Fault::Reset(server),
            12 => Fault::OneWay(server),
            13 => Fault::Silence(server),
            14 => Fault::DrainServer(server),
            15 => Fault::RestoreStore,
            16 => Fault::LeaveServer(server),
            17 => Fault::PauseServer(server),
            18 => Fault::LimitServer(server),
            19 => Fault::FreezeServer(server),
            20 => Fault::Storm,
            _ => Fault::NewConfiguration,
        };
        faults.push(PlannedFault {
            at,
            duration: Duration::from_millis(rng.random_range(100..MAX_FAULT_MS)),
            fault,
        });
    }
}
