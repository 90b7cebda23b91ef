//! Faults of a soak, drawn from its seed.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// A gateway is stopped and continued.
    Pause(usize),
    /// A gateway is killed, and started again.
    Kill(usize),
    /// All gateways are killed at once.
    KillAll,
    /// A gateway is told to stop, and started again.
    Drain(usize),
    /// A gateway is told to read its settings anew.
    Reload(usize),
    /// The store turns every call away.
    StoreDown,
    /// The store answers nothing.
    StoreSilent,
    /// Long answers of the store take seconds.
    StoreSlow,
    /// A gateway's link to the store brings nothing.
    StoreLinkSilent(usize),
    /// A link to a server delays what it carries.
    Delay(usize),
    /// The connections over a link to a server are reset.
    Reset(usize),
    /// A link to a server carries one way only.
    OneWay(usize),
    /// A link to a server brings nothing either way.
    Silence(usize),
    /// The operator sends a new configuration.
    NewConfiguration,
    /// A server leaves, and comes back.
    Deregister(usize),
}

/// A fault and when it comes.
#[derive(Debug, Clone, Copy)]
pub struct PlannedFault {
    /// Time from the start of the faults.
    pub at: Duration,
    /// Time for which it lasts.
    pub duration: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// Longest fault: longer than pings, watches and silent peers are waited for.
const MAX_FAULT_MS: u64 = 3_000;

/// Mean time between two faults: several overlap.
const MEAN_FAULT_GAP_MS: u64 = 450;

/// Draws the faults of a soak, in the order of time.
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
        let fault = match rng.random_range(0..17) {
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
            14 => Fault::Deregister(server),
            _ => Fault::NewConfiguration,
        };
        faults.push(PlannedFault {
            at,
            duration: Duration::from_millis(rng.random_range(100..MAX_FAULT_MS)),
            fault,
        });
    }
}
