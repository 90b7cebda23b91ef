//! Holds the rules in force in this process and replaces them when a newer
//! revision arrives.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use arc_swap::ArcSwap;
use arc_swap::ArcSwapOption;
use arc_swap::Guard;
use tokio::sync::watch;

use crate::core::Revision;
use crate::core::config::RulesRecord;
use crate::core::config::RulesUpdate;
use crate::peer::PeerError;
use crate::rules::RuleError;
use crate::rules::RuleSet;
use crate::rules::parse_rules;
use crate::timeline::EventKind;
use crate::timeline::Recorder;

/// A record that was not put in force because its text has errors.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RejectedRecord {
    /// Revision of the record.
    pub revision: Revision,
    /// Errors in the text; at least one.
    pub errors: Vec<RuleError>,
}

impl fmt::Display for RejectedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "revision {} has {} errors",
            self.revision,
            self.errors.len()
        )
    }
}

/// Peer from which newer rules can be fetched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewerRulesPeer {
    /// Revision in force at the peer.
    pub revision: Revision,
    /// Address at which the peer serves control messages.
    pub peer: SocketAddr,
}

/// Rules in force in this process. Readers on any thread get a snapshot. The
/// revision never decreases.
#[derive(Debug)]
pub struct RulesInForce {
    rules: ArcSwap<RuleSet>,
    record: ArcSwapOption<RulesRecord>,
    previous: ArcSwapOption<RulesRecord>,
    newer_rules_peer: watch::Sender<Option<NewerRulesPeer>>,
    revision: watch::Sender<Revision>,
    adopt_lock: Mutex<()>,
    timeline: Arc<Recorder>,
}

impl RulesInForce {
    /// Creates the holder with `rules` in force until the first newer record is
    /// adopted.
    pub fn new(rules: RuleSet, timeline: Arc<Recorder>) -> Self {
        Self {
            revision: watch::Sender::new(rules.revision),
            rules: ArcSwap::new(Arc::new(rules)),
            record: ArcSwapOption::empty(),
            previous: ArcSwapOption::empty(),
            newer_rules_peer: watch::Sender::new(None),
            adopt_lock: Mutex::new(()),
            timeline,
        }
    }

    /// Returns the rules in force, for a brief read; [`Self::load_full`] is for
    /// keeping them longer.
    pub fn load(&self) -> Guard<Arc<RuleSet>> {
        self.rules.load()
    }

    /// Returns the rules in force as an owned snapshot.
    pub fn load_full(&self) -> Arc<RuleSet> {
        self.rules.load_full()
    }

    /// Returns the accepted record of the rules in force; `None` while the
    /// initial rules are in force.
    pub fn record(&self) -> Option<Arc<RulesRecord>> {
        self.record.load_full()
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        *self.revision.borrow()
    }

    /// Returns a receiver that changes with each newer revision.
    pub fn subscribe(&self) -> watch::Receiver<Revision> {
        self.revision.subscribe()
    }

    /// Records that a peer has this revision in force. If the revision is newer
    /// than the one here and the address is known, newer rules are fetched from
    /// this peer.
    pub fn record_peer_revision(&self, revision: Revision, peer: Option<SocketAddr>) {
        if revision <= self.revision() {
            return;
        }
        if let Some(peer) = peer {
            self.newer_rules_peer
                .send_replace(Some(NewerRulesPeer { revision, peer }));
        }
    }

    /// Returns a receiver of the peer to fetch newer rules from; it holds only the
    /// latest one.
    pub fn subscribe_newer_rules_peer(&self) -> watch::Receiver<Option<NewerRulesPeer>> {
        self.newer_rules_peer.subscribe()
    }

    /// Returns the update for a peer that holds revision `held`; `None` if that
    /// revision is not older than the one here.
    pub fn build_update(&self, held: Revision) -> Option<RulesUpdate> {
        let record = self.record().filter(|record| record.revision > held)?;
        let previous = self.previous.load();
        Some(RulesUpdate::build(&record, previous.as_deref(), held))
    }

    /// Adopts a record that a peer or an operator's command sent. Returns the
    /// revision in force afterwards.
    ///
    /// # Errors
    ///
    /// The text has errors; the rules in force stay.
    pub fn adopt_from_peer(&self, record: RulesRecord) -> Result<Revision, PeerError> {
        match self.adopt(Arc::new(record)) {
            Ok(_) => Ok(self.revision()),
            Err(rejected) => {
                log::warn!("config: Rules from a peer rejected: {rejected}.");
                Err(PeerError::Invalid)
            }
        }
    }

    /// Puts a record in force if it is newer. Returns whether it was newer.
    ///
    /// # Errors
    ///
    /// The text has errors; the rules in force stay.
    pub fn adopt(&self, record: Arc<RulesRecord>) -> Result<bool, RejectedRecord> {
        let _guard = self
            .adopt_lock
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if record.revision <= self.revision() {
            return Ok(false);
        }
        let rules =
            parse_rules(&record.text, record.revision).map_err(|errors| RejectedRecord {
                revision: record.revision,
                errors,
            })?;
        self.rules.store(Arc::new(rules));
        let revision = record.revision;
        self.previous.store(self.record.swap(Some(record)));
        self.revision.send_replace(revision);
        self.timeline
            .record(None, EventKind::RulesInForce(revision));
        Ok(true)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn make_rules() -> RulesInForce {
        RulesInForce::new(RuleSet::default(), Arc::new(Recorder::new("p")))
    }

    fn make_record(revision: u64, text: &str) -> Arc<RulesRecord> {
        Arc::new(RulesRecord {
            revision: Revision(revision),
            parent: Revision(revision - 1),
            accept_id: format!("accept-{revision}"),
            accepted_by: "desk-operator".into(),
            reason: "test".into(),
            accepted_at_ms: 0,
            text: text.into(),
        })
    }

    #[test]
    fn adopt_newer() {
        let rules = make_rules();
        let record = make_record(3, "pool drafting # the desk\n");
        assert_eq!(rules.adopt(Arc::clone(&record)), Ok(true));
        assert_eq!(rules.revision(), Revision(3));
        assert!(rules.load().find_pool("drafting").is_some());
        assert_eq!(rules.record(), Some(record));
    }

    #[test]
    fn adopt_older_changes_nothing() {
        let rules = make_rules();
        let newer = make_record(3, "pool drafting # the desk\n");
        assert_eq!(rules.adopt(newer), Ok(true));
        let older = make_record(2, "pool sorting # the desk\n");
        assert_eq!(rules.adopt(older), Ok(false));
        assert_eq!(rules.load().revision, Revision(3));
        assert!(rules.load().find_pool("sorting").is_none());
    }

    #[test]
    fn adopt_invalid_changes_nothing() {
        let rules = make_rules();
        let newer = make_record(3, "pool drafting # the desk\n");
        assert_eq!(rules.adopt(newer), Ok(true));
        let invalid = make_record(4, "pool sorting\n");
        let rejected = rules
            .adopt(invalid)
            .expect_err("a rule without a comment is rejected");
        assert_eq!(rejected.errors.len(), 1);
        assert_eq!(rules.revision(), Revision(3));
        assert!(rules.load().find_pool("drafting").is_some());
    }
}
