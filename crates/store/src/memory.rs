//! In-memory implementation of [`StateAccess`], for tests and for running a single process.
//!
//! Commands are applied to the same state machines as in a store, one at a time, so the guarantees
//! of the state machines hold here too. Nothing is persisted.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaMachine, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardMachine, ShardQuery, ShardReply};
use hooklug_types::{EngineIncarnation, FencingEpoch, GroupId, META_GROUP, Renewal, UnixMillis};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::{StateAccess, Unavailable};

/// How long a lease lasts after its last renewal is applied: the lease time of 3 s and a margin of
/// 500 ms.
const LEASE_TIME: Duration = Duration::from_millis(3_500);
/// Retention time of finished turns and calls.
const RETENTION_TIME: Duration = Duration::from_secs(86_400);

/// State of all groups, held in memory. Cheap to clone; clones share the state.
#[derive(Debug, Clone)]
pub struct MemoryState {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    lease_time: Duration,
    retention_time: Duration,
    groups: Mutex<Groups>,
    unavailable: watch::Sender<BTreeSet<GroupId>>,
}

#[derive(Debug)]
struct Groups {
    meta: MetaMachine,
    shards: BTreeMap<GroupId, ShardMachine>,
    engine_renewals: BTreeMap<EngineIncarnation, Instant>,
    leader_renewal: Option<Instant>,
    /// Current time of the groups if a test has set it; otherwise they use the wall clock.
    manual_clock: Option<UnixMillis>,
    replies_to_drop: BTreeMap<GroupId, u32>,
}

impl Default for MemoryState {
    fn default() -> Self {
        Self::new(LEASE_TIME, RETENTION_TIME)
    }
}

impl MemoryState {
    /// Creates empty groups. `lease_time` includes the margin; `retention_time` is the retention
    /// time of finished turns and calls.
    #[must_use]
    pub fn new(lease_time: Duration, retention_time: Duration) -> Self {
        let groups = Groups {
            meta: MetaMachine::new(),
            shards: BTreeMap::new(),
            engine_renewals: BTreeMap::new(),
            leader_renewal: None,
            manual_clock: None,
            replies_to_drop: BTreeMap::new(),
        };
        let unavailable = watch::Sender::new(BTreeSet::new());
        let inner = Inner { lease_time, retention_time, groups: Mutex::new(groups), unavailable };
        Self { inner: Arc::new(inner) }
    }

    /// Makes a group unavailable or available again. Requests to an unavailable group wait until
    /// their deadline.
    pub fn set_available(&self, group: GroupId, available: bool) {
        self.inner.unavailable.send_modify(|groups| {
            if available {
                groups.remove(&group);
            } else {
                groups.insert(group);
            }
        });
    }

    /// Drops the replies of the next `count` commands of a group: the commands are applied, but
    /// their callers immediately receive [`Unavailable`].
    pub fn drop_replies(&self, group: GroupId, count: u32) {
        self.groups().replies_to_drop.insert(group, count);
    }

    /// Sets the time of the groups, which no longer follow the wall clock. The groups' clocks never
    /// go back.
    pub fn set_clock(&self, now: UnixMillis) {
        self.groups().manual_clock = Some(now);
    }

    fn groups(&self) -> MutexGuard<'_, Groups> {
        self.inner.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn wait_until_available(
        &self,
        group: GroupId,
        deadline: Instant,
    ) -> Result<(), Unavailable> {
        let mut unavailable = self.inner.unavailable.subscribe();
        let available = unavailable.wait_for(|groups| !groups.contains(&group));
        match timeout_at(deadline, available).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Unavailable { group, reason: "made unavailable by set_available".to_owned() }),
        }
    }
}

impl Groups {
    fn now(&self) -> UnixMillis {
        self.manual_clock.unwrap_or_else(UnixMillis::now)
    }

    fn shard(&mut self, group: GroupId, retention_time: Duration) -> &mut ShardMachine {
        let now = self.now();
        let shard = self.shards.entry(group).or_insert_with(|| ShardMachine::new(retention_time));
        shard.apply_command(ShardCommand::AdvanceClock { now });
        shard
    }

    fn execute_meta(&mut self, command: &MetaCommand) -> MetaReply {
        let now = self.now();
        self.meta.apply_command(MetaCommand::AdvanceClock { now });
        let reply = self.meta.apply_command(command.clone());
        let is_lease_command = matches!(
            command,
            MetaCommand::AcquireLeadership { .. } | MetaCommand::RenewLeadership { .. }
        );
        if is_lease_command && matches!(reply, MetaReply::Leader(_)) {
            self.leader_renewal = Some(Instant::now());
        }
        reply
    }

    fn record_renewals(&mut self, command: &ShardCommand, reply: &ShardReply) {
        match (command, reply) {
            (ShardCommand::RenewLease { holder }, ShardReply::Lease(_)) => {
                self.engine_renewals.insert(holder.clone(), Instant::now());
            }
            (ShardCommand::Batch(commands), ShardReply::Batch(replies)) => {
                for (command, reply) in commands.iter().zip(replies) {
                    self.record_renewals(command, reply);
                }
            }
            _ => {}
        }
    }

    fn drop_reply_if_requested(&mut self, group: GroupId) -> Result<(), Unavailable> {
        match self.replies_to_drop.get_mut(&group) {
            Some(remaining) if *remaining > 0 => {
                *remaining -= 1;
                Err(Unavailable { group, reason: "the reply was dropped".to_owned() })
            }
            _ => Ok(()),
        }
    }

    fn expire_engine(
        &mut self,
        group: GroupId,
        holder: EngineIncarnation,
        inner: &Inner,
    ) -> LeaseStatus {
        let renewed_at = self.engine_renewals.get(&holder).copied();
        let shard = self.shard(group, inner.retention_time);
        let answer = shard.answer(&ShardQuery::Lease(holder.clone()));
        let ShardAnswer::Lease(Some(lease)) = answer else {
            let renewal = Renewal::default();
            shard.apply_command(ShardCommand::ExpireLease { holder, renewal });
            return LeaseStatus::Unknown;
        };
        let remaining = time_left(renewed_at, inner.lease_time);
        if !lease.expired && !remaining.is_zero() {
            return held_for(remaining);
        }
        let renewal = lease.renewal;
        shard.apply_command(ShardCommand::ExpireLease { holder, renewal });
        LeaseStatus::Expired
    }

    fn expire_leader(&mut self, epoch: FencingEpoch, lease_time: Duration) -> LeaseStatus {
        let MetaAnswer::State(state) = self.meta.answer(&MetaQuery::State) else {
            return LeaseStatus::Unknown;
        };
        let Some(leader) = state.leader.filter(|l| l.epoch >= epoch) else {
            return LeaseStatus::Unknown;
        };
        if leader.epoch > epoch || leader.expired {
            return LeaseStatus::Expired;
        }
        let remaining = time_left(self.leader_renewal, lease_time);
        if !remaining.is_zero() {
            return held_for(remaining);
        }
        let renewal = leader.renewal;
        self.meta.apply_command(MetaCommand::ExpireLeadership { epoch, renewal });
        LeaseStatus::Expired
    }
}

fn time_left(renewed_at: Option<Instant>, lease_time: Duration) -> Duration {
    renewed_at.map_or(Duration::ZERO, |at| lease_time.saturating_sub(at.elapsed()))
}

fn held_for(remaining: Duration) -> LeaseStatus {
    let left_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    LeaseStatus::Held { left_ms: left_ms.max(1) }
}

#[async_trait]
impl StateAccess for MemoryState {
    async fn execute_shard(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<ShardReply, Unavailable> {
        self.wait_until_available(group, deadline).await?;
        let mut groups = self.groups();
        let reply = groups.shard(group, self.inner.retention_time).apply_command(command.clone());
        groups.record_renewals(command, &reply);
        groups.drop_reply_if_requested(group)?;
        Ok(reply)
    }

    async fn query_shard(
        &self,
        group: GroupId,
        query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable> {
        self.wait_until_available(group, deadline).await?;
        Ok(self.groups().shard(group, self.inner.retention_time).answer(query))
    }

    async fn execute_meta(
        &self,
        command: &MetaCommand,
        deadline: Instant,
    ) -> Result<MetaReply, Unavailable> {
        self.wait_until_available(META_GROUP, deadline).await?;
        let mut groups = self.groups();
        let reply = groups.execute_meta(command);
        groups.drop_reply_if_requested(META_GROUP)?;
        Ok(reply)
    }

    async fn query_meta(
        &self,
        query: &MetaQuery,
        deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable> {
        self.wait_until_available(META_GROUP, deadline).await?;
        Ok(self.groups().meta.answer(query))
    }

    async fn expire_lease(
        &self,
        group: GroupId,
        subject: LeaseSubject,
        deadline: Instant,
    ) -> Result<LeaseStatus, Unavailable> {
        self.wait_until_available(group, deadline).await?;
        let mut groups = self.groups();
        let status = match subject {
            LeaseSubject::Engine(holder) => groups.expire_engine(group, holder, &self.inner),
            // The requesting process is unknown here, so the lease must run out in both cases.
            LeaseSubject::CoreLeader(epoch) | LeaseSubject::FormerRun { epoch, .. } => {
                groups.expire_leader(epoch, self.inner.lease_time)
            }
        };
        groups.drop_reply_if_requested(group)?;
        Ok(status)
    }
}
