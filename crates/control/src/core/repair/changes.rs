//! Carries out the planned changes of all groups concurrently, so that a slow group does not delay
//! the others.

use std::borrow::Cow;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use futures::future::{BoxFuture, FutureExt};
use futures::stream::{FuturesUnordered, StreamExt};
use hooklug_protocol::store::ChangeReplicas;
use hooklug_raft::ConfChange;
use hooklug_state::meta::{GroupPlacement, MetaCommand, MetaReply, MetaState, StoreState};
use hooklug_store::placement::PlannedChange;
use hooklug_types::{GroupId, NodeId};
use tokio::time::Instant;
use tracing::{debug, info, warn};

use super::super::Shared;
use super::super::leader::LeaderContext;
use crate::metrics;

/// Timeout of one change; an unconfirmed change is planned again.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(3);

/// Delay before a refused change is requested again.
const REFUSAL_DELAY: Duration = Duration::from_millis(250);

/// What a change applies to; each subject has at most one change at a time.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Group(GroupId),
    Store(NodeId),
}

/// A finished change and its result.
struct Finished {
    change: PlannedChange,
    succeeded: bool,
}

/// A membership change that a group's leader did not make.
#[derive(Debug, Clone, Copy)]
struct Refusal {
    change: ConfChange,
    at: Instant,
}

/// Running changes, and those written since the known meta state was read.
pub(super) struct Changes<'a> {
    shared: &'a Shared,
    leader_ctx: &'a LeaderContext,
    running: FuturesUnordered<BoxFuture<'a, Finished>>,
    subjects: BTreeSet<Subject>,
    /// Placements that were written: the previous one and the new one.
    written_placements: BTreeMap<GroupId, (GroupPlacement, GroupPlacement)>,
    removed: BTreeSet<NodeId>,
    refused: BTreeMap<GroupId, Refusal>,
    last_finished: Option<Instant>,
}

impl<'a> Changes<'a> {
    pub(super) fn new(shared: &'a Shared, leader_ctx: &'a LeaderContext) -> Self {
        Self {
            shared,
            leader_ctx,
            running: FuturesUnordered::new(),
            subjects: BTreeSet::new(),
            written_placements: BTreeMap::new(),
            removed: BTreeSet::new(),
            refused: BTreeMap::new(),
            last_finished: None,
        }
    }

    /// Returns the meta state with the changes that were written since it was read.
    pub(super) fn with_written<'m>(&mut self, meta: &'m MetaState) -> Cow<'m, MetaState> {
        self.written_placements
            .retain(|group, (before, _)| meta.placements.get(group) == Some(before));
        self.removed.retain(|node| {
            meta.stores.iter().any(|s| s.node == *node && s.state != StoreState::Removed)
        });
        if self.written_placements.is_empty() && self.removed.is_empty() {
            return Cow::Borrowed(meta);
        }
        let mut newest = meta.clone();
        for (group, (_, placement)) in &self.written_placements {
            newest.placements.insert(*group, placement.clone());
        }
        for store in &mut newest.stores {
            if self.removed.contains(&store.node) {
                store.state = StoreState::Removed;
            }
        }
        Cow::Owned(newest)
    }

    /// Starts a change, unless one of its group or store is running or the same change was refused
    /// recently.
    pub(super) fn start(&mut self, meta: &MetaState, change: PlannedChange, now: Instant) {
        let subject = subject_of(&change);
        if self.subjects.contains(&subject) || self.was_recently_refused(&change, now) {
            return;
        }
        self.subjects.insert(subject);
        let (shared, leader_ctx) = (self.shared, self.leader_ctx);
        let running = match change.clone() {
            PlannedChange::SetPlacement { group, expected, placement } => {
                info!(%group, ?expected, ?placement, "setting a new placement");
                let epoch = leader_ctx.epoch;
                let command = MetaCommand::SetPlacement { epoch, group, expected, placement };
                write_meta(shared, command).boxed()
            }
            PlannedChange::RemoveStore { node } => {
                info!(store = %node, "removing a store that has no replicas left");
                let (epoch, state) = (leader_ctx.epoch, StoreState::Removed);
                write_meta(shared, MetaCommand::SetStoreState { epoch, node, state }).boxed()
            }
            PlannedChange::ChangeReplicas { group, leader, change } => {
                info!(%group, ?change, leader = %leader, "requesting a membership change");
                let address = meta.stores.iter().find(|s| s.node == leader).map(|s| s.address);
                let request = ChangeReplicas { group, change, epoch: leader_ctx.epoch };
                async move {
                    let Some(address) = address else { return false };
                    change_replicas(shared, address, request).await
                }
                .boxed()
            }
        };
        self.running.push(async move { Finished { change, succeeded: running.await } }.boxed());
    }

    /// Waits until a change has finished; never returns while none is running.
    pub(super) async fn next_finished(&mut self) {
        match self.running.next().await {
            Some(finished) => self.record(finished),
            None => std::future::pending().await,
        }
    }

    /// Collects all changes that have finished by now.
    pub(super) fn collect_finished(&mut self) {
        while let Some(Some(finished)) = self.running.next().now_or_never() {
            self.record(finished);
        }
    }

    /// Returns the time for which no change has been running.
    pub(super) fn idle_time(&self, now: Instant) -> Duration {
        match self.last_finished {
            _ if !self.is_idle() => Duration::ZERO,
            Some(finished) => now.saturating_duration_since(finished),
            None => Duration::MAX,
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.running.is_empty()
    }

    fn was_recently_refused(&self, change: &PlannedChange, now: Instant) -> bool {
        let PlannedChange::ChangeReplicas { group, change, .. } = change else { return false };
        let refusal = self.refused.get(group).filter(|refusal| refusal.change == *change);
        refusal.is_some_and(|refusal| now.duration_since(refusal.at) < REFUSAL_DELAY)
    }

    fn record(&mut self, finished: Finished) {
        let Finished { change, succeeded } = finished;
        self.subjects.remove(&subject_of(&change));
        self.last_finished = Some(Instant::now());
        match change {
            PlannedChange::SetPlacement { group, expected, placement } if succeeded => {
                self.written_placements.insert(group, (expected, placement));
            }
            PlannedChange::RemoveStore { node } if succeeded => drop(self.removed.insert(node)),
            PlannedChange::ChangeReplicas { group, .. } if succeeded => {
                self.refused.remove(&group);
            }
            PlannedChange::ChangeReplicas { group, change, .. } => {
                self.record_refusal(group, change);
            }
            PlannedChange::SetPlacement { .. } | PlannedChange::RemoveStore { .. } => {}
        }
        self.leader_ctx.meta_changed.notify_one();
    }

    /// Records a refusal, and logs a warning only for the first of repeated refusals.
    fn record_refusal(&mut self, group: GroupId, change: ConfChange) {
        let refusal = Refusal { change, at: Instant::now() };
        let before = self.refused.insert(group, refusal);
        if before.is_none_or(|before| before.change != change) {
            warn!(%group, ?change, "membership change refused or not confirmed");
        }
    }
}

fn subject_of(change: &PlannedChange) -> Subject {
    match change {
        PlannedChange::SetPlacement { group, .. } | PlannedChange::ChangeReplicas { group, .. } => {
            Subject::Group(*group)
        }
        PlannedChange::RemoveStore { node } => Subject::Store(*node),
    }
}

/// Requests a membership change from a group's leader and returns whether it was made.
async fn change_replicas(
    shared: &Shared,
    leader: std::net::SocketAddr,
    request: ChangeReplicas,
) -> bool {
    let ChangeReplicas { group, change, .. } = request;
    let deadline = Instant::now() + CHANGE_TIMEOUT;
    let succeeded = match shared.ctx.client.call(leader, &request, deadline).await {
        Ok(Ok(())) => true,
        Ok(Err(fault)) => {
            debug!(%group, ?change, %fault, "the group's leader refused the membership change");
            false
        }
        Err(error) => {
            debug!(%group, ?change, %error, "the group's leader did not reply to the membership change");
            false
        }
    };
    metrics::count_replica_change(succeeded);
    succeeded
}

/// Writes to the meta group and returns whether the write succeeded.
async fn write_meta(shared: &Shared, command: MetaCommand) -> bool {
    match shared.ctx.state.execute_meta(&command, Instant::now() + CHANGE_TIMEOUT).await {
        Ok(MetaReply::Refused(refusal)) => {
            warn!(%refusal, "write to the meta group refused");
            false
        }
        Ok(_) => true,
        Err(error) => {
            warn!(%error, "write to the meta group not confirmed");
            false
        }
    }
}
