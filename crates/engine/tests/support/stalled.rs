//! State access over a link that can stall: commands sent during a stall are applied when it ends,
//! and their replies are lost.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
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

    /// Number of lease renewals sent while the link was stalled.
    pub fn stalled_renewals(&self) -> u32 {
        *self.renewals.borrow()
    }

    /// Delays the replies to commands.
    pub fn delay(&self, delay: Duration) {
        self.delay.send_replace(delay);
    }

    async fn wait_for_link(&self, group: GroupId, deadline: Instant) -> Result<(), Unavailable> {
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
            let reply = self.inner.execute_shard(group, command, deadline).await;
            let delay = *self.delay.borrow();
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            return reply;
        }
        if matches!(command, ShardCommand::RenewLease { .. }) {
            self.renewals.send_modify(|sent| *sent += 1);
        }
        let (inner, command) = (self.inner.clone(), command.clone());
        let mut stalled = self.stalled.subscribe();
        tokio::spawn(async move {
            // The sender lives as long as the test, so the wait ends only with the stall.
            let _ = stalled.wait_for(|s| !*s).await.map(|s| *s);
            let _ =
                inner.execute_shard(group, &command, Instant::now() + super::TEST_TIMEOUT).await;
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
        self.wait_for_link(group, deadline).await?;
        self.inner.query_shard(group, query, deadline).await
    }

    async fn execute_meta(
        &self,
        command: &MetaCommand,
        deadline: Instant,
    ) -> Result<MetaReply, Unavailable> {
        self.wait_for_link(META_GROUP, deadline).await?;
        self.inner.execute_meta(command, deadline).await
    }

    async fn query_meta(
        &self,
        query: &MetaQuery,
        deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable> {
        self.wait_for_link(META_GROUP, deadline).await?;
        self.inner.query_meta(query, deadline).await
    }

    async fn expire_lease(
        &self,
        group: GroupId,
        subject: LeaseSubject,
        deadline: Instant,
    ) -> Result<LeaseStatus, Unavailable> {
        self.wait_for_link(group, deadline).await?;
        self.inner.expire_lease(group, subject, deadline).await
    }
}
