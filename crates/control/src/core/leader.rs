//! What the core leader does: gathers heartbeats, probes and the meta state into the view, and runs the
//! controllers. All of it ends with its lease.

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
use super::{Shared, orders, repair, rollout};
use crate::figures;
use crate::judge::JudgedVersion;
use crate::view::first_revision;

/// Pause between two looks at members and engines (ours).
const LOOK_PAUSE: Duration = Duration::from_millis(100);

/// Pause between reads of the meta state, when nothing tells that it changed (ours).
const META_PAUSE: Duration = Duration::from_millis(500);

/// Longest wait of the leader for its own copy of a bundle before it tells of it (ours).
const HOLD_TIME: Duration = Duration::from_secs(1);

/// Least pause between two looks, however many heartbeats come in (ours).
const LEAST_PAUSE: Duration = Duration::from_millis(25);

/// Longest wait for the meta state (ours).
const META_TIME: Duration = Duration::from_secs(1);

/// A leader that followed no view before gathers heartbeats for so long before it shows its own (ours: the
/// time between heartbeats, and some).
const WARM_UP: Duration = Duration::from_millis(1_500);

/// An engine that was lost counts as "lately" for so long (ours).
const LOST_LATELY: Duration = Duration::from_secs(10);

/// Silence of an engine's node that counts as a loss before the node is even suspected (ours).
const SILENCE_OF_LOSS: Duration = Duration::from_millis(1_500);

/// What the controllers of one leadership share.
#[derive(Debug)]
pub(super) struct Leading {
    pub(super) epoch: FencingEpoch,
    pub(super) meta: watch::Sender<Option<CopyOnWrite<MetaState>>>,
    /// Set when this leader changed the meta state itself.
    pub(super) meta_due: Notify,
    lost: Mutex<VecDeque<(Instant, JudgedVersion)>>,
}

impl Leading {
    /// Versions that lost an engine lately.
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

/// Pause after the lease has run out by this core's clock and before its epoch is given up (ours). The lease may yet be
/// renewed under the same epoch; without a pause this task would run in circles, and the renewal in it never.
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

/// Runs all controllers under one epoch, until the lease is lost.
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
            rollout::run(shared, &leading),
            orders::run(shared, &leading),
            repair::run(shared, &leading),
        );
    };
    tokio::select! {
        () = controllers => {}
        () = keep_view(shared, &leading, &inherited) => {}
    }
}

/// Reads the meta state again and again, at once when a newer bundle is heard of.
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

/// Waits until this node holds the newest bundle itself, since all others will ask it for the sections; not
/// for long, since others may have more luck.
async fn hold_bundle(shared: &Shared, state: Option<&MetaState>) {
    let Some(version) = state.and_then(|s| s.bundle.as_ref()).map(|b| b.version) else { return };
    shared.ctx.identity.bundles.saw(version);
    let mut bundle = shared.ctx.node.bundle.clone();
    let held = bundle.wait_for(|b| b.as_ref().is_some_and(|b| b.record.version >= version));
    let _ = tokio::time::timeout(HOLD_TIME, held).await;
}

/// Renewals of the leader's lease are no change of the view.
fn without_renewal(mut state: MetaState) -> MetaState {
    if let Some(leader) = &mut state.leader {
        leader.renewal = Renewal(0);
    }
    state
}

/// Keeps the view up to date; returns when the lease is lost.
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

/// The parts of a view, when the meta state is known.
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

/// Publishes the view when it changed.
fn show(shared: &Shared, shown: &mut ClusterView, next: Parts) {
    let same_engines = *shown.engines == next.engines;
    let same = shown.members == next.members && same_engines && shown.meta == next.meta;
    if !same || shared.published.view().revision < shown.revision {
        let engines = if same_engines { shown.engines.clone() } else { next.engines.into() };
        let revision = shown.revision.next();
        *shown = ClusterView { revision, members: next.members, engines, meta: next.meta };
        figures::view_shown(shown);
        shared.published.publish(shown.clone());
    }
    shared.published.refresh();
}

/// Versions of engines that were well in the shown view and are not now, or whose node is silent.
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
