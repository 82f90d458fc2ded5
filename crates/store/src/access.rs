//! Interface through which the other parts of hooklug access the replicated state.

use async_trait::async_trait;
use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_types::GroupId;
use tokio::time::Instant;

/// A group did not reply by the deadline. The outcome is unknown: a command may have been applied,
/// or may still be applied later.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("group {group} is unavailable: {reason}")]
pub struct Unavailable {
    /// The group.
    pub group: GroupId,
    /// Why the last attempt failed.
    pub reason: String,
}

/// The reply to a command, and whether the command may be applied once more.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Executed {
    /// The reply to the last copy of the command that was sent.
    pub reply: ShardReply,
    /// Whether an earlier copy got no reply and may still be applied. Such a copy may succeed after
    /// this reply was a refusal.
    pub copy_may_follow: bool,
}

/// Linearizable access to the replicated state. Commands are idempotent, so implementations retry
/// them until the deadline.
#[async_trait]
pub trait StateAccess: Send + Sync + std::fmt::Debug {
    /// Applies a command to a shard.
    ///
    /// # Errors
    /// [`Unavailable`] if there was no reply by the deadline; the command may still have been
    /// applied.
    async fn execute_shard(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<ShardReply, Unavailable>;

    /// Applies a command to a shard like [`StateAccess::execute_shard`], and reports whether a copy
    /// of it may be applied after the reply. The default is for implementations that send each
    /// command once.
    ///
    /// # Errors
    /// [`Unavailable`] if there was no reply by the deadline; the command may still be applied.
    async fn execute_shard_tracked(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<Executed, Unavailable> {
        let reply = self.execute_shard(group, command, deadline).await?;
        Ok(Executed { reply, copy_may_follow: false })
    }

    /// Reads from a shard.
    ///
    /// # Errors
    /// [`Unavailable`] if there was no reply by the deadline.
    async fn query_shard(
        &self,
        group: GroupId,
        query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable>;

    /// Applies a command to the meta group.
    ///
    /// # Errors
    /// [`Unavailable`] if there was no reply by the deadline; the command may still have been
    /// applied.
    async fn execute_meta(
        &self,
        command: &MetaCommand,
        deadline: Instant,
    ) -> Result<MetaReply, Unavailable>;

    /// Reads from the meta group.
    ///
    /// # Errors
    /// [`Unavailable`] if there was no reply by the deadline.
    async fn query_meta(
        &self,
        query: &MetaQuery,
        deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable>;

    /// Requests that a lease be expired, and returns whether it has expired or is still held.
    ///
    /// # Errors
    /// [`Unavailable`] if there was no reply by the deadline; the lease may still have been
    /// expired.
    async fn expire_lease(
        &self,
        group: GroupId,
        subject: LeaseSubject,
        deadline: Instant,
    ) -> Result<LeaseStatus, Unavailable>;
}
