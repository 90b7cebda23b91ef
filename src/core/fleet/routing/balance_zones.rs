//! Feeds what is known of servers into the balance between zones, and applies it to the
//! choice of a server.

use super::BackendView;
use super::DispatchRequest;
use super::Dispatcher;
use super::call_costs;
use super::server_pace::ServerPace;
use crate::core::MonotonicTime;
use crate::core::fleet::BalanceInput;
use crate::core::fleet::server_speed::WorkKind;
use crate::core::fleet::zone_balance::ServiceZones;

/// Bytes of a token of text in requests and responses.
const BYTES_PER_TOKEN: u64 = 4;

const BYTES_PER_MB: f64 = 1e6;

/// Calls of one service that go to other zones, for metrics and the log.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneShare {
    /// Name of the service.
    pub service: String,
    /// Share of calls that is to leave.
    pub share: f64,
    /// Share last logged, if the present one is to be logged.
    pub logged: Option<f64>,
    /// Calls sent to other zones since the last time.
    pub left: u64,
}

/// What a server of another zone costs one call, besides the delay.
#[derive(Debug, Clone, Copy)]
pub(super) struct ZoneCost<'a> {
    zone: &'a str,
    bytes_cost_ms: f64,
    next_zone: Option<&'a str>,
}

impl ZoneCost<'_> {
    /// Returns the cost of a server: that of the bytes, less the delay if the call is to
    /// leave for its zone. Never below the cost of the bytes less the delay, so that calls
    /// stay until the own servers are predicted to be slower by more than the bytes cost.
    pub fn of(&self, view: &BackendView) -> f64 {
        let zone = view.member.zone.as_str();
        if zone == self.zone {
            0.0
        } else if self.next_zone == Some(zone) {
            self.bytes_cost_ms - call_costs::OTHER_ZONE_COST_MS
        } else {
            self.bytes_cost_ms
        }
    }
}

impl DispatchRequest<'_> {
    /// Estimates the bytes that the call moves.
    pub(super) fn moved_bytes(&self) -> u64 {
        let prompt_tokens = self.prompt.map_or(0, |prompt| prompt.prompt_tokens);
        let output_tokens = self
            .prompt
            .map_or(0, |prompt| prompt.expected_output_tokens);
        let body = self.body_bytes;
        body.unwrap_or(u64::from(prompt_tokens) * BYTES_PER_TOKEN)
            + u64::from(output_tokens) * BYTES_PER_TOKEN
    }
}

impl Dispatcher {
    /// Sets the cost of a megabyte that passes between zones, in milliseconds.
    pub fn set_zone_cost(&mut self, cost_ms_per_mb: f64) {
        self.zone_cost_ms_per_mb = cost_ms_per_mb;
    }

    /// Updates the balances of all services, and returns what they are; to be called at
    /// regular intervals.
    pub fn refresh_zones(&mut self, now: MonotonicTime) -> Vec<ZoneShare> {
        let services: Vec<String> = self.keys_by_service.keys().cloned().collect();
        let mut shares = Vec::with_capacity(services.len());
        for service in services {
            self.update_zones(&service, now);
            if let Some(zones) = self.service_zones.get_mut(&service) {
                shares.push(ZoneShare {
                    share: zones.share(),
                    logged: zones.take_logged_change(now),
                    left: zones.take_left(),
                    service,
                });
            }
        }
        shares
    }

    /// Returns what servers of other zones cost a call.
    pub(super) fn zone_cost(&self, req: &DispatchRequest<'_>) -> ZoneCost<'_> {
        let zones = self.service_zones.get(req.service);
        ZoneCost {
            zone: &self.zone,
            bytes_cost_ms: self.bytes_cost_ms(req.moved_bytes() as f64),
            next_zone: zones.and_then(ServiceZones::next_zone),
        }
    }

    /// Counts a call to a service that was sent; `has_left` if to another zone.
    pub(super) fn record_zone(
        &mut self,
        service: &str,
        bytes: u64,
        has_left: bool,
        now: MonotonicTime,
    ) {
        self.update_zones(service, now);
        if let Some(zones) = self.service_zones.get_mut(service) {
            zones.record_call(bytes, has_left);
        }
    }

    fn bytes_cost_ms(&self, bytes: f64) -> f64 {
        bytes / BYTES_PER_MB * self.zone_cost_ms_per_mb
    }

    /// Updates the balance of a service unless that was done a moment ago.
    fn update_zones(&mut self, service: &str, now: MonotonicTime) {
        let zones = self.service_zones.get(service);
        let server_count = self.keys_by_service.get(service).map_or(0, Vec::len);
        if zones.is_some_and(|zones| !zones.is_update_due(server_count, now)) {
            return;
        }
        let input = self.balance_input(service, now);
        if !self.service_zones.contains_key(service) {
            let zones = ServiceZones::new(&self.zone);
            self.service_zones.insert(service.into(), zones);
        }
        if let Some(zones) = self.service_zones.get_mut(service) {
            zones.update(&input, now);
        }
    }

    /// Returns the slots and the estimated calls of the usable servers of a service, by zone.
    /// The calls stand for the demand, which entries do not exchange.
    fn balance_input(&self, service: &str, now: MonotonicTime) -> BalanceInput {
        let speed = self.service_speeds.get(service);
        let zones = self.service_zones.get(service);
        let mean_bytes = zones.map_or(0.0, ServiceZones::mean_bytes);
        let mut input = BalanceInput {
            zones: Default::default(),
            slot_hold_ms: 0.0,
            leave_cost_ms: call_costs::OTHER_ZONE_COST_MS + self.bytes_cost_ms(mean_bytes),
        };
        let mut slots_in_total = 0.0;
        for view in self.list_service_backends(service) {
            if !view.accepts_calls(now) || self.silence_cost_ms(view, speed, now) > 0.0 {
                continue;
            }
            let pace = ServerPace::new(view, speed, now);
            let hold_ms = if view.member.models.is_empty() {
                pace.slot_hold_ms(WorkKind::Plain, call_costs::PLAIN_SLOT_HOLD_MS)
            } else {
                pace.slot_hold_ms(WorkKind::Decode, call_costs::ENGINE_SLOT_HOLD_MS)
            };
            let slots = f64::from(view.member.slots);
            input.slot_hold_ms += hold_ms * slots;
            slots_in_total += slots;
            if !input.zones.contains_key(&view.member.zone) {
                input
                    .zones
                    .insert(view.member.zone.clone(), Default::default());
            }
            if let Some(load) = input.zones.get_mut(&view.member.zone) {
                load.capacity += slots;
                load.demand += pace.estimate_calls(view, now);
            }
        }
        input.slot_hold_ms /= f64::max(slots_in_total, 1.0);
        input
    }
}
