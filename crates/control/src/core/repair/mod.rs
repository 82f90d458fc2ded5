//! Repairs the placement of replicas: replaces lost stores, empties retiring ones and uses new
//! ones. [`hooklug_store::placement::plan`] decides on the changes; this module carries them out.
//!
//! The replicas of a group have to be replaced before the next disk is lost. So no round waits for
//! an unresponsive store or a slow group: stores are queried and groups changed concurrently, and
//! the next round starts when a change has finished or a store was registered.

mod changes;
pub mod liveness;
pub mod monitor;
mod statuses;

use std::collections::BTreeSet;
use std::time::Duration;

use hooklug_protocol::copy_on_write::CopyOnWrite;
use hooklug_state::meta::{MetaState, StoreRecord};
use hooklug_store::placement::wanted::is_superseded;
use hooklug_store::placement::{plan, plan_repairs};
use hooklug_types::NodeId;
use tokio::time::Instant;
use tracing::{info, warn};

use super::Shared;
use super::leader::Leading;
use crate::metrics;
use changes::Changes;
use liveness::Signs;
use monitor::{GroupNews, RepairWatch};
use statuses::Statuses;

/// Time between rounds while nothing is to be done.
const CALM_PAUSE: Duration = Duration::from_secs(1);

/// Time between rounds while replicas move and no change finishes.
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Delay after a change has finished, to collect others that finish at about the same time.
const GATHER_PAUSE: Duration = Duration::from_millis(20);

/// The meta state as this core leader last read it.
type KnownMeta = tokio::sync::watch::Receiver<Option<CopyOnWrite<MetaState>>>;

/// Repair state of one core leadership.
struct Repair<'a> {
    shared: &'a Shared,
    signs: Signs,
    statuses: Statuses,
    changes: Changes<'a>,
    watch: RepairWatch,
}

pub(super) async fn run(shared: &Shared, leading: &Leading) {
    let mut repair = Repair {
        shared,
        signs: Signs::new(Instant::now()),
        statuses: Statuses::default(),
        changes: Changes::new(shared, leading),
        watch: RepairWatch::default(),
    };
    let mut known = leading.meta.subscribe();
    loop {
        let meta = known.borrow_and_update().clone();
        let (pause, stores) = match &meta {
            Some(meta) => (repair.round(meta).await, meta.stores.clone()),
            None => (BUSY_PAUSE, Vec::new()),
        };
        repair.rest(pause, &mut known, &stores).await;
    }
}

impl Repair<'_> {
    /// Queries all stores once, starts the planned changes, and returns the pause before the next
    /// round.
    async fn round(&mut self, meta: &MetaState) -> Duration {
        // Changes that finish while the stores are queried may not be visible in the replies, so
        // they count from the next round on.
        self.changes.note_ended();
        let reports = self.statuses.ask(&self.shared.ctx.client, &meta.stores).await;
        let now = Instant::now();
        self.signs.note(&reports, now);
        let meta = &*self.changes.as_of(meta);
        let alive = self.alive(meta, now);
        tell(&self.watch.look(meta, &reports, &alive, now));
        metrics::groups_watched(self.watch.degraded(), self.watch.stalled());
        // Moves that only balance the load are made one at a time, with a pause between them.
        let planned = if self.changes.rested_for(now) < CALM_PAUSE {
            plan_repairs(meta, &reports, &alive)
        } else {
            plan(meta, &reports, &alive)
        };
        // With an unresponsive store, rounds are frequent so that its loss is detected in time.
        let has_silent = alive.iter().any(|store| self.statuses.is_silent(*store));
        let is_calm = planned.is_empty() && self.changes.is_idle() && !has_silent;
        for change in planned {
            self.changes.begin(meta, change, now);
        }
        if is_calm { CALM_PAUSE } else { BUSY_PAUSE }
    }

    fn alive(&self, meta: &MetaState, now: Instant) -> BTreeSet<NodeId> {
        let is_alive = |store: &&StoreRecord| {
            self.signs.is_alive(store.node, now) && !is_superseded(meta, store)
        };
        meta.stores.iter().filter(is_alive).map(|store| store.node).collect()
    }

    /// Waits until a change has finished, the list of stores has changed, or `pause` has passed.
    async fn rest(&mut self, pause: Duration, known: &mut KnownMeta, stores: &[StoreRecord]) {
        let end = tokio::time::sleep(pause);
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => return,
                () = self.changes.ended() => break,
                Ok(()) = known.changed() => {
                    let meta = known.borrow_and_update().clone();
                    if meta.is_some_and(|meta| meta.stores != stores) {
                        return;
                    }
                }
            }
        }
        tokio::time::sleep(GATHER_PAUSE).await;
    }
}

/// Logs changes in the health of groups.
fn tell(news: &[GroupNews]) {
    for news in news {
        match news {
            GroupNews::Degraded { group, wanted, members } => {
                info!(%group, ?wanted, ?members, "a group lacks replicas");
            }
            GroupNews::Whole { group, took } => {
                info!(%group, ?took, "a group has all its replicas again");
                metrics::group_repaired(*took);
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
