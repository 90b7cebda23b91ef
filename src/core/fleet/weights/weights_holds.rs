//! Holds on the weights of one engine.

use std::collections::HashMap;
use std::collections::HashSet;

use super::WeightsHold;
use crate::core::WeightsVersion;
use crate::core::fleet::ModelName;

/// Maximum number of holds on one version. Those of calls whose end is unknown stay until
/// the version is replaced.
const MAX_HOLDS: usize = 4_096;

/// Holds on the version of one model that the engine serves.
#[derive(Debug)]
struct VersionHolds {
    version: WeightsVersion,
    ids: HashSet<u64>,
    /// Whether an earlier process may have granted others.
    has_unknown: bool,
}

/// Holds on the weights that an engine serves. They end with the version.
#[derive(Debug, Default)]
pub(super) struct WeightsHolds {
    models: HashMap<ModelName, VersionHolds>,
    has_predecessor: bool,
}

impl WeightsHolds {
    /// Records that an earlier process may have granted holds on what the engine serves.
    pub fn record_predecessor(&mut self) {
        self.has_predecessor = true;
        for holds in self.models.values_mut() {
            holds.has_unknown = true;
        }
    }

    /// Records the versions that the engine serves. Holds on others end.
    pub fn observe_versions(&mut self, versions: &[(ModelName, WeightsVersion)]) {
        for (model, version) in versions {
            match self.models.get_mut(model) {
                Some(holds) if holds.version == *version => {}
                Some(holds) => {
                    *holds = VersionHolds {
                        version: *version,
                        ids: HashSet::new(),
                        has_unknown: false,
                    };
                }
                None => {
                    let holds = VersionHolds {
                        version: *version,
                        ids: HashSet::new(),
                        has_unknown: self.has_predecessor,
                    };
                    self.models.insert(model.clone(), holds);
                }
            }
        }
    }

    /// Adds a hold. Returns false if the engine serves another version, or there are too
    /// many.
    pub fn add(&mut self, hold: &WeightsHold) -> bool {
        let holds = self.models.get_mut(&hold.model);
        let Some(holds) = holds.filter(|holds| holds.version == hold.version) else {
            return false;
        };
        holds.ids.len() < MAX_HOLDS && holds.ids.insert(hold.id)
    }

    /// Ends a hold.
    pub fn remove(&mut self, id: u64) {
        for holds in self.models.values_mut() {
            holds.ids.remove(&id);
        }
    }

    /// Returns the number of known holds on a model's weights.
    pub fn count(&self, model: &ModelName) -> usize {
        self.models.get(model).map_or(0, |holds| holds.ids.len())
    }

    /// Returns whether there may be holds on a model's weights that this process does not
    /// know.
    pub fn has_unknown(&self, model: &ModelName) -> bool {
        self.models.get(model).is_none_or(|holds| holds.has_unknown)
    }
}
