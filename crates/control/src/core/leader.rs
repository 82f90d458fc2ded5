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
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Time between reads of the meta state while nothing reports a change of it.
const META_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait of the leader for its own copy of a bundle before it announces the bundle.
const HOLD_TIME: Duration = Duration::from_secs(1);

/// Minimum time between two updates, however many heartbeats arrive.
const LEAST_PAUSE: Duration = Duration::from_millis(25);

/// Timeout of a read of the meta state.
const META_TIME: Duration = Duration::from_secs(1);

/// Time for which a leader that followed no view before collects heartbeats before it publishes its
/// own view; must exceed the time between heartbeats.
const WARM_UP: Duration = Duration::from_millis(1_500);

/// Time for which the loss of an engine counts as recent.
const LOST_LATELY: Duration = Duration::from_secs(10);

/// Time without a heartbeat after which a node's engine counts as lost, before the node is even
/// suspect.
const SILENCE_OF_LOSS: Duration = Duration::from_millis(1_500);

/// State shared by the controllers of one leadership.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) epoch: FencingEpoch,
    pub(super) meta: watch::Sender<Option<CopyOnWrite<MetaState>>>,
    /// Notified when this leader itself changed the meta state.
    pub(super) meta_due: Notify,
    lost: Mutex<VecDeque<(Instant, JudgedVersion)>>,
}

impl Leading {
    /// Returns the versions that lost an engine recently.
    pub(super) fn lost_lately(&self, now: Instant) -> BTreeSet<JudgedVersion> {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.retain(|(at, _)| now.saturating_duration_since(*at) < LOST_LATELY);
        lost.iter().map(|(_, version)| version.clone()).collect()
    }

    fn note_lost(&self, versions: Vec<JudgedVersion>, now: Instant) {
        let mut lost = self.lost.lock().unwrap_or_else(PoisonError::into_inner);
        lost.extend(versions.into_iter().map(|version| (now, version)));
    }
}

/// Delay after the lease has expired by this core's clock and before its epoch is given up. The
/// lease may still be renewed under the same epoch; without the delay this task would spin and the
/// renewal, which runs in the same task, would never run.
const LAPSE_PAUSE: Duration = Duration::from_millis(100);

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
    tokio::time::sleep(LAPSE_PAUSE).await;
}

/// Runs all controllers under one epoch until the lease is lost.
async fn lead(shared: &Arc<Shared>, epoch: FencingEpoch) {
    let now = Instant::now();
    let inherited = shared.published.view();
    *shared.engines() = EngineTable::take_over(&inherited.engines, now);
    let leading = Leading {
        epoch,
        meta: watch::Sender::new(None),
        meta_due: Notify::new(),
        lost: Mutex::default(),
    };
    let controllers = async {
        tokio::join!(
            refresh_meta(shared, &leading),
            rollback::run(shared, &leading),
            rollouts::run(shared, &leading),
            repair::run(shared, &leading),
        );
    };
    tokio::select! {
        () = controllers => {}
        () = keep_view(shared, &leading, &inherited) => {}
    }
}

/// Reads the meta state at intervals, and at once when a newer bundle is reported.
async fn refresh_meta(shared: &Shared, leading: &Leading) {
    let mut news = shared.ctx.identity.bundles.watch_newest();
    loop {
        let deadline = tokio::time::Instant::now() + META_TIME;
        if let Ok(MetaAnswer::State(state)) =
            shared.ctx.state.query_meta(&MetaQuery::State, deadline).await
        {
            let state = Some(CopyOnWrite::from(without_renewal(*state)));
            hold_bundle(shared, state.as_deref()).await;
            leading.meta.send_if_modified(|known| {
                let changed = *known != state;
                if changed {
                    *known = state;
                }
                changed
            });
        }
        tokio::select! {
            () = tokio::time::sleep(META_PAUSE) => {}
            Ok(()) = news.changed() => {}
            () = leading.meta_due.notified() => {}
        }
    }
}

/// Waits until this node has installed the newest bundle, since all other nodes will fetch its
/// sections from here. The wait is bounded, since other nodes may be able to fetch it when this one
/// is not.
async fn hold_bundle(shared: &Shared, state: Option<&MetaState>) {
    let Some(version) = state.and_then(|s| s.bundle.as_ref()).map(|b| b.version) else { return };
    shared.ctx.identity.bundles.saw(version);
    let mut bundle = shared.ctx.node.bundle.clone();
    let held = bundle.wait_for(|b| b.as_ref().is_some_and(|b| b.record.version >= version));
    let _ = tokio::time::timeout(HOLD_TIME, held).await;
}

/// Clears the renewal number of the leader's lease, since a renewal is no change of the view.
fn without_renewal(mut state: MetaState) -> MetaState {
    if let Some(leader) = &mut state.leader {
        leader.renewal = Renewal(0);
    }
    state
}

/// Keeps the view up to date until the lease is lost.
async fn keep_view(shared: &Shared, leading: &Leading, inherited: &ClusterView) {
    let started = Instant::now();
    let warm_up = if inherited.revision.0 == 0 { WARM_UP } else { Duration::ZERO };
    let mut members = MemberTable::take_over(&inherited.members, started);
    let mut shown = ClusterView::clone(inherited);
    shown.revision = shown.revision.max(first_revision(leading.epoch));
    let mut meta = leading.meta.subscribe();
    while shared.leadership.epoch() == Some(leading.epoch) {
        let now = Instant::now();
        take_inbox(shared, &mut members, now);
        members.look(now);
        let next = assemble(shared, leading, &members, now);
        leading.note_lost(lost_versions(&shown, &next, &members, now), now);
        if let Some(next) = next.filter(|_| started.elapsed() >= warm_up) {
            show(shared, &mut shown, next);
        }
        tokio::time::sleep(LEAST_PAUSE).await;
        tokio::select! {
            () = tokio::time::sleep(LOOK_PAUSE) => {}
            () = shared.inbox.arrived() => {}
            _ = meta.changed() => {}
        }
    }
}

fn take_inbox(shared: &Shared, members: &mut MemberTable, now: Instant) {
    let received = shared.inbox.take(now);
    let mut slot_uses = shared.slot_uses();
    for heartbeat in &received.heartbeats {
        members.heard(heartbeat, now);
        slot_uses.heard(heartbeat, now);
    }
    slot_uses.look(now);
    drop(slot_uses);
    shared.judge().observe(&received.statistics, now);
    for harm in received.harm {
        shared.judge().report(harm);
    }
}

/// The parts of a view, available once the meta state is known.
struct Parts {
    members: MemberMap,
    engines: BTreeMap<EngineId, ApplicationEngine>,
    meta: CopyOnWrite<MetaState>,
}

fn assemble(
    shared: &Shared,
    leading: &Leading,
    members: &MemberTable,
    now: Instant,
) -> Option<Parts> {
    let meta = leading.meta.borrow().clone()?;
    let mut engines = shared.engines();
    engines.look(now);
    Some(Parts { members: members.members(), engines: engines.engines(), meta })
}

/// Publishes the view if it changed, and marks it as up to date.
fn show(shared: &Shared, shown: &mut ClusterView, next: Parts) {
    let same_engines = *shown.engines == next.engines;
    let same = shown.members == next.members && same_engines && shown.meta == next.meta;
    if !same || shared.published.view().revision < shown.revision {
        let engines = if same_engines { shown.engines.clone() } else { next.engines.into() };
        let revision = shown.revision.next();
        *shown = ClusterView { revision, members: next.members, engines, meta: next.meta };
        metrics::view_shown(shown);
        shared.published.publish(shown.clone());
    }
    shared.published.refresh();
}

/// Returns the versions of engines that were healthy in the published view and no longer are, or
/// whose node has stopped sending heartbeats.
fn lost_versions(
    shown: &ClusterView,
    next: &Option<Parts>,
    members: &MemberTable,
    now: Instant,
) -> Vec<JudgedVersion> {
    let Some(next) = next else { return Vec::new() };
    let mut lost = Vec::new();
    for (id, engine) in shown.engines.iter().filter(|(_, e)| e.healthy && !e.draining) {
        let well = |e: &&ApplicationEngine| e.healthy && e.incarnation == engine.incarnation;
        if next.engines.get(id).filter(well).is_none() {
            lost.push(JudgedVersion::new(&engine.service, &engine.version));
        }
    }
    for (id, member) in shown.members.iter().filter(|(_, m)| m.health == MemberHealth::Alive) {
        let silent = members.silence(*id, now).is_none_or(|s| s >= SILENCE_OF_LOSS);
        if let Some(engine) = member.engine.as_ref().filter(|e| e.ready && silent) {
            lost.push(JudgedVersion::new(&engine.service, &engine.version));
        }
    }
    lost
}
