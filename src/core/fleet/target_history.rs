//! The weights versions of one model that the operator has named.

use std::collections::VecDeque;

use super::TargetVersion;
use crate::core::MonotonicTime;
use crate::core::WeightsVersion;

/// Versions kept; an engine that is further behind counts as behind since the
/// oldest of them.
const MAX_KEPT: usize = 32;

/// How an engine's weights stand against what is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Standing {
    /// It has the newest version.
    Current,
    /// A newer version was named; the time at which the first such one became
    /// known, if this process ran then.
    Behind(Option<MonotonicTime>),
}

/// The weights versions of one model that the operator has named, each with
/// the time at which it became known. Each version is judged from its own
/// naming: a later one does not give an engine more time.
#[derive(Debug, Default)]
pub(super) struct TargetHistory {
    versions: VecDeque<(TargetVersion, Option<MonotonicTime>)>,
}

impl TargetHistory {
    /// Takes note of a version; true if it is newer than all known ones.
    pub fn note(&mut self, wanted: &TargetVersion, learned_at: Option<MonotonicTime>) -> bool {
        let is_newer = self
            .newest()
            .is_none_or(|newest| newest.version < wanted.version);
        if is_newer {
            if self.versions.len() >= MAX_KEPT {
                self.versions.pop_front();
            }
            self.versions.push_back((wanted.clone(), learned_at));
        }
        is_newer
    }

    /// Returns the newest version.
    pub fn newest(&self) -> Option<&TargetVersion> {
        self.versions.back().map(|(wanted, _)| wanted)
    }

    /// Tells how an engine with a version stands.
    pub fn standing(&self, version: WeightsVersion) -> Standing {
        self.versions
            .iter()
            .find(|(wanted, _)| wanted.version > version)
            .map_or(Standing::Current, |(_, learned_at)| {
                Standing::Behind(*learned_at)
            })
    }
}
