//! Builds at which a call may run.

use std::sync::Arc;

use crate::core::fleet::Build;

/// Builds at which a call may run. Cloning is cheap.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum BuildFilter {
    /// All builds.
    #[default]
    Any,
    /// One build.
    Only(Build),
    /// All builds but these.
    Except(Arc<[Build]>),
}

impl BuildFilter {
    /// Returns whether a call may run at a build.
    pub fn allows(&self, build: &Build) -> bool {
        match self {
            Self::Any => true,
            Self::Only(only) => only == build,
            Self::Except(barred) => !barred.contains(build),
        }
    }
}
