//! Handles requests to expire a lease, as the leader of the group that holds it.

use std::net::SocketAddr;
use std::time::Instant;

use hooklug_protocol::store::{ExpireLease, LeaseStatus, LeaseSubject, StoreRequestError};
use hooklug_rpc::Peer;
use hooklug_state::meta::{CoreLeader, MetaAnswer, MetaCommand, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardRefusal, ShardReply};
use hooklug_state::{decode, encode};
use hooklug_types::{EngineIncarnation, FencingEpoch, GroupId, META_GROUP, NodeRole, Renewal};
use serde::{Serialize, de::DeserializeOwned};

use crate::leases::{LEASE_MARGIN, LEASE_TIME, LeaseDecision, LeaseView, decide};
use crate::shared::Shared;

impl Shared {
    /// Expires a lease if its time is over, or reports how long it is still held.
    pub(crate) async fn expire_lease(
        &self,
        peer: &Peer,
        request: ExpireLease,
    ) -> Result<LeaseStatus, StoreRequestError> {
        match request.subject {
            LeaseSubject::Engine(holder) => self.expire_engine(request.group, holder).await,
            LeaseSubject::CoreLeader(epoch) => self.expire_core_leader(epoch, None).await,
            LeaseSubject::FormerRun { epoch, address } => {
                self.expire_core_leader(epoch, Some(RestartedCore { peer, address })).await
            }
        }
    }

    async fn expire_engine(
        &self,
        group: GroupId,
        holder: EngineIncarnation,
    ) -> Result<LeaseStatus, StoreRequestError> {
        if group != hooklug_types::shard_of(holder.engine.as_str()) {
            let reason = format!("{group} does not hold the lease of {}", holder.engine);
            return Err(StoreRequestError::Refused { reason });
        }
        let query = ShardQuery::Lease(holder.clone());
        let (answer, leading_since) = self.linearizable_read(group, &query).await?;
        let ShardAnswer::Lease(Some(lease)) = answer else {
            let expire = ShardCommand::ExpireLease { holder, renewal: Renewal::default() };
            return match self.propose(group, &expire).await? {
                ShardReply::Lease(lease) if lease.expired => Ok(LeaseStatus::Unknown),
                _ => Ok(held_for_full_lease()),
            };
        };
        let observations = self.observations.group(group);
        let renewed_at = observations
            .and_then(|observations| observations.engine_renewed_at(&holder, lease.renewal));
        let (renewal, expired) = (lease.renewal, lease.expired);
        let view = LeaseView { renewal, expired, renewed_at, leading_since };
        let renewal = match decide(view, Instant::now()) {
            // The lease was never granted, and an earlier request has expired it. A retry, as after
            // a lost reply, gets the same result.
            LeaseDecision::Expired if renewal == Renewal::default() => {
                return Ok(LeaseStatus::Unknown);
            }
            LeaseDecision::Expired => return Ok(LeaseStatus::Expired),
            LeaseDecision::Held(remaining) => return Ok(held_for(remaining)),
            LeaseDecision::ProposeExpiry(renewal) => renewal,
        };
        match self.propose(group, &ShardCommand::ExpireLease { holder, renewal }).await? {
            ShardReply::Lease(lease) if lease.expired => Ok(LeaseStatus::Expired),
            ShardReply::Refused(ShardRefusal::LeaseRenewed) => Ok(held_for_full_lease()),
            other => Err(unexpected_reply(&other)),
        }
    }

    async fn expire_core_leader(
        &self,
        epoch: FencingEpoch,
        restarted_core: Option<RestartedCore<'_>>,
    ) -> Result<LeaseStatus, StoreRequestError> {
        let (answer, leading_since) = self.linearizable_read(META_GROUP, &MetaQuery::State).await?;
        let MetaAnswer::State(state) = answer else { return Err(unexpected_reply(&answer)) };
        let Some(leader) = state.leader.filter(|leader| leader.epoch >= epoch) else {
            return Ok(LeaseStatus::Unknown);
        };
        if leader.epoch > epoch {
            return Ok(LeaseStatus::Expired);
        }
        let observations = self.observations.group(META_GROUP);
        let renewed_at = observations
            .and_then(|observations| observations.core_leader_renewed_at(epoch, leader.renewal));
        let (renewal, expired) = (leader.renewal, leader.expired);
        let view = LeaseView { renewal, expired, renewed_at, leading_since };
        let renewal = match decide(view, Instant::now()) {
            LeaseDecision::Expired => return Ok(LeaseStatus::Expired),
            LeaseDecision::Held(_) if restarted_core.is_some_and(|core| core.replaces(&leader)) => {
                renewal
            }
            LeaseDecision::Held(remaining) => return Ok(held_for(remaining)),
            LeaseDecision::ProposeExpiry(renewal) => renewal,
        };
        let expire = MetaCommand::ExpireLeadership { epoch, renewal };
        match self.propose(META_GROUP, &expire).await? {
            MetaReply::Leader(leader) if leader.expired => Ok(LeaseStatus::Expired),
            MetaReply::Refused(_) => Ok(held_for_full_lease()),
            other => Err(unexpected_reply(&other)),
        }
    }

    /// Reads linearizably; also returns since when this replica leads. The read fails on a leader
    /// that was partitioned or frozen and has lost its leadership, so its outdated renewal times
    /// are never used.
    async fn linearizable_read<Q: Serialize, A: DeserializeOwned>(
        &self,
        group: GroupId,
        query: &Q,
    ) -> Result<(A, Instant), StoreRequestError> {
        let read = self.replicator.read(group, encode(query)).await;
        let read = read.map_err(|error| self.request_error(group, error))?;
        Ok((decode_reply(&read.answer)?, read.leading_since))
    }

    async fn propose<C: Serialize, R: DeserializeOwned>(
        &self,
        group: GroupId,
        command: &C,
    ) -> Result<R, StoreRequestError> {
        let reply = self.replicator.execute(group, encode(command)).await;
        decode_reply(&reply.map_err(|error| self.request_error(group, error))?)
    }
}

/// A core process that requests the end of the lease of its own former run.
#[derive(Debug, Clone, Copy)]
struct RestartedCore<'a> {
    peer: &'a Peer,
    address: SocketAddr,
}

impl RestartedCore<'_> {
    /// Returns whether the requesting process replaces the leader: it is a core with a newer
    /// incarnation at the same address.
    fn replaces(&self, leader: &CoreLeader) -> bool {
        self.peer.role == NodeRole::Core
            && self.address == leader.address
            && self.peer.ip == self.address.ip()
            && self.peer.incarnation > leader.incarnation
    }
}

fn decode_reply<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, StoreRequestError> {
    decode("reply", bytes).map_err(|e| StoreRequestError::Refused { reason: e.to_string() })
}

fn unexpected_reply(reply: &impl std::fmt::Debug) -> StoreRequestError {
    StoreRequestError::Refused { reason: format!("unexpected reply {reply:?}") }
}

fn held_for(remaining: std::time::Duration) -> LeaseStatus {
    let left_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    LeaseStatus::Held { left_ms: left_ms.max(1) }
}

fn held_for_full_lease() -> LeaseStatus {
    held_for(LEASE_TIME + LEASE_MARGIN)
}
