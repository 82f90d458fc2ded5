//! What the rest of hooklug needs of shared state, whoever serves it.

use async_trait::async_trait;
use hooklug_protocol::store::{LeaseSubject, LeaseVerdict};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_types::GroupId;
use tokio::time::Instant;

/// The group gave no answer by the deadline. Claims nothing: a command may have been applied, or may be yet.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("group {group} cannot be reached: {reason}")]
pub struct Unavailable {
    /// The group.
    pub group: GroupId,
    /// What was tried last.
    pub reason: String,
}

/// Linearizable access to the replicated state. Commands are idempotent, so an implementation sends
/// them again until the deadline.
#[async_trait]
pub trait StateAccess: Send + Sync + std::fmt::Debug {
    /// Applies a command of a shard.
    ///
    /// # Errors
    /// [`Unavailable`] claims nothing.
    async fn execute_shard(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<ShardReply, Unavailable>;

    /// Reads from a shard.
    ///
    /// # Errors
    /// [`Unavailable`] claims nothing.
    async fn query_shard(
        &self,
        group: GroupId,
        query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable>;

    /// Applies a command of the meta group.
    ///
    /// # Errors
    /// [`Unavailable`] claims nothing.
    async fn execute_meta(
        &self,
        command: &MetaCommand,
        deadline: Instant,
    ) -> Result<MetaReply, Unavailable>;

    /// Reads from the meta group.
    ///
    /// # Errors
    /// [`Unavailable`] claims nothing.
    async fn query_meta(
        &self,
        query: &MetaQuery,
        deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable>;

    /// Asks for a lease to be ended.
    ///
    /// # Errors
    /// [`Unavailable`] claims nothing.
    async fn expire_lease(
        &self,
        group: GroupId,
        subject: LeaseSubject,
        deadline: Instant,
    ) -> Result<LeaseVerdict, Unavailable>;
}
