//! Keeps each group's replicas where they should be: replaces lost stores, empties retiring ones, uses new
//! ones. What to do next is decided by [`hooklug_store::placement::plan`]; here it is carried out.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use futures::future::join_all;
use hooklug_protocol::control::MemberHealth;
use hooklug_protocol::store::{ChangeReplicas, GroupStatus};
use hooklug_state::meta::{MetaCommand, MetaReply, MetaState, StoreRecord, StoreState};
use hooklug_store::placement::wanted::is_superseded;
use hooklug_store::placement::{PlannedChange, StoreReport, plan};
use hooklug_types::NodeId;
use tokio::time::Instant;
use tracing::{info, warn};

use super::Shared;
use super::leader::Leading;
use super::members::DEAD_AFTER;
use super::repair_watch::{GroupNews, RepairWatch};
use crate::figures;

/// Pause between looks while nothing is to be done (ours).
const CALM_PAUSE: Duration = Duration::from_secs(1);

/// Pause between looks while replicas move (ours).
const BUSY_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for a store's status (ours).
const STATUS_TIME: Duration = Duration::from_secs(1);

/// Longest wait for one change; it is planned anew when it was not confirmed (ours).
const CHANGE_TIME: Duration = Duration::from_secs(3);

/// When each store gave its last sign of life to this leader.
#[derive(Debug)]
struct Signs {
    since: Instant,
    last: BTreeMap<NodeId, Instant>,
}

impl Signs {
    fn new(since: Instant) -> Self {
        Self { since, last: BTreeMap::new() }
    }

    fn note(&mut self, store: NodeId, now: Instant) {
        self.last.insert(store, now);
    }

    /// A store is lost only after a full time of silence under this leader.
    fn is_alive(&self, store: NodeId, now: Instant) -> bool {
        let last = self.last.get(&store).copied().unwrap_or(self.since);
        now.saturating_duration_since(last) < DEAD_AFTER
    }
}

pub(super) async fn run(shared: &Shared, leading: &Leading) {
    let mut signs = Signs::new(Instant::now());
    let mut watch = RepairWatch::default();
    loop {
        let meta = leading.meta.borrow().clone();
        let pause = match meta {
            Some(meta) => round(shared, leading, &meta, &mut signs, &mut watch).await,
            None => BUSY_PAUSE,
        };
        tokio::time::sleep(pause).await;
    }
}

/// One look at all stores, and the changes that it asks for.
async fn round(
    shared: &Shared,
    leading: &Leading,
    meta: &MetaState,
    signs: &mut Signs,
    watch: &mut RepairWatch,
) -> Duration {
    let reports = ask_stores(shared, meta).await;
    let now = Instant::now();
    reports.iter().for_each(|report| signs.note(report.node, now));
    for member in shared.published.view().members.values() {
        if member.health == MemberHealth::Alive {
            signs.note(member.address.node, now);
        }
    }
    let is_alive = |s: &&StoreRecord| signs.is_alive(s.node, now) && !is_superseded(meta, s);
    let alive: BTreeSet<NodeId> = meta.stores.iter().filter(is_alive).map(|s| s.node).collect();
    tell(&watch.look(meta, &reports, &alive, now));
    figures::groups_watched(watch.degraded(), watch.stalled());
    let changes = plan(meta, &reports, &alive);
    if changes.is_empty() {
        return CALM_PAUSE;
    }
    join_all(changes.into_iter().map(|change| make(shared, leading, meta, change))).await;
    leading.meta_due.notify_one();
    BUSY_PAUSE
}

/// Tells operators what became of the groups.
fn tell(news: &[GroupNews]) {
    for news in news {
        match news {
            GroupNews::Degraded { group, wanted, members } => {
                info!(%group, ?wanted, ?members, "a group lacks replicas");
            }
            GroupNews::Whole { group, took } => {
                info!(%group, ?took, "a group has all its replicas again");
                figures::group_repaired(*took);
            }
            GroupNews::Stalled { group, stalled_for, leader: None } => {
                warn!(%group, ?stalled_for, "a group has no leader");
            }
            GroupNews::Stalled { group, stalled_for, leader: Some(leader) } => {
                warn!(%group, ?stalled_for, leader = %leader.node, commit = leader.commit,
                    last_index = leader.last_index, members = ?leader.newest_conf,
                    progress = ?leader.progress, "a group commits nothing");
            }
            GroupNews::Moving { group, stalled_for } => {
                warn!(%group, ?stalled_for, "a group commits again");
            }
        }
    }
}

async fn ask_stores(shared: &Shared, meta: &MetaState) -> Vec<StoreReport> {
    let present = meta.stores.iter().filter(|s| s.state != StoreState::Removed);
    let asked = present.map(|store| async move {
        let deadline = Instant::now() + STATUS_TIME;
        let replicas = shared.ctx.client.call(store.address, &GroupStatus, deadline).await.ok()?;
        // The address may have been reused by another store.
        let peer = shared.ctx.client.peer(store.address, deadline).await.ok()?;
        (peer.node == store.node).then_some(StoreReport { node: store.node, replicas })
    });
    join_all(asked).await.into_iter().flatten().collect()
}

async fn make(shared: &Shared, leading: &Leading, meta: &MetaState, change: PlannedChange) {
    let epoch = leading.epoch;
    match change {
        PlannedChange::SetPlacement { group, expected, placement } => {
            info!(%group, ?expected, ?placement, "new placement");
            let command = MetaCommand::SetPlacement { epoch, group, expected, placement };
            write(shared, &command).await;
        }
        PlannedChange::RemoveStore { node } => {
            info!(store = %node, "nothing is left on the store, it is removed");
            let state = StoreState::Removed;
            write(shared, &MetaCommand::SetStoreState { epoch, node, state }).await;
        }
        PlannedChange::ChangeReplicas { group, leader, change } => {
            let Some(store) = record(meta, leader) else { return };
            info!(%group, ?change, leader = %leader, "membership change");
            let request = ChangeReplicas { group, change, epoch };
            let deadline = Instant::now() + CHANGE_TIME;
            match shared.ctx.client.call(store.address, &request, deadline).await {
                Ok(Ok(())) => figures::replicas_changed(true),
                Ok(Err(fault)) => {
                    figures::replicas_changed(false);
                    warn!(%group, %fault, "membership change not made");
                }
                Err(error) => {
                    figures::replicas_changed(false);
                    warn!(%group, %error, "membership change not confirmed");
                }
            }
        }
    }
}

fn record(meta: &MetaState, node: NodeId) -> Option<&StoreRecord> {
    meta.stores.iter().find(|store| store.node == node)
}

async fn write(shared: &Shared, command: &MetaCommand) {
    match shared.ctx.state.execute_meta(command, Instant::now() + CHANGE_TIME).await {
        Ok(MetaReply::Refused(refusal)) => warn!(%refusal, "change refused"),
        Ok(_) => {}
        Err(error) => warn!(%error, "change not confirmed"),
    }
}
