//! Builds that the servers of each service have run recently.

use std::collections::HashMap;
use std::time::Duration;

use crate::core::MonotonicTime;
use crate::core::ServerName;
use crate::core::fleet::Build;
use crate::core::fleet::Member;

/// Time after which a list of servers that nobody confirms may lack new ones.
const LIST_MAX_AGE: Duration = Duration::from_secs(3);

/// Builds of each service within the time in which a stream may still go on, to
/// tell whether a stream can only have begun at one of them.
#[derive(Debug, Default)]
pub struct BuildHistory {
    servers: HashMap<ServerName, (String, Build)>,
    /// When the build was last seen at a server that is no longer listed or at a
    /// peer, by service.
    seen_at: HashMap<String, HashMap<Build, MonotonicTime>>,
    observed_since: Option<MonotonicTime>,
    confirmed_at: Option<MonotonicTime>,
}

impl BuildHistory {
    /// Records that the whole list of servers is known, and from when on changes
    /// of it were observed.
    pub fn start(&mut self, now: MonotonicTime) {
        self.observed_since.get_or_insert(now);
        self.confirm(now);
    }

    /// Records that the list of servers is up to date. After a longer time without
    /// that, servers may have come and gone unseen.
    pub fn confirm(&mut self, now: MonotonicTime) {
        let Some(observed_since) = &mut self.observed_since else {
            return;
        };
        let was_stale = self
            .confirmed_at
            .is_some_and(|at| now.since(at) >= LIST_MAX_AGE);
        if was_stale {
            *observed_since = now;
        }
        self.confirmed_at = Some(now);
    }

    /// Records a listed server.
    pub fn insert(&mut self, member: &Member, now: MonotonicTime) {
        let entry = (member.service.clone(), member.build.clone());
        if let Some((service, build)) = self.servers.insert(member.name.clone(), entry) {
            self.observe(&service, &build, now);
        }
    }

    /// Records that a server is no longer listed.
    pub fn remove(&mut self, name: &ServerName, now: MonotonicTime) {
        if let Some((service, build)) = self.servers.remove(name) {
            self.observe(&service, &build, now);
        }
    }

    /// Records that a stream of a service runs at a build, which a peer may know of
    /// before this process lists a server with it.
    pub fn observe(&mut self, service: &str, build: &Build, now: MonotonicTime) {
        let seen_at = self.seen_at.entry(service.to_owned()).or_default();
        seen_at.insert(build.clone(), now);
    }

    /// Returns the only build at which streams of a service can have begun within
    /// `period`; `None` if there are several or if that is not certain.
    pub fn find_sole_build(
        &self,
        service: &str,
        period: Duration,
        now: MonotonicTime,
    ) -> Option<&Build> {
        let is_current = self
            .confirmed_at
            .is_some_and(|at| now.since(at) < LIST_MAX_AGE);
        let is_long = self
            .observed_since
            .is_some_and(|since| now.since(since) >= period);
        let sole = self.find_only_seen(service, period, now)?;
        (is_current && is_long).then_some(sole)
    }

    /// Returns the only build of a service that was seen within `period`, however
    /// long this process has observed the servers; `None` if there are several or
    /// none.
    pub fn find_only_seen(
        &self,
        service: &str,
        period: Duration,
        now: MonotonicTime,
    ) -> Option<&Build> {
        let listed = self.servers.values().filter(|(of, _)| of == service);
        let seen = self.seen_at.get(service).into_iter().flatten();
        let mut builds = listed.map(|(_, build)| build).chain(
            seen.filter(|(_, at)| now.since(**at) < period)
                .map(|(build, _)| build),
        );
        let first = builds.next()?;
        builds.all(|build| build == first).then_some(first)
    }

    /// Drops builds that were last seen longer ago than `period`.
    pub fn expire(&mut self, period: Duration, now: MonotonicTime) {
        for seen_at in self.seen_at.values_mut() {
            seen_at.retain(|_, at| now.since(*at) < period);
        }
        self.seen_at.retain(|_, seen_at| !seen_at.is_empty());
    }
}
