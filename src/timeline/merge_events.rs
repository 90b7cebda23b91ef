//! Merges the events of several processes into one order, and filters them.

use std::collections::HashSet;

use super::Event;
use super::EventKind;
use crate::core::AccountName;
use crate::core::RequestId;
use crate::core::ServerName;

/// Filter of merged events. All conditions must hold; `None` means no condition.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EventFilter {
    /// Only requests of this account.
    pub account: Option<AccountName>,
    /// Only requests that were planned on or reached this backend server.
    pub server: Option<ServerName>,
    /// Only events whose kind has this [name](EventKind::name).
    pub kind: Option<String>,
}

/// Merges the events of several processes by stamp, then by process name. Hybrid
/// logical clock stamps order an effect after its cause even if the clocks of the
/// hosts differ (Kulkarni et al., Logical physical clocks, 2014).
pub fn merge_events(pages: impl IntoIterator<Item = Vec<Event>>) -> Vec<Event> {
    let mut events: Vec<Event> = pages.into_iter().flatten().collect();
    events.sort_by(|left, right| {
        let left = (left.stamp, &left.process);
        left.cmp(&(right.stamp, &right.process))
    });
    events
}

impl EventFilter {
    /// Returns the events that pass the filter, in the same order.
    pub fn apply(&self, events: Vec<Event>) -> Vec<Event> {
        let requests = self.find_requests(&events);
        events
            .into_iter()
            .filter(|event| match &requests {
                Some(requests) => event.request.is_some_and(|id| requests.contains(&id)),
                None => true,
            })
            .filter(|event| {
                let kind = self.kind.as_deref();
                kind.is_none_or(|kind| event.kind.name() == kind)
            })
            .collect()
    }

    /// Returns the requests that pass the account and server conditions; `None`
    /// if there is no such condition.
    fn find_requests(&self, events: &[Event]) -> Option<HashSet<RequestId>> {
        if self.account.is_none() && self.server.is_none() {
            return None;
        }
        let account_requests = self.account.as_ref().map(|account| {
            find_requests(
                events,
                |event| matches!(&event.kind, EventKind::Admitted(Some(name)) if name == account),
            )
        });
        let server_requests = self.server.as_ref().map(|server| {
            find_requests(events, |event| {
                event.process == server.as_str() || event.kind.server() == Some(server)
            })
        });
        match (account_requests, server_requests) {
            (Some(left), Some(right)) => Some(left.intersection(&right).copied().collect()),
            (left, right) => left.or(right),
        }
    }
}

/// Returns the requests with at least one matching event.
fn find_requests(events: &[Event], matches: impl Fn(&Event) -> bool) -> HashSet<RequestId> {
    let matching = events.iter().filter(|event| matches(event));
    matching.filter_map(|event| event.request).collect()
}

#[cfg(test)]
mod tests {
    use std::time::Duration;

    use uhlc::NTP64;

    use super::*;
    use crate::core::Outcome;
    use crate::timeline::EventQuery;
    use crate::timeline::Recorder;

    const SKEW: Duration = Duration::from_secs(5);

    fn read_skewed_clock() -> NTP64 {
        uhlc::system_time_clock() + NTP64::from(SKEW)
    }

    fn list_kinds(events: &[Event]) -> Vec<&'static str> {
        events.iter().map(|event| event.kind.name()).collect()
    }

    /// Guards against an order by wall clock: the clock of the entry is 5 s ahead of
    /// that of the agent to which it sends a request.
    #[test]
    fn merge_events_skewed_clocks() {
        let entry = Recorder::with_clock("e1", read_skewed_clock);
        let agent = Recorder::new("s1");
        let request = Some(RequestId::from_bits(1));
        let server = ServerName::from("s1");
        entry.record(request, EventKind::Admitted(None));
        entry.record(request, EventKind::Sent(server));
        agent.observe(entry.stamp());
        agent.record(request, EventKind::GatePassed);
        entry.observe(agent.stamp());
        entry.record(request, EventKind::Ended(Outcome::Ran));
        let pages = [agent, entry].map(|recorder| recorder.page(&EventQuery::default()).events);
        let events = merge_events(pages);
        assert_eq!(
            list_kinds(&events),
            ["admitted", "sent", "gate-passed", "ended"]
        );
    }

    #[test]
    fn apply_account_and_server() {
        let entry = Recorder::new("e1");
        let accounts = ["desk", "desk", "shop"];
        let servers = ["s1", "s2", "s1"];
        for (bits, (account, server)) in (0..).zip(accounts.into_iter().zip(servers)) {
            let request = Some(RequestId::from_bits(bits));
            entry.record(request, EventKind::Admitted(Some(account.into())));
            entry.record(request, EventKind::Sent(server.into()));
        }
        let filter = EventFilter {
            account: Some("desk".into()),
            server: Some("s1".into()),
            kind: Some("sent".into()),
        };
        let events = filter.apply(entry.page(&EventQuery::default()).events);
        assert_eq!(events.len(), 1);
        assert_eq!(events[0].request, Some(RequestId::from_bits(0)));
    }
}
