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
use hooklug_store::placement::desired::is_superseded;
use hooklug_store::placement::{plan, plan_repairs};
use hooklug_types::NodeId;
use tokio::time::Instant;
use tracing::{info, warn};

use super::Shared;
use super::leader::LeaderContext;
use crate::metrics;
use changes::Changes;
use liveness::StoreLiveness;
use monitor::{GroupEvent, GroupMonitor};
use statuses::Statuses;

/// Time between rounds while nothing is to be done.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Time between rounds while replicas move and no change finishes.
const BUSY_INTERVAL: Duration = Duration::from_millis(100);

/// Delay after a change has finished, to collect others that finish at about the same time.
const BATCH_DELAY: Duration = Duration::from_millis(20);

/// The meta state as this core leader last read it.
type KnownMeta = tokio::sync::watch::Receiver<Option<CopyOnWrite<MetaState>>>;

/// Repair state of one core leadership.
struct Repair<'a> {
    shared: &'a Shared,
    liveness: StoreLiveness,
    statuses: Statuses,
    changes: Changes<'a>,
    monitor: GroupMonitor,
}

pub(super) async fn run(shared: &Shared, leader_ctx: &LeaderContext) {
    let mut repair = Repair {
        shared,
        liveness: StoreLiveness::new(Instant::now()),
        statuses: Statuses::default(),
        changes: Changes::new(shared, leader_ctx),
        monitor: GroupMonitor::default(),
    };
    let mut known = leader_ctx.meta.subscribe();
    loop {
        let meta = known.borrow_and_update().clone();
        let (pause, stores) = match &meta {
            Some(meta) => (repair.run_round(meta).await, meta.stores.clone()),
            None => (BUSY_INTERVAL, Vec::new()),
        };
        repair.wait(pause, &mut known, &stores).await;
    }
}

impl Repair<'_> {
    /// Queries all stores once, starts the planned changes, and returns the pause before the next
    /// round.
    async fn run_round(&mut self, meta: &MetaState) -> Duration {
        // Changes that finish while the stores are queried may not be visible in the replies, so
        // they count from the next round on.
        self.changes.collect_finished();
        let reports = self.statuses.query(&self.shared.ctx.client, &meta.stores).await;
        let now = Instant::now();
        self.liveness.record(&reports, now);
        let meta = &*self.changes.with_written(meta);
        let alive = self.alive(meta, now);
        log_events(&self.monitor.update(meta, &reports, &alive, now));
        metrics::set_group_health(self.monitor.degraded(), self.monitor.stalled());
        // Moves that only balance the load are made one at a time, with a pause between them.
        let planned_changes = if self.changes.idle_time(now) < IDLE_INTERVAL {
            plan_repairs(meta, &reports, &alive)
        } else {
            plan(meta, &reports, &alive)
        };
        // With an unresponsive store, rounds are frequent so that its loss is detected in time.
        let has_unresponsive = alive.iter().any(|store| self.statuses.is_unresponsive(*store));
        let is_idle = planned_changes.is_empty() && self.changes.is_idle() && !has_unresponsive;
        for change in planned_changes {
            self.changes.start(meta, change, now);
        }
        if is_idle { IDLE_INTERVAL } else { BUSY_INTERVAL }
    }

    fn alive(&self, meta: &MetaState, now: Instant) -> BTreeSet<NodeId> {
        let is_alive = |store: &&StoreRecord| {
            self.liveness.is_alive(store.node, now) && !is_superseded(meta, store)
        };
        meta.stores.iter().filter(is_alive).map(|store| store.node).collect()
    }

    /// Waits until a change has finished, the list of stores has changed, or `pause` has passed.
    async fn wait(&mut self, pause: Duration, known: &mut KnownMeta, stores: &[StoreRecord]) {
        let end = tokio::time::sleep(pause);
        tokio::pin!(end);
        loop {
            tokio::select! {
                () = &mut end => return,
                () = self.changes.next_finished() => break,
                Ok(()) = known.changed() => {
                    let meta = known.borrow_and_update().clone();
                    if meta.is_some_and(|meta| meta.stores != stores) {
                        return;
                    }
                }
            }
        }
        tokio::time::sleep(BATCH_DELAY).await;
    }
}

/// Logs changes in the health of groups.
fn log_events(events: &[GroupEvent]) {
    for event in events {
        match event {
            GroupEvent::Degraded { group, desired, members } => {
                info!(%group, ?desired, ?members, "a group lacks replicas");
            }
            GroupEvent::Repaired { group, degraded_for } => {
                info!(%group, ?degraded_for, "a group has all its replicas again");
                metrics::record_group_repair(*degraded_for);
            }
            GroupEvent::Stalled { group, stalled_for, leader: None } => {
                warn!(%group, ?stalled_for, "a group has no leader");
            }
            GroupEvent::Stalled { group, stalled_for, leader: Some(leader) } => {
                warn!(%group, ?stalled_for, leader = %leader.node, commit = leader.commit,
                    last_index = leader.last_index, members = ?leader.newest_conf,
                    progress = ?leader.progress, "a group commits nothing");
            }
            GroupEvent::Resumed { group, stalled_for } => {
                warn!(%group, ?stalled_for, "a group commits again");
            }
        }
    }
}
