//! Shared state behind a link that can stall: what was sent meanwhile arrives late, its answer is lost.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hooklug_protocol::store::{LeaseSubject, LeaseVerdict};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_store::{MemoryState, StateAccess, Unavailable};
use hooklug_types::{GroupId, META_GROUP};
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

#[derive(Debug, Clone)]
pub struct StalledState {
    inner: MemoryState,
    stalled: Arc<watch::Sender<bool>>,
    delay: Arc<watch::Sender<Duration>>,
    renewals: Arc<watch::Sender<u32>>,
}

impl StalledState {
    pub fn new(inner: MemoryState) -> Self {
        Self { inner, stalled: Arc::default(), delay: Arc::default(), renewals: Arc::default() }
    }

    pub fn stall(&self, stalled: bool) {
        self.stalled.send_replace(stalled);
    }

    /// Renewals of leases that were sent since the link stalled.
    pub fn stalled_renewals(&self) -> u32 {
        *self.renewals.borrow()
    }

    /// Makes answers to commands come so much later.
    pub fn delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    async fn pass(&self, group: GroupId, deadline: Instant) -> Result<(), Unavailable> {
        let mut stalled = self.stalled.subscribe();
        match timeout_at(deadline, stalled.wait_for(|s| !*s)).await {
            Ok(_) => Ok(()),
            Err(_) => Err(Unavailable { group, reason: "stalled".to_owned() }),
        }
    }
}

#[async_trait]
impl StateAccess for StalledState {
    async fn execute_shard(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<ShardReply, Unavailable> {
        if !*self.stalled.borrow() {
            let answer = self.inner.execute_shard(group, command, deadline).await;
            let delay = *self.delay.borrow();
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            return answer;
        }
        if matches!(command, ShardCommand::RenewLease { .. }) {
            self.renewals.send_modify(|sent| *sent += 1);
        }
        let (inner, command) = (self.inner.clone(), command.clone());
        let mut stalled = self.stalled.subscribe();
        tokio::spawn(async move {
            // The link's other end lives as long as the test.
            let _ = stalled.wait_for(|s| !*s).await.map(|s| *s);
            let _ = inner.execute_shard(group, &command, Instant::now() + super::PATIENCE).await;
        });
        tokio::time::sleep_until(deadline).await;
        Err(Unavailable { group, reason: "stalled".to_owned() })
    }

    async fn query_shard(
        &self,
        group: GroupId,
        query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable> {
        self.pass(group, deadline).await?;
        self.inner.query_shard(group, query, deadline).await
    }

    async fn execute_meta(
        &self,
        command: &MetaCommand,
        deadline: Instant,
    ) -> Result<MetaReply, Unavailable> {
        self.pass(META_GROUP, deadline).await?;
        self.inner.execute_meta(command, deadline).await
    }

    async fn query_meta(
        &self,
        query: &MetaQuery,
        deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable> {
        self.pass(META_GROUP, deadline).await?;
        self.inner.query_meta(query, deadline).await
    }

    async fn expire_lease(
        &self,
        group: GroupId,
        subject: LeaseSubject,
        deadline: Instant,
    ) -> Result<LeaseVerdict, Unavailable> {
        self.pass(group, deadline).await?;
        self.inner.expire_lease(group, subject, deadline).await
    }
}
