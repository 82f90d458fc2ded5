//! Records the start and the end of turns in the shards, with budgets, owners and histories.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hooklug_state::shard::{
    EndChainedTurn, ShardAnswer, ShardCommand, ShardQuery, ShardRefusal, ShardReply,
    StartChainedTurn, StartedChainedTurn,
};
use hooklug_store::{StateAccess, Unavailable};
use hooklug_types::{
    GroupId, META_GROUP, NodeId, SessionEpoch, SessionId, SessionKey, TokenCount, TurnId, shard_of,
};
use tokio::time::Instant;

use crate::TurnRequest;

/// Added to the retention time of turns, because the clocks of two group leaders may differ by some
/// seconds.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Why a turn was not started.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The shard refused the turn.
    #[error("{refusal}")]
    Refused {
        /// The reason.
        refusal: StartRefusal,
        /// Whether the turn is open in the shard, or may still be opened there: the reply to an
        /// earlier copy of the command was lost.
        may_be_open: bool,
    },
    /// The shard did not reply in time; the turn may be open there.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
}

impl StartError {
    /// Whether the turn may be open in the shard, now or later.
    #[must_use]
    pub fn may_be_open(&self) -> bool {
        match self {
            Self::Refused { may_be_open, .. } => *may_be_open,
            Self::Unavailable(_) => true,
        }
    }
}

/// Why a shard refused to start a turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum StartRefusal {
    /// The token budget is spent permanently.
    #[error("the token budget is spent")]
    BudgetSpent,
    /// The rest of the budget is reserved by other turns.
    #[error("the rest of the token budget is reserved by other turns")]
    BudgetReserved,
    /// The program's shard does not have the previous turn.
    #[error("the program's shard does not have the previous turn")]
    UnknownTurn,
    /// The id of the turn was already used.
    #[error("the id of the turn was already used")]
    DuplicateTurn,
}

/// Why a turn's end was not recorded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndError {
    /// The shard refuses it permanently: a later turn of the session has started, or the program's
    /// record was removed.
    #[error("the shard refused to end the turn: {0}")]
    Refused(ShardRefusal),
    /// The shard did not reply in time.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
}

/// Parameters of a turn's start in addition to the request.
#[derive(Debug, Clone, Default)]
pub struct TurnStart {
    /// The new input, on routes that retain turns.
    pub input: Option<Bytes>,
    /// Whether the shard must return the history because it is not cached.
    pub include_history: bool,
    /// The history, if it was read from another program's shard.
    pub imported: Option<Bytes>,
    /// Maximum duration of the turn.
    pub time_limit: Duration,
    /// Retention time of finished turns.
    pub retention: Duration,
}

/// Access to the records of turns in the shards. Cheap to clone.
#[derive(Debug, Clone)]
pub struct TurnRecords {
    state: Arc<dyn StateAccess>,
    host: NodeId,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl TurnRecords {
    /// Creates the access for a session host.
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>, host: NodeId) -> Self {
        Self { state, host }
    }

    /// Starts a turn; this host owns the session afterwards.
    ///
    /// # Errors
    /// [`StartError`]. If the turn may be open, it counts against the budget until its time limit
    /// and beyond, unless it is cancelled.
    pub async fn start(
        &self,
        turn: &TurnRequest,
        start: TurnStart,
        deadline: Instant,
    ) -> Result<StartedChainedTurn, StartError> {
        let command = ShardCommand::StartChainedTurn(StartChainedTurn {
            key: key_of(turn),
            turn: turn.turn.clone(),
            host: self.host,
            after: turn.after.clone(),
            token_budget: turn.token_budget,
            max_tokens: turn.max_tokens,
            input: start.input,
            include_history: start.include_history,
            imported: start.imported,
            time_limit_ms: millis(start.time_limit),
            keep_ms: millis(start.retention + CLOCK_MARGIN),
        });
        let group = shard_of(turn.program.as_str());
        let executed = self.state.execute_shard_tracked(group, &command, deadline).await?;
        let (refusal, is_open) = match executed.reply {
            ShardReply::ChainedTurnStarted(started) => return Ok(started),
            ShardReply::Refused(ShardRefusal::BudgetSpent) => (StartRefusal::BudgetSpent, false),
            ShardReply::Refused(ShardRefusal::BudgetReserved) => {
                (StartRefusal::BudgetReserved, false)
            }
            ShardReply::Refused(ShardRefusal::UnknownTurn) => (StartRefusal::UnknownTurn, false),
            // An earlier copy has opened the turn, and a later turn of the session has started.
            ShardReply::Refused(ShardRefusal::Superseded) => (StartRefusal::DuplicateTurn, true),
            _ => (StartRefusal::DuplicateTurn, false),
        };
        let may_be_open = is_open || executed.copy_may_follow;
        Err(StartError::Refused { refusal, may_be_open })
    }

    /// Returns the command that cancels a turn that has run nowhere: its reservation is released if it
    /// is open, and a copy of its start that arrives later is refused.
    ///
    /// An ended turn is never started again. So one log entry starts the turn, if it is not open,
    /// without reserving tokens, and ends it. It starts it in a session of its own, since a start
    /// fences the earlier turns of its session.
    #[must_use]
    pub fn cancel_command(&self, turn: &TurnRequest, retention: Duration) -> ShardCommand {
        let own_session = SessionId::new(turn.turn.as_str())
            .unwrap_or_else(|_| unreachable!("turns and sessions are named alike"));
        let key = SessionKey { program: turn.program.clone(), session: own_session };
        let start = StartChainedTurn {
            key: key.clone(),
            turn: turn.turn.clone(),
            host: self.host,
            after: None,
            token_budget: None,
            max_tokens: TokenCount(0),
            input: None,
            include_history: false,
            imported: None,
            time_limit_ms: 0,
            keep_ms: millis(retention + CLOCK_MARGIN),
        };
        let end = EndChainedTurn {
            key,
            turn: turn.turn.clone(),
            epoch: SessionEpoch::default(),
            tokens: TokenCount(0),
            output: None,
        };
        ShardCommand::Batch(vec![
            ShardCommand::StartChainedTurn(start),
            ShardCommand::EndChainedTurn(end),
        ])
    }

    /// Ends a turn. The turn is retained if its complete output is given.
    ///
    /// # Errors
    /// [`EndError`]; the caller of the turn must then not receive a complete response.
    pub async fn end(
        &self,
        turn: &TurnRequest,
        epoch: SessionEpoch,
        tokens: TokenCount,
        output: Option<Bytes>,
        deadline: Instant,
    ) -> Result<(), EndError> {
        let command = end_command(turn, epoch, tokens, output);
        let group = shard_of(turn.program.as_str());
        match self.state.execute_shard(group, &command, deadline).await? {
            ShardReply::Refused(refusal) => Err(EndError::Refused(refusal)),
            _ => Ok(()),
        }
    }

    /// Searches all shards for the history up to and including a turn; `None` if no shard has it.
    ///
    /// # Errors
    /// If some shard did not reply and none of the others has the turn.
    pub async fn find_history(
        &self,
        turn: &TurnId,
        deadline: Instant,
    ) -> Result<Option<Bytes>, Unavailable> {
        let query = ShardQuery::History(turn.clone());
        let shards: Vec<GroupId> = GroupId::all().filter(|group| *group != META_GROUP).collect();
        let query_history = |shard: &GroupId| self.state.query_shard(*shard, &query, deadline);
        let mut queries: FuturesUnordered<_> = shards.iter().map(query_history).collect();
        let mut unavailable = None;
        while let Some(answer) = queries.next().await {
            match answer {
                Ok(ShardAnswer::History(Some(history))) => return Ok(Some(history)),
                Ok(_) => {}
                Err(error) => unavailable = Some(error),
            }
        }
        unavailable.map_or(Ok(None), Err)
    }
}

fn key_of(turn: &TurnRequest) -> SessionKey {
    SessionKey { program: turn.program.clone(), session: turn.session.clone() }
}

/// Returns the command that ends a turn.
pub(crate) fn end_command(
    turn: &TurnRequest,
    epoch: SessionEpoch,
    tokens: TokenCount,
    output: Option<Bytes>,
) -> ShardCommand {
    ShardCommand::EndChainedTurn(EndChainedTurn {
        key: key_of(turn),
        turn: turn.turn.clone(),
        epoch,
        tokens,
        output,
    })
}
