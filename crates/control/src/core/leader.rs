//! Tasks of the core leader: builds the view from heartbeats, probes and the meta state, and runs
//! the controllers. All of them end with its lease.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hooklug_protocol::control::{ApplicationEngine, ClusterView, MemberHealth};
use hooklug_protocol::copy_on_write::CopyOnWrite;
use hooklug_protocol::member_map::MemberMap;
use hooklug_state::meta::{MetaAnswer, MetaQuery, MetaState};
use hooklug_types::{EngineId, FencingEpoch, Renewal};
use tokio::sync::{Notify, watch};

use super::engines::EngineTable;
use super::members::MemberTable;
use super::{Shared, repair, rollback, rollouts};
use crate::judge::JudgedVersion;
use crate::metrics;
use crate::view::first_revision;

/// Time between updates of members and engines.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Time between reads of the meta state while nothing reports a change of it.
pub(super) const META_READ_INTERVAL: Duration = Duration::from_millis(500);

/// Longest wait of the leader for its own copy of a bundle before it announces the bundle.
const OWN_BUNDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Minimum time between two updates, however many heartbeats arrive.
const MIN_UPDATE_INTERVAL: Duration = Duration::from_millis(25);

/// Timeout of a read of the meta state.
const META_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which a leader that followed no view before collects heartbeats before it publishes its
/// own view; must exceed the time between heartbeats.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Time for which the loss of an engine counts as recent.
const RECENT_LOSS_TIME: Duration = Duration::from_secs(10);

/// Time without a heartbeat after which a node's engine counts as lost, before the node is even
/// suspect.
const LOSS_AFTER: Duration = Duration::from_millis(1_500);

/// State shared by the controllers of one leadership.
#[derive(Debug)]
pub(super) struct LeaderContext {
    pub(super) epoch: FencingEpoch,
    pub(super) meta: watch::Sender<Option<CopyOnWrite<MetaState>>>,
    /// Notified when this leader itself changed the meta state.
    pub(super) meta_changed: Notify,
    lost: Mutex<VecDeque<(Instant, JudgedVersion)>>,
}

impl LeaderContext {
    /// Returns the versions that lost an engine recently.
    pub(super) fn recently_lost(&self, now: Instant) -> BTreeSet<JudgedVersion> {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.retain(|(at, _)| now.saturating_duration_since(*at) < RECENT_LOSS_TIME);
        lost.iter().map(|(_, version)| version.clone()).collect()
    }

    fn record_lost(&self, versions: Vec<JudgedVersion>, now: Instant) {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.extend(versions.into_iter().map(|version| (now, version)));
    }
}

/// Delay after the lease has expired by this core's clock and before its epoch is given up. The
/// lease may still be renewed under the same epoch; without the delay this task would spin and the
/// renewal, which runs in the same task, would never run.
const EXPIRY_DELAY: Duration = Duration::from_millis(100);

/// Leads whenever this core holds the lease.
pub(super) async fn run(shared: &Arc<Shared>) {
    let mut epochs = shared.leadership.watch_epoch();
    loop {
        let epoch = *epochs.borrow_and_update();
        if let Some(epoch) = epoch {
            tokio::select! {
                () = lead_and_pause(shared, epoch) => {}
                _ = epochs.changed() => {}
            }
        } else if epochs.changed().await.is_err() {
            return;
        }
    }
}

async fn lead_and_pause(shared: &Arc<Shared>, epoch: FencingEpoch) {
    lead(shared, epoch).await;
    tokio::time::sleep(EXPIRY_DELAY).await;
}

/// Runs all controllers under one epoch until the lease is lost.
async fn lead(shared: &Arc<Shared>, epoch: FencingEpoch) {
    let now = Instant::now();
    let inherited = shared.published.view();
    *shared.engines() = EngineTable::take_over(&inherited.engines, now);
    let leader_ctx = LeaderContext {
        epoch,
        meta: watch::Sender::new(None),
        meta_changed: Notify::new(),
        lost: Mutex::default(),
    };
    let controllers = async {
        tokio::join!(
            refresh_meta(shared, &leader_ctx),
            rollback::run(shared, &leader_ctx),
            rollouts::run(shared, &leader_ctx),
            repair::run(shared, &leader_ctx),
        );
    };
    tokio::select! {
        () = controllers => {}
        () = maintain_view(shared, &leader_ctx, &inherited) => {}
    }
}

/// Reads the meta state at intervals, and at once when a newer bundle is reported.
async fn refresh_meta(shared: &Shared, leader_ctx: &LeaderContext) {
    let mut announced = shared.ctx.identity.bundles.watch_newest();
    loop {
        let deadline = tokio::time::Instant::now() + META_TIMEOUT;
        if let Ok(MetaAnswer::State(state)) =
            shared.ctx.state.query_meta(&MetaQuery::State, deadline).await
        {
            let state = Some(CopyOnWrite::from(without_renewal(*state)));
            wait_for_own_bundle(shared, state.as_deref()).await;
            leader_ctx.meta.send_if_modified(|known| {
                let changed = *known != state;
                if changed {
                    *known = state;
                }
                changed
            });
        }
        tokio::select! {
            () = tokio::time::sleep(META_READ_INTERVAL) => {}
            Ok(()) = announced.changed() => {}
            () = leader_ctx.meta_changed.notified() => {}
        }
    }
}

/// Waits until this node has installed the newest bundle, since all other nodes will fetch its
/// sections from here. The wait is bounded, since other nodes may be able to fetch it when this one
/// is not.
async fn wait_for_own_bundle(shared: &Shared, state: Option<&MetaState>) {
    let Some(version) = state.and_then(|s| s.bundle.as_ref()).map(|b| b.version) else { return };
    shared.ctx.identity.bundles.observe(version);
    let mut bundle = shared.ctx.node.bundle.clone();
    let installed = bundle.wait_for(|b| b.as_ref().is_some_and(|b| b.record.version >= version));
    let _ = tokio::time::timeout(OWN_BUNDLE_TIMEOUT, installed).await;
}

/// Clears the renewal number of the leader's lease, since a renewal is no change of the view.
fn without_renewal(mut state: MetaState) -> MetaState {
    if let Some(leader) = &mut state.leader {
        leader.renewal = Renewal(0);
    }
    state
}

/// Keeps the view up to date until the lease is lost.
async fn maintain_view(shared: &Shared, leader_ctx: &LeaderContext, inherited: &ClusterView) {
    let started = Instant::now();
    let warm_up = if inherited.revision.0 == 0 { WARM_UP } else { Duration::ZERO };
    let mut members = MemberTable::take_over(&inherited.members, started);
    let mut current = ClusterView::clone(inherited);
    current.revision = current.revision.max(first_revision(leader_ctx.epoch));
    let mut meta = leader_ctx.meta.subscribe();
    while shared.leadership.epoch() == Some(leader_ctx.epoch) {
        let now = Instant::now();
        process_inbox(shared, &mut members, now);
        members.update_health(now);
        let next = assemble_view(shared, leader_ctx, &members, now);
        leader_ctx.record_lost(lost_versions(&current, &next, &members, now), now);
        if let Some(next) = next.filter(|_| started.elapsed() >= warm_up) {
            publish_view(shared, &mut current, next);
        }
        tokio::time::sleep(MIN_UPDATE_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep(UPDATE_INTERVAL) => {}
            () = shared.inbox.arrived() => {}
            _ = meta.changed() => {}
        }
    }
}

fn process_inbox(shared: &Shared, members: &mut MemberTable, now: Instant) {
    let received = shared.inbox.take(now);
    let mut slot_usage = shared.slot_usage();
    for heartbeat in &received.heartbeats {
        members.record_heartbeat(heartbeat, now);
        slot_usage.record_heartbeat(heartbeat, now);
    }
    slot_usage.remove_expired(now);
    drop(slot_usage);
    shared.judge().observe(&received.statistics, now);
    for harm in received.harm {
        shared.judge().report(harm);
    }
}

/// The parts of a view, available once the meta state is known.
struct ViewParts {
    members: MemberMap,
    engines: BTreeMap<EngineId, ApplicationEngine>,
    meta: CopyOnWrite<MetaState>,
}

fn assemble_view(
    shared: &Shared,
    leader_ctx: &LeaderContext,
    members: &MemberTable,
    now: Instant,
) -> Option<ViewParts> {
    let meta = leader_ctx.meta.borrow().clone()?;
    let mut engines = shared.engines();
    engines.remove_expired(now);
    Some(ViewParts { members: members.members(), engines: engines.engines(), meta })
}

/// Publishes the view if it changed, and marks it as up to date.
fn publish_view(shared: &Shared, current: &mut ClusterView, next: ViewParts) {
    let same_engines = *current.engines == next.engines;
    let same = current.members == next.members && same_engines && current.meta == next.meta;
    if !same || shared.published.view().revision < current.revision {
        let engines = if same_engines { current.engines.clone() } else { next.engines.into() };
        let revision = current.revision.next();
        *current = ClusterView { revision, members: next.members, engines, meta: next.meta };
        metrics::set_view(current);
        shared.published.publish(current.clone());
    }
    shared.published.mark_fresh();
}

/// Returns the versions of engines that were healthy in the published view and no longer are, or
/// whose node has stopped sending heartbeats.
fn lost_versions(
    current: &ClusterView,
    next: &Option<ViewParts>,
    members: &MemberTable,
    now: Instant,
) -> Vec<JudgedVersion> {
    let Some(next) = next else { return Vec::new() };
    let mut lost = Vec::new();
    for (id, engine) in current.engines.iter().filter(|(_, e)| e.healthy && !e.draining) {
        let is_healthy = |e: &&ApplicationEngine| e.healthy && e.incarnation == engine.incarnation;
        if next.engines.get(id).filter(is_healthy).is_none() {
            lost.push(JudgedVersion::new(&engine.service, &engine.version));
        }
    }
    for (id, member) in current.members.iter().filter(|(_, m)| m.health == MemberHealth::Alive) {
        let is_silent = members.time_since_heartbeat(*id, now).is_none_or(|s| s >= LOSS_AFTER);
        if let Some(engine) = member.engine.as_ref().filter(|e| e.ready && is_silent) {
            lost.push(JudgedVersion::new(&engine.service, &engine.version));
        }
    }
    lost
}
