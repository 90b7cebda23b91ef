//! Learns the list of backend servers from peers that read the store, and serves
//! it to peers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use tarpc::context::Context;
use tokio::time::sleep;

use super::context::GatewayContext;
use crate::core::MonotonicTime;
use crate::core::fleet::Member;
use crate::core::fleet::MemberChange;
use crate::core::fleet::MemberSource;
use crate::core::fleet::choose_member_source;
use crate::mesh::MembersCursor;
use crate::mesh::MembersUpdate;
use crate::mesh::connect_mesh;
use crate::ports::Area;

/// Interval between checks for changes that peers wait for. Changes within it
/// need one response.
const CHANGE_POLL_INTERVAL: Duration = Duration::from_millis(150);

/// Number of checks after which a request is answered without changes, so that
/// the peer knows that this entry is alive.
const MAX_CHANGE_POLLS: u32 = 4;

/// Timeout of a request for changes.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time after the start in which an entry reads the store itself. Many entries
/// may have started together, and each knows only some of the others at first.
const SETTLE_TIME: Duration = Duration::from_secs(10);

/// Time for which a peer that does not serve the list is not asked again.
const READER_EXCLUSION: Duration = Duration::from_secs(5);

/// Returns the changes of this entry's list after `known`, once there are some
/// or after a while; `None` if this entry does not read the store, or cannot
/// reach it.
pub async fn serve_members(cx: &GatewayContext, known: MembersCursor) -> Option<MembersUpdate> {
    let mut polls = 0;
    while polls < MAX_CHANGE_POLLS && known == current_cursor(cx) {
        sleep(CHANGE_POLL_INTERVAL).await;
        polls += 1;
    }
    let cursor = current_cursor(cx);
    let state = cx.lock();
    if !state.has_members || state.follows_peer_members || state.directory.is_store_failing() {
        return None;
    }
    let changes = (known.incarnation == cx.incarnation)
        .then(|| state.member_log.changes_since(known.next_number))
        .flatten();
    Some(MembersUpdate {
        cursor,
        revision: state.progress[Area::Members.index()].complete_revision,
        is_full_list: changes.is_none(),
        changes: changes.unwrap_or_else(|| {
            let members = state.directory.list().into_iter();
            members.map(MemberChange::Listed).collect()
        }),
    })
}

fn current_cursor(cx: &GatewayContext) -> MembersCursor {
    MembersCursor {
        incarnation: cx.incarnation,
        next_number: cx.lock().member_log.next_number(),
    }
}

/// Peers that did not serve the list, by name, with the time of their last
/// failure.
#[derive(Debug, Default)]
pub struct FailedReaders(HashMap<String, MonotonicTime>);

impl FailedReaders {
    fn is_usable(&self, name: &str, now: MonotonicTime) -> bool {
        let failed_at = self.0.get(name);
        failed_at.is_none_or(|at| now.since(*at) >= READER_EXCLUSION)
    }
}

/// Returns whether this entry reads the list from the store by choice, and not
/// only because no peer serves it.
pub fn is_member_reader(cx: &GatewayContext) -> bool {
    let peers = cx.known_entries.list_names(cx.now());
    choose_member_source(&cx.settings.name, &peers) == MemberSource::Store
}

/// Follows the list of the preferred peer until that fails. Returns false at
/// once if this entry has to read the store.
pub async fn follow_peer_members(cx: &GatewayContext, failed: &mut FailedReaders) -> bool {
    let now = cx.now();
    if now.since(MonotonicTime::ZERO) < SETTLE_TIME {
        return false;
    }
    let peers = cx.known_entries.list_names(now);
    let MemberSource::Peers(readers) = choose_member_source(&cx.settings.name, &peers) else {
        return false;
    };
    let Some(reader) = readers.into_iter().find(|name| failed.is_usable(name, now)) else {
        return false;
    };
    let reason = follow_reader(cx, &reader).await;
    cx.lock().follows_peer_members = false;
    log::info!("members: lost peer={reader} reason=\"{reason}\"");
    failed.0.insert(reader, cx.now());
    true
}

/// Applies the changes of one peer's list until a request fails or this entry
/// becomes a reader itself, and returns the reason.
async fn follow_reader(cx: &GatewayContext, reader: &str) -> String {
    let Some(address) = cx.known_entries.find_address(reader) else {
        return "its address is unknown".into();
    };
    let client = match connect_mesh(address).await {
        Ok(client) => client,
        Err(e) => return e.to_string(),
    };
    log::info!("members: followed peer={reader} address={address}");
    let mut known = MembersCursor::default();
    loop {
        let mut context: Context = tarpc::context::current();
        context.deadline = Instant::now() + FOLLOW_TIMEOUT;
        match client.follow_members(context, known).await {
            Ok(Some(update)) if is_older_list(cx, &update) => return "its list is older".into(),
            Ok(Some(update)) => {
                known = update.cursor;
                apply_update(cx, update);
            }
            Ok(None) => return "it does not read the store".into(),
            Err(e) => return e.to_string(),
        }
        if is_member_reader(cx) {
            return "this entry reads the store".into();
        }
    }
}

/// Returns whether this entry has read a newer list than the full one that a peer
/// sent, which would bring back servers that have gone.
fn is_older_list(cx: &GatewayContext, update: &MembersUpdate) -> bool {
    let state = cx.lock();
    let own_revision = state.progress[Area::Members.index()].complete_revision;
    update.is_full_list && update.revision < own_revision
}

fn apply_update(cx: &GatewayContext, update: MembersUpdate) {
    let now = cx.now();
    let mut state = cx.lock();
    state.follows_peer_members = true;
    let progress = &mut state.progress[Area::Members.index()];
    progress.complete_revision = progress.complete_revision.max(update.revision);
    let changes: Vec<MemberChange> = if update.is_full_list {
        let members: Vec<Member> = update
            .changes
            .into_iter()
            .filter_map(|change| match change {
                MemberChange::Listed(member) => Some(member),
                MemberChange::Removed(_) => None,
            })
            .collect();
        state.directory.adopt_all(members, now)
    } else {
        let adopted = update.changes.into_iter();
        adopted
            .filter_map(|change| state.directory.adopt(change, now))
            .collect()
    };
    state.apply_member_changes(changes, now);
    state.streams.builds.confirm(now);
}
