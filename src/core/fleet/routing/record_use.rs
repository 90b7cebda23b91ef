//! Decides which records name servers that are used.
//!
//! Nothing here outlives what it was learned from. A record that supersedes another one
//! does so only as long as both are listed, and only if it names a server itself. What an
//! answer has shown ends after a time, and is found out again by the next call.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::time::Duration;

use super::BackendKey;
use super::BackendView;
use super::Dispatcher;
use crate::core::MonotonicTime;
use crate::core::ServerName;

/// Time for which a server gets no calls after another one has answered at its address;
/// doubles up to [`MAX_REPLACED_PERIOD`] until its record changes. A call that reaches the
/// other server again does not run, but takes from the retries of its service.
pub(super) const MIN_REPLACED_PERIOD: Duration = Duration::from_secs(2);
const MAX_REPLACED_PERIOD: Duration = Duration::from_secs(16);

/// Whether a record names a server that is used.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum RecordUse {
    /// It does.
    #[default]
    Used,
    /// The configuration in force does not name its service. Another writer may have
    /// written it.
    UnknownService,
    /// A later run is listed at the same address, so that this one has ended.
    Superseded,
    /// Another server has answered at the address.
    Replaced {
        /// When the server is tried again.
        until: MonotonicTime,
    },
}

impl RecordUse {
    /// Returns the word that logs use.
    pub fn label(self) -> &'static str {
        match self {
            Self::Used => "used",
            Self::UnknownService => "unknown-service",
            Self::Superseded => "superseded",
            Self::Replaced { .. } => "replaced",
        }
    }
}

impl Dispatcher {
    /// Sets the services that the configuration in force names. Until this is called,
    /// records of all services are used.
    pub fn set_services<'a>(&mut self, names: impl IntoIterator<Item = &'a str>) {
        let services: HashSet<String> = names.into_iter().map(str::to_owned).collect();
        if self.services.as_ref() == Some(&services) {
            return;
        }
        self.services = Some(services);
        let views = self.backends.values();
        let addresses: HashSet<SocketAddr> = views.map(|view| view.member.address).collect();
        for address in addresses {
            self.update_uses(address);
        }
    }

    /// Records that another server has answered a call to this one. It gets no calls for
    /// some seconds, or until its record changes, and its record supersedes no other one
    /// until it changes.
    pub fn mark_replaced(&mut self, key: BackendKey, now: MonotonicTime) {
        let Some(view) = self.backends.get_mut(key) else {
            return;
        };
        view.replaced_until = Some(now + view.replaced_period);
        view.replaced_period = (view.replaced_period * 2).min(MAX_REPLACED_PERIOD);
        view.is_refuted = true;
        let address = view.member.address;
        self.update_uses(address);
    }

    /// Ends the periods for which servers were replaced, and returns the records whose
    /// use has changed since the last call.
    pub fn refresh_record_uses(&mut self, now: MonotonicTime) -> Vec<(ServerName, RecordUse)> {
        let mut changes = Vec::new();
        for view in self.backends.values_mut() {
            if view.replaced_until.is_some_and(|until| until <= now) {
                view.replaced_until = None;
            }
            let record_use = view.record_use();
            if view.logged_use != record_use {
                view.logged_use = record_use;
                changes.push((view.member.name.clone(), record_use));
            }
        }
        changes
    }

    /// Decides anew which of the records with an address are used.
    pub(super) fn update_uses(&mut self, address: SocketAddr) {
        let services = self.services.as_ref();
        let is_known = |view: &BackendView| {
            services.is_none_or(|services| services.contains(&view.member.service))
        };
        let views = self.backends.values();
        let newest_start = views
            .filter(|view| view.member.address == address)
            .filter(|view| is_known(view) && !view.is_refuted)
            .filter_map(|view| view.member.started_at_ms)
            .max();
        let views = self.backends.values_mut();
        for view in views.filter(|view| view.member.address == address) {
            view.has_known_service = is_known(view);
            let start = view.member.started_at_ms.zip(newest_start);
            view.is_superseded = start.is_some_and(|(own, newest)| own < newest);
        }
    }
}
