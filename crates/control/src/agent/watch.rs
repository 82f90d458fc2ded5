//! Follows the cluster view from a core, and polls the stores' meta state while no core is
//! reachable.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::control::{ViewChange, ViewItem, WatchView};
use hooklug_protocol::member_map::SharedMember;
use hooklug_state::meta::{MetaAnswer, MetaQuery, MetaState};
use hooklug_types::NodeRole;
use rand::seq::SliceRandom;
use tokio::time::timeout;
use tracing::{debug, info};

use super::Shared;
use crate::view::{ApplyResult, apply_item};

/// Delay before the next core is tried.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time without an item after which another core is followed; cores send an empty item each second.
const STREAM_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time between reads of the stores' meta state while no core serves the view.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

pub(super) async fn run(shared: Arc<Shared>) {
    tokio::join!(follow_cores(&shared), poll_stores(&shared));
}

async fn follow_cores(shared: &Shared) {
    loop {
        for core in cores(shared) {
            follow(shared, core).await;
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
}

/// Returns the cores in random order, so that nodes spread over them.
fn cores(shared: &Shared) -> Vec<SocketAddr> {
    let mut cores = shared.peers().addresses(NodeRole::Core);
    cores.shuffle(&mut rand::rng());
    cores
}

/// Follows one core until it ends the stream or stops responding.
async fn follow(shared: &Shared, core: SocketAddr) {
    let request = WatchView { from: shared.identity.address.clone() };
    let opened = shared.client.open(core, &request, shared.deadline()).await;
    let Ok(mut items) = opened else { return };
    loop {
        let Ok(next) = timeout(STREAM_TIMEOUT, items.next()).await else {
            info!(%core, "view stream timed out; trying another core");
            return;
        };
        match next {
            Ok(Some(item)) => {
                shared.reachability.record_core_reply();
                if !apply(shared, item) {
                    debug!(%core, "view stream has a gap; reopening it");
                    return;
                }
            }
            Ok(None) => return,
            Err(error) => {
                info!(%core, %error, "view stream failed; trying another core");
                return;
            }
        }
    }
}

/// Applies an item; returns false if it does not follow the known revision.
fn apply(shared: &Shared, item: ViewItem) -> bool {
    // A keepalive without changes, sent each second; the view is not copied for it.
    if matches!(&item, ViewItem::Changes { to, .. } if *to <= shared.view.borrow().revision) {
        return true;
    }
    let members = changed_members(&item);
    let mut applied = ApplyResult::Stale;
    let changed = shared.change_view(|view| {
        applied = apply_item(view, item);
        applied == ApplyResult::Changed
    });
    if changed {
        shared.view_changed(&members);
    }
    applied != ApplyResult::Gap
}

/// Returns the members that an item adds or updates.
fn changed_members(item: &ViewItem) -> Vec<SharedMember> {
    let changed_member = |change: &ViewChange| match change {
        ViewChange::Member(member) => Some(member.clone()),
        _ => None,
    };
    match item {
        ViewItem::Full(view) => view.members.iter().map(|(_, member)| member.clone()).collect(),
        ViewItem::Changes { changes, .. } => changes.iter().filter_map(changed_member).collect(),
    }
}

async fn poll_stores(shared: &Shared) {
    loop {
        if !shared.reachability.core_is_reachable() {
            poll(shared).await;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Reads the meta state from the stores. Members and engines keep their last known state.
async fn poll(shared: &Shared) {
    let reply = shared.state.query_meta(&MetaQuery::State, shared.deadline()).await;
    let Ok(MetaAnswer::State(state)) = reply else { return };
    shared.reachability.record_store_reply();
    let changed = shared.change_view(|view| {
        let changed = is_not_older(&state, &view.meta) && *view.meta != *state;
        if changed {
            view.meta = (*state).into();
        }
        changed
    });
    if changed {
        shared.view_changed(&[]);
    }
}

/// Returns whether a state read from a quorum is not older than the known one.
fn is_not_older(read: &MetaState, known: &MetaState) -> bool {
    let version = |state: &MetaState| state.bundle.as_ref().map(|b| b.version);
    let epoch = |state: &MetaState| state.leader.as_ref().map(|l| (l.epoch, l.renewal));
    version(read) >= version(known) && epoch(read) >= epoch(known)
}
