//! Search for a turn's history while one shard does not reply.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hooklug_ingress::records::TurnRecords;
use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_store::{StateAccess, Unavailable};
use hooklug_types::{GroupId, NodeId, TurnId};
use tokio::time::Instant;

/// The shard that has the turn.
const HISTORY_SHARD: GroupId = GroupId(9);

/// A shard without a leader, which does not reply.
const UNRESPONSIVE_SHARD: GroupId = GroupId(2);

/// State in which one shard has the turn, one does not reply and the others do not have the turn.
#[derive(Debug)]
struct OneUnresponsiveShard;

fn unavailable<T>(group: GroupId) -> Result<T, Unavailable> {
    Err(Unavailable { group, reason: "no leader".to_owned() })
}

#[async_trait]
impl StateAccess for OneUnresponsiveShard {
    async fn execute_shard(
        &self,
        group: GroupId,
        _command: &ShardCommand,
        _deadline: Instant,
    ) -> Result<ShardReply, Unavailable> {
        unavailable(group)
    }

    async fn query_shard(
        &self,
        group: GroupId,
        _query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable> {
        if group == UNRESPONSIVE_SHARD {
            tokio::time::sleep_until(deadline).await;
            return unavailable(group);
        }
        let history = (group == HISTORY_SHARD).then(|| Bytes::from_static(b"the history"));
        Ok(ShardAnswer::History(history))
    }

    async fn execute_meta(
        &self,
        _command: &MetaCommand,
        _deadline: Instant,
    ) -> Result<MetaReply, Unavailable> {
        unavailable(hooklug_types::META_GROUP)
    }

    async fn query_meta(
        &self,
        _query: &MetaQuery,
        _deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable> {
        unavailable(hooklug_types::META_GROUP)
    }

    async fn expire_lease(
        &self,
        group: GroupId,
        _subject: LeaseSubject,
        _deadline: Instant,
    ) -> Result<LeaseStatus, Unavailable> {
        unavailable(group)
    }
}

/// Guards against a turn being refused, although its history was found, because another shard does
/// not reply.
#[tokio::test(start_paused = true)]
async fn a_found_history_is_returned_without_waiting_for_unresponsive_shards() {
    let records = TurnRecords::new(Arc::new(OneUnresponsiveShard), NodeId(1));
    let turn = TurnId::new("turn").expect("a name");
    let start = Instant::now();
    let found = records.find_history(&turn, start + Duration::from_secs(2)).await;
    assert_eq!(found, Ok(Some(Bytes::from_static(b"the history"))));
    assert_eq!(
        start.elapsed(),
        Duration::ZERO,
        "the paused clock advances only if something waits"
    );
}
