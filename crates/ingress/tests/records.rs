//! Records of turns while a shard gives no word.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hooklug_ingress::records::TurnRecords;
use hooklug_protocol::store::{LeaseSubject, LeaseVerdict};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_store::{StateAccess, Unavailable};
use hooklug_types::{GroupId, NodeId, TurnId};
use tokio::time::Instant;

/// The shard that keeps the turn.
const KEEPER: GroupId = GroupId(9);

/// A shard without a leader.
const SILENT: GroupId = GroupId(2);

/// Shards of which one keeps a turn, one gives no word, and the others know nothing.
#[derive(Debug)]
struct OneSilent;

fn silent<T>(group: GroupId) -> Result<T, Unavailable> {
    Err(Unavailable { group, reason: "no leader".to_owned() })
}

#[async_trait]
impl StateAccess for OneSilent {
    async fn execute_shard(
        &self,
        group: GroupId,
        _command: &ShardCommand,
        _deadline: Instant,
    ) -> Result<ShardReply, Unavailable> {
        silent(group)
    }

    async fn query_shard(
        &self,
        group: GroupId,
        _query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable> {
        if group == SILENT {
            tokio::time::sleep_until(deadline).await;
            return silent(group);
        }
        let kept = (group == KEEPER).then(|| Bytes::from_static(b"what was said"));
        Ok(ShardAnswer::History(kept))
    }

    async fn execute_meta(
        &self,
        _command: &MetaCommand,
        _deadline: Instant,
    ) -> Result<MetaReply, Unavailable> {
        silent(hooklug_types::META_GROUP)
    }

    async fn query_meta(
        &self,
        _query: &MetaQuery,
        _deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable> {
        silent(hooklug_types::META_GROUP)
    }

    async fn expire_lease(
        &self,
        group: GroupId,
        _subject: LeaseSubject,
        _deadline: Instant,
    ) -> Result<LeaseVerdict, Unavailable> {
        silent(group)
    }
}

/// Guards against turns that are refused though their history was found, since another shard is silent.
#[tokio::test(start_paused = true)]
async fn a_history_that_was_found_waits_for_no_silent_shard() {
    let records = TurnRecords::new(Arc::new(OneSilent), NodeId(1));
    let turn = TurnId::new("turn").expect("a name");
    let asked = Instant::now();
    let found = records.find_history(&turn, asked + Duration::from_secs(2)).await;
    assert_eq!(found, Ok(Some(Bytes::from_static(b"what was said"))));
    assert_eq!(asked.elapsed(), Duration::ZERO, "the clock stands still unless something waits");
}
