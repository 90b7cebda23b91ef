//! Target versions of one model, and how long an engine's weights have been
//! outdated.

use std::collections::VecDeque;

use super::TargetVersion;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;

/// Maximum number of versions kept. An engine that is further behind counts as
/// outdated since the oldest of them.
const MAX_VERSIONS: usize = 32;

/// How an engine's weights version compares with the target versions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(in crate::core::fleet) enum VersionStatus {
    /// No newer version is known.
    Current,
    /// An older version. Holds a time after which the first newer version was named, or
    /// `None` if it is unknown when that was.
    Outdated(Option<MonotonicTime>),
}

/// Target versions of one model, each with a time after which it was named.
/// An engine is outdated from the first newer version on; later versions do not
/// restart that time.
#[derive(Debug, Default)]
pub(in crate::core::fleet) struct TargetHistory {
    versions: VecDeque<(TargetVersion, Option<MonotonicTime>)>,
}

impl TargetHistory {
    /// Appends a version if it is newer than all known ones, and returns
    /// whether it is. It was named after `named_after`, or at an unknown time.
    pub fn add_if_newer(
        &mut self,
        target: &TargetVersion,
        named_after: Option<MonotonicTime>,
    ) -> bool {
        let is_newer = self
            .newest()
            .is_none_or(|newest| newest.version < target.version);
        if is_newer {
            if self.versions.len() >= MAX_VERSIONS {
                self.versions.pop_front();
            }
            self.versions.push_back((target.clone(), named_after));
        }
        is_newer
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<&TargetVersion> {
        self.versions.back().map(|(target, _)| target)
    }

    /// Returns the status of an engine that serves `version`.
    pub fn status_of(&self, version: WeightsVersion) -> VersionStatus {
        self.versions
            .iter()
            .find(|(target, _)| target.version > version)
            .map_or(VersionStatus::Current, |(_, named_after)| {
                VersionStatus::Outdated(*named_after)
            })
    }
}
