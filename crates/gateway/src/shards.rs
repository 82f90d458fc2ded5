//! Typed shard queries and commands on top of [`StateAccess`].

use std::sync::Arc;

use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_state::shard::{
    CallRecord, Event, ProgramRecord, SessionRecord, ShardAnswer, ShardCommand, ShardQuery,
    ShardReply, TurnRecord,
};
use hooklug_store::{StateAccess, Unavailable};
use hooklug_types::{
    CallId, EngineIncarnation, EventSeq, GroupId, ProgramId, SessionKey, TurnId, shard_of,
};
use tokio::time::Instant;

use crate::api::problem::Problem;
use crate::api::refusals::RETRY_STORE;

/// Maximum number of events per query.
const EVENT_PAGE: u32 = 256;

/// A shard returned no usable reply; the outcome of a command is unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ShardError {
    /// The shard could not be reached.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
    /// The reply has a type that does not match the query.
    #[error("the shard's reply does not match the query")]
    Unexpected,
}

impl From<ShardError> for Problem {
    fn from(error: ShardError) -> Self {
        Problem::try_again(error.to_string(), RETRY_STORE)
    }
}

/// Client of all shards. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Shards {
    state: Arc<dyn StateAccess>,
}

fn group_of(program: &ProgramId) -> GroupId {
    shard_of(program.as_str())
}

impl Shards {
    /// Creates a client on top of a state access.
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>) -> Self {
        Self { state }
    }

    /// Applies a command to a program's shard. Commands are idempotent by their key.
    ///
    /// # Errors
    /// [`ShardError`]: the outcome is unknown; the command may have been applied or may still be
    /// applied.
    pub async fn execute(
        &self,
        program: &ProgramId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<ShardReply, ShardError> {
        Ok(self.state.execute_shard(group_of(program), command, deadline).await?)
    }

    async fn query(
        &self,
        program: &ProgramId,
        query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, ShardError> {
        Ok(self.state.query_shard(group_of(program), query, deadline).await?)
    }

    /// Reads a program.
    ///
    /// # Errors
    /// [`ShardError`] when the shard cannot be read.
    pub async fn program(
        &self,
        program: &ProgramId,
        deadline: Instant,
    ) -> Result<Option<ProgramRecord>, ShardError> {
        match self.query(program, &ShardQuery::Program(program.clone()), deadline).await? {
            ShardAnswer::Program(record) => Ok(record),
            _ => Err(ShardError::Unexpected),
        }
    }

    /// Reads a session.
    ///
    /// # Errors
    /// [`ShardError`] when the shard cannot be read.
    pub async fn session(
        &self,
        key: &SessionKey,
        deadline: Instant,
    ) -> Result<Option<SessionRecord>, ShardError> {
        match self.query(&key.program, &ShardQuery::Session(key.clone()), deadline).await? {
            ShardAnswer::Session(record) => Ok(record),
            _ => Err(ShardError::Unexpected),
        }
    }

    /// Reads a turn.
    ///
    /// # Errors
    /// [`ShardError`] when the shard cannot be read.
    pub async fn turn(
        &self,
        key: &SessionKey,
        turn: &TurnId,
        deadline: Instant,
    ) -> Result<Option<TurnRecord>, ShardError> {
        let query = ShardQuery::Turn { key: key.clone(), turn: turn.clone() };
        match self.query(&key.program, &query, deadline).await? {
            ShardAnswer::Turn(record) => Ok(record),
            _ => Err(ShardError::Unexpected),
        }
    }

    /// Reads one page of a session's events after a sequence number; the flag reports whether more
    /// follow.
    ///
    /// # Errors
    /// [`ShardError`] when the shard cannot be read.
    pub async fn events(
        &self,
        key: &SessionKey,
        after: EventSeq,
        deadline: Instant,
    ) -> Result<(Vec<Event>, bool), ShardError> {
        let query = ShardQuery::Events { key: key.clone(), after, limit: EVENT_PAGE };
        match self.query(&key.program, &query, deadline).await? {
            ShardAnswer::Events { events, more } => Ok((events, more)),
            _ => Err(ShardError::Unexpected),
        }
    }

    /// Reads a call.
    ///
    /// # Errors
    /// [`ShardError`] when the shard cannot be read.
    pub async fn call(
        &self,
        program: &ProgramId,
        call: &CallId,
        deadline: Instant,
    ) -> Result<Option<CallRecord>, ShardError> {
        let query = ShardQuery::Call { program: program.clone(), call: call.clone() };
        match self.query(program, &query, deadline).await? {
            ShardAnswer::Call(record) => Ok(record),
            _ => Err(ShardError::Unexpected),
        }
    }

    /// Requests that an engine's lease be expired.
    ///
    /// # Errors
    /// [`ShardError`] when the shard cannot be read.
    pub async fn expire_lease(
        &self,
        engine: &EngineIncarnation,
        deadline: Instant,
    ) -> Result<LeaseStatus, ShardError> {
        let group = shard_of(engine.engine.as_str());
        let subject = LeaseSubject::Engine(engine.clone());
        Ok(self.state.expire_lease(group, subject, deadline).await?)
    }
}
