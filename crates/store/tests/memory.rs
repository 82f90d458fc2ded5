//! The in-memory state fulfils the contract of `StateAccess`: lease times, dropped replies and
//! unavailable groups.

use std::time::Duration;

use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_state::meta::{MetaCommand, MetaRefusal, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardRefusal, ShardReply};
use hooklug_store::{MemoryState, StateAccess};
use hooklug_types::{
    EngineId, EngineIncarnation, FencingEpoch, GroupId, Incarnation, META_GROUP, NodeId, UnixMillis,
};
use tokio::time::{Instant, advance};

const SHARD: GroupId = GroupId(3);
const LEASE: Duration = Duration::from_secs(3);

fn state() -> MemoryState {
    MemoryState::new(LEASE, Duration::from_secs(60))
}

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(1)
}

fn holder(incarnation: u64) -> EngineIncarnation {
    EngineIncarnation {
        engine: EngineId::new("e1").unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

async fn renew(state: &MemoryState) -> ShardReply {
    let command = ShardCommand::RenewLease { holder: holder(1) };
    state.execute_shard(SHARD, &command, soon()).await.unwrap()
}

async fn expire(state: &MemoryState, incarnation: u64) -> LeaseStatus {
    let subject = LeaseSubject::Engine(holder(incarnation));
    state.expire_lease(SHARD, subject, soon()).await.unwrap()
}

#[tokio::test(start_paused = true)]
async fn an_unrenewed_lease_expires_permanently() {
    let state = state();
    renew(&state).await;
    advance(Duration::from_secs(2)).await;
    renew(&state).await;
    advance(Duration::from_secs(2)).await;
    assert_eq!(expire(&state, 1).await, LeaseStatus::Held { left_ms: 1_000 });
    advance(Duration::from_secs(1)).await;
    assert_eq!(expire(&state, 1).await, LeaseStatus::Expired);
    assert_eq!(renew(&state).await, ShardReply::Refused(ShardRefusal::LeaseExpired));
    assert_eq!(expire(&state, 9).await, LeaseStatus::Unknown);
    assert_eq!(expire(&state, 9).await, LeaseStatus::Expired);
}

#[tokio::test(start_paused = true)]
async fn the_lease_of_the_core_leader_expires() {
    let state = state();
    let form = MetaCommand::Form { cluster: 1, stores: vec![], placements: vec![] };
    state.execute_meta(&form, soon()).await.unwrap();
    let acquire = |core, seen| MetaCommand::AcquireLeadership {
        core: NodeId(core),
        incarnation: Incarnation(1),
        address: "127.0.0.9:7000".parse().unwrap(),
        seen: FencingEpoch(seen),
    };
    state.execute_meta(&acquire(1, 0), soon()).await.unwrap();
    let expire = || {
        let subject = LeaseSubject::CoreLeader(FencingEpoch(1));
        state.expire_lease(META_GROUP, subject, soon())
    };
    assert_eq!(expire().await.unwrap(), LeaseStatus::Held { left_ms: 3_000 });
    let second = state.execute_meta(&acquire(2, 1), soon()).await.unwrap();
    assert!(matches!(second, MetaReply::Refused(MetaRefusal::LeaderAlive { .. })));
    advance(LEASE).await;
    assert_eq!(expire().await.unwrap(), LeaseStatus::Expired);
    let second = state.execute_meta(&acquire(2, 1), soon()).await.unwrap();
    assert!(matches!(second, MetaReply::Leader(leader) if leader.epoch == FencingEpoch(2)));
}

#[tokio::test(start_paused = true)]
async fn a_command_with_a_lost_reply_was_applied() {
    let state = state();
    state.drop_replies(SHARD, 1);
    let command = ShardCommand::RenewLease { holder: holder(1) };
    assert!(state.execute_shard(SHARD, &command, soon()).await.is_err());
    let query = ShardQuery::Lease(holder(1));
    let answer = state.query_shard(SHARD, &query, soon()).await.unwrap();
    assert!(matches!(answer, ShardAnswer::Lease(Some(_))));
    assert!(matches!(renew(&state).await, ShardReply::Lease(_)));
}

#[tokio::test(start_paused = true)]
async fn a_command_waits_for_an_unavailable_group_until_its_deadline() {
    let state = state();
    state.set_available(SHARD, false);
    let started = Instant::now();
    let command = ShardCommand::RenewLease { holder: holder(1) };
    assert!(state.execute_shard(SHARD, &command, soon()).await.is_err());
    assert_eq!(started.elapsed(), Duration::from_secs(1));
    let waiting = tokio::spawn({
        let state = state.clone();
        async move { renew(&state).await }
    });
    state.set_available(SHARD, true);
    assert!(matches!(waiting.await.unwrap(), ShardReply::Lease(_)));
}

#[tokio::test(start_paused = true)]
async fn the_test_clock_can_be_set() {
    let state = state();
    state.set_clock(UnixMillis(42));
    let answer = state.query_shard(SHARD, &ShardQuery::Clock, soon()).await.unwrap();
    assert_eq!(answer, ShardAnswer::Clock(UnixMillis(42)));
}
