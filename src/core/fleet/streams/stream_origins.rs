//! Records at which build streams began, so that they go on only at that one.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;

use super::BuildHistory;
use super::KnownOrigin;
use super::StreamKey;
use super::StreamOrigin;
use crate::core::MonotonicTime;
use crate::core::fleet::Build;

/// Maximum number of recorded streams; the oldest are dropped beyond that.
const MAX_STREAMS: usize = 16_384;

/// Time for which streams are kept by a process that does not know the timeouts of
/// the routes: an agent, or an entry without a configuration.
const DEFAULT_RETENTION: Duration = Duration::from_secs(60);

/// Time that streams are kept beyond the longest timeout of a route.
const RETENTION_MARGIN: Duration = Duration::from_secs(3);

/// Longest time that streams are kept, whatever the timeouts.
const MAX_RETENTION: Duration = Duration::from_secs(120);

/// Streams that began recently and the build of each, with the builds of each
/// service.
///
/// A stream is told to other processes unless this one is certain that all streams
/// of its service began at one build. When it ceases to be certain, it tells the
/// earlier streams as well. Whoever finds no record and is certain of one build may
/// therefore assume that build.
#[derive(Debug)]
pub struct StreamOrigins {
    /// Which builds the services have run.
    pub builds: BuildHistory,
    origins: HashMap<StreamKey, Origin>,
    began: VecDeque<(MonotonicTime, StreamKey)>,
    retention: Duration,
}

#[derive(Debug)]
struct Origin {
    service: String,
    build: Build,
    began_at: MonotonicTime,
    /// Whether other processes have to be told of the stream if its service has
    /// several builds.
    is_untold: bool,
}

impl Default for StreamOrigins {
    fn default() -> Self {
        Self {
            builds: BuildHistory::default(),
            origins: HashMap::new(),
            began: VecDeque::new(),
            retention: DEFAULT_RETENTION,
        }
    }
}

impl StreamOrigins {
    /// Sets how long streams are kept by the longest timeout of a route.
    pub fn set_longest_timeout(&mut self, timeout: Duration) {
        self.retention = (timeout + RETENTION_MARGIN).min(MAX_RETENTION);
    }

    /// Records that the first event of a stream arrived. Returns whether others have
    /// to be told of it now; if not, [`Self::take_untold`] may return it later.
    pub fn begin(&mut self, origin: StreamOrigin, now: MonotonicTime) -> bool {
        let sole = self
            .builds
            .find_sole_build(&origin.service, self.retention, now);
        let has_to_be_told = sole != Some(&origin.build);
        self.insert(origin, true, now);
        has_to_be_told
    }

    /// Records that others have been told of a stream.
    pub fn mark_told(&mut self, stream: StreamKey) {
        if let Some(origin) = self.origins.get_mut(&stream) {
            origin.is_untold = false;
        }
    }

    /// Records a stream that another process told of. One that is known keeps its
    /// build: only the first event decides it.
    pub fn learn(&mut self, origin: StreamOrigin, now: MonotonicTime) {
        self.builds.observe(&origin.service, &origin.build, now);
        if !self.origins.contains_key(&origin.stream) {
            self.insert(origin, false, now);
        }
    }

    fn insert(&mut self, origin: StreamOrigin, is_untold: bool, now: MonotonicTime) {
        if self.origins.len() >= MAX_STREAMS {
            self.remove_oldest();
        }
        self.began.push_back((now, origin.stream));
        let record = Origin {
            service: origin.service,
            build: origin.build,
            began_at: now,
            is_untold,
        };
        self.origins.insert(origin.stream, record);
    }

    fn remove_oldest(&mut self) {
        if let Some((began_at, stream)) = self.began.pop_front()
            && self
                .origins
                .get(&stream)
                .is_some_and(|origin| origin.began_at == began_at)
        {
            self.origins.remove(&stream);
        }
    }

    /// Returns the streams that others have to be told of, each once: those of
    /// services that are not certain to have had one build all the while.
    pub fn take_untold(&mut self, now: MonotonicTime) -> Vec<StreamOrigin> {
        let (builds, retention) = (&self.builds, self.retention);
        let mut is_certain: HashMap<&str, bool> = HashMap::new();
        let mut untold = Vec::new();
        for (stream, origin) in &mut self.origins {
            if !origin.is_untold {
                continue;
            }
            let is_certain = is_certain.entry(&origin.service).or_insert_with(|| {
                builds
                    .find_sole_build(&origin.service, retention, now)
                    .is_some()
            });
            if !*is_certain {
                origin.is_untold = false;
                untold.push(StreamOrigin {
                    stream: *stream,
                    service: origin.service.clone(),
                    build: origin.build.clone(),
                });
            }
        }
        untold
    }

    /// Returns what is known of a stream of a service.
    pub fn find(&self, stream: StreamKey, service: &str, now: MonotonicTime) -> KnownOrigin {
        KnownOrigin {
            recorded: self.origins.get(&stream).map(|origin| origin.build.clone()),
            sole: self
                .builds
                .find_sole_build(service, self.retention, now)
                .cloned(),
        }
    }

    /// Decides at which build a stream goes on, by what this process and the
    /// `answers` of the `asked` others know; `None` if that is not certain.
    ///
    /// A recorded build is certain. Without any record, the stream began while all
    /// builds that could be seen were one, and only a process that has observed
    /// the servers long enough knows which. What this process has seen itself must
    /// not contradict it. If nobody answers, this process may be cut off, and
    /// streams may have begun at builds that it has not seen.
    pub fn decide_build(
        &self,
        stream: StreamKey,
        service: &str,
        asked: usize,
        answers: &[KnownOrigin],
        now: MonotonicTime,
    ) -> Option<Build> {
        let own = self.find(stream, service, now);
        let recorded = answers.iter().find_map(|answer| answer.recorded.clone());
        if let Some(build) = own.recorded.or(recorded) {
            return Some(build);
        }
        if asked > 0 && answers.is_empty() {
            return None;
        }
        let mut sole = own
            .sole
            .iter()
            .chain(answers.iter().filter_map(|a| a.sole.as_ref()));
        let first = sole.next()?;
        let seen = self.builds.find_only_seen(service, self.retention, now)?;
        (seen == first && sole.all(|build| build == first)).then(|| first.clone())
    }

    /// Drops what is older than streams last.
    pub fn expire(&mut self, now: MonotonicTime) {
        while self
            .began
            .front()
            .is_some_and(|(began_at, _)| now.since(*began_at) >= self.retention)
        {
            self.remove_oldest();
        }
        self.builds.expire(self.retention, now);
    }
}
