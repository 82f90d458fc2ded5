//! Keeps each group's replicas where they should be: replaces lost stores, empties retiring ones, uses new
//! ones. What to do next is decided by [`hooklug_store::placement::plan`]; here it is carried out.
//!
//! A group's places have to be filled before the next disk is lost. So no round waits for a store that is
//! silent or for a group that is slow: stores are asked and groups changed side by side, and the next round
//! begins when a change has ended or a store has been registered.

mod changes;
pub mod signs;
mod statuses;
pub mod watch;

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
use crate::figures;
use changes::Changes;
use signs::Signs;
use statuses::Statuses;
use watch::{GroupNews, RepairWatch};

/// Pause between looks while nothing is to be done (ours).
const CALM_PAUSE: Duration = Duration::from_secs(1);

/// Pause between looks while replicas move and no change ends (ours).
const BUSY_PAUSE: Duration = Duration::from_millis(100);

/// Pause after a change has ended, for others that end about then (ours).
const GATHER_PAUSE: Duration = Duration::from_millis(20);

/// The meta state as this core leader last read it.
type KnownMeta = tokio::sync::watch::Receiver<Option<CopyOnWrite<MetaState>>>;

/// The repair under one core leadership.
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
    /// One look at all stores; begins the changes that it asks for.
    async fn round(&mut self, meta: &MetaState) -> Duration {
        // What ends while the stores are asked may not show in their answers: it counts from the next round on.
        self.changes.note_ended();
        let reports = self.statuses.ask(&self.shared.ctx.client, &meta.stores).await;
        let now = Instant::now();
        self.signs.note(&reports, now);
        let meta = &*self.changes.as_of(meta);
        let alive = self.alive(meta, now);
        tell(&self.watch.look(meta, &reports, &alive, now));
        figures::groups_watched(self.watch.degraded(), self.watch.stalled());
        // Moves that only even out the load come one by one, with a pause between them.
        let planned = if self.changes.rested_for(now) < CALM_PAUSE {
            plan_repairs(meta, &reports, &alive)
        } else {
            plan(meta, &reports, &alive)
        };
        // A store that fell silent is looked at often, so that its loss is seen in time.
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

    /// Waits until a change has ended, the stores are not as they were, or a while has passed.
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
