//! What one side of a connection knows that the other one has received.

use std::collections::HashMap;
use std::mem::take;

use crate::core::fleet::TargetVersion;
use crate::core::fleet::UsageCursor;

/// State of one connection between entries, on one of its sides: what the other side has
/// received over it, so that it is not sent again. Each side sends a message only after
/// the other's, and a connection ends with the first message that is lost, so that a
/// message confirms the one before it.
#[derive(Debug, Default)]
pub struct RelayLink {
    sent: Content,
    confirmed: Content,
}

/// Content of messages, as far as it is not sent again once it was received.
#[derive(Debug, Default)]
struct Content {
    usage: HashMap<String, UsageCursor>,
    targets: Option<Vec<TargetVersion>>,
}

impl RelayLink {
    /// Records a message of the other side, which may ask for everything again.
    pub fn record_received(&mut self, wants_all: bool) {
        let sent = take(&mut self.sent);
        if wants_all {
            self.confirmed = Content::default();
            return;
        }
        self.confirmed.usage.extend(sent.usage);
        if sent.targets.is_some() {
            self.confirmed.targets = sent.targets;
        }
    }

    /// Returns up to where the other side knows the admissions of an entry.
    pub fn known_usage(&self, entry: &str) -> Option<UsageCursor> {
        self.confirmed.usage.get(entry).copied()
    }

    /// Records that the next message holds the admissions of an entry up to `cursor`.
    pub fn record_usage(&mut self, entry: &str, cursor: UsageCursor) {
        self.sent.usage.insert(entry.into(), cursor);
    }

    /// Returns the target versions for the next message: none if the other side has all.
    pub fn select_targets(&mut self, targets: Vec<TargetVersion>) -> Vec<TargetVersion> {
        if self.confirmed.targets.as_ref() == Some(&targets) {
            return Vec::new();
        }
        self.sent.targets = Some(targets.clone());
        targets
    }
}
