//! Settings of admission control.

use super::Section;

/// Settings of admission control.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AdmissionSettings {
    /// Whether calls wait in the gateway while servers have no room. The option
    /// `pressure` enables it as well.
    pub is_enabled: bool,
}

impl AdmissionSettings {
    /// Reads the section `admission`.
    pub fn read(section: &mut Section) -> Self {
        Self {
            is_enabled: section.take("enabled", false),
        }
    }
}
