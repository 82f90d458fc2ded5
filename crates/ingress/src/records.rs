//! Budgets, owners and kept turns in the shards.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use hooklug_state::shard::{
    EndTurn, ShardAnswer, ShardCommand, ShardQuery, ShardRefusal, ShardReply, StartTurn,
    StartedTurn,
};
use hooklug_store::{StateAccess, Unavailable};
use hooklug_types::{
    GroupId, META_GROUP, NodeId, SessionEpoch, SessionKey, TokenCount, TurnId, shard_of,
};
use tokio::time::Instant;

use crate::TurnRequest;

/// Added to the time for which turns are kept (ours): the clocks of two group leaders may differ by some seconds.
const CLOCK_MARGIN: Duration = Duration::from_secs(5);

/// Why a turn was not begun.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// The budget is spent, for good.
    #[error("the token budget is spent")]
    BudgetSpent,
    /// Other turns hold what is left of the budget.
    #[error("what is left of the token budget is held by other turns")]
    BudgetReserved,
    /// The turn to go on from is not kept in the program's shard.
    #[error("the turn to go on from is not kept in this shard")]
    UnknownTurn,
    /// The turn's id has been used before.
    #[error("the id of the turn has been used before")]
    Repeated,
    /// The shard gave no answer in time.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
}

/// Why a turn's end was not recorded.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum EndError {
    /// The shard refuses it for good: a later turn of the session has begun, or the program is forgotten.
    #[error("refused: {0}")]
    Refused(ShardRefusal),
    /// The shard gave no answer in time.
    #[error(transparent)]
    Unavailable(#[from] Unavailable),
}

/// What a turn's beginning says beside the request.
#[derive(Debug, Clone, Default)]
pub struct Beginning {
    /// The new input, on routes that keep turns.
    pub input: Option<Bytes>,
    /// Whether the history is not at hand.
    pub wants_history: bool,
    /// The history, when another program's shard keeps it.
    pub imported: Option<Bytes>,
    /// Longest time that the turn may run.
    pub time_limit: Duration,
    /// How long finished turns are kept.
    pub keep: Duration,
}

/// A turn's records. Cheap to clone.
#[derive(Debug, Clone)]
pub struct TurnRecords {
    state: Arc<dyn StateAccess>,
    host: NodeId,
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl TurnRecords {
    /// Records of the turns of this session host.
    #[must_use]
    pub fn new(state: Arc<dyn StateAccess>, host: NodeId) -> Self {
        Self { state, host }
    }

    /// Begins a turn; this host owns the session from here on.
    ///
    /// # Errors
    /// [`StartError`]; after `Unavailable` the turn may have been begun, and counts against the budget until its
    /// time limit and beyond.
    pub async fn start(
        &self,
        turn: &TurnRequest,
        beginning: Beginning,
        deadline: Instant,
    ) -> Result<StartedTurn, StartError> {
        let command = ShardCommand::StartTurn(StartTurn {
            key: key_of(turn),
            turn: turn.turn.clone(),
            host: self.host,
            after: turn.after.clone(),
            token_budget: turn.token_budget,
            max_tokens: turn.max_tokens,
            input: beginning.input,
            wants_history: beginning.wants_history,
            imported: beginning.imported,
            time_limit_ms: millis(beginning.time_limit),
            keep_ms: millis(beginning.keep + CLOCK_MARGIN),
        });
        let group = shard_of(turn.program.as_str());
        match self.state.execute_shard(group, &command, deadline).await? {
            ShardReply::Started(started) => Ok(started),
            ShardReply::Refused(ShardRefusal::BudgetSpent) => Err(StartError::BudgetSpent),
            ShardReply::Refused(ShardRefusal::BudgetReserved) => Err(StartError::BudgetReserved),
            ShardReply::Refused(ShardRefusal::UnknownTurn) => Err(StartError::UnknownTurn),
            _ => Err(StartError::Repeated),
        }
    }

    /// Ends a turn; with its whole output it is kept.
    ///
    /// # Errors
    /// [`EndError`]; the turn must then not look whole to its caller.
    pub async fn end(
        &self,
        turn: &TurnRequest,
        epoch: SessionEpoch,
        tokens: TokenCount,
        output: Option<Bytes>,
        deadline: Instant,
    ) -> Result<(), EndError> {
        let command = ShardCommand::EndTurn(EndTurn {
            key: key_of(turn),
            turn: turn.turn.clone(),
            epoch,
            tokens,
            output,
        });
        let group = shard_of(turn.program.as_str());
        match self.state.execute_shard(group, &command, deadline).await? {
            ShardReply::Refused(refusal) => Err(EndError::Refused(refusal)),
            _ => Ok(()),
        }
    }

    /// The history up to and with a turn that another program keeps; `None` when no shard keeps it.
    ///
    /// # Errors
    /// When any shard gave no answer, and none that did keeps the turn.
    pub async fn find_history(
        &self,
        turn: &TurnId,
        deadline: Instant,
    ) -> Result<Option<Bytes>, Unavailable> {
        let query = ShardQuery::History(turn.clone());
        let shards: Vec<GroupId> = GroupId::all().filter(|group| *group != META_GROUP).collect();
        let ask = |shard: &GroupId| self.state.query_shard(*shard, &query, deadline);
        let mut asked: FuturesUnordered<_> = shards.iter().map(ask).collect();
        let mut missing = None;
        while let Some(answer) = asked.next().await {
            match answer {
                Ok(ShardAnswer::History(Some(history))) => return Ok(Some(history)),
                Ok(_) => {}
                Err(error) => missing = Some(error),
            }
        }
        missing.map_or(Ok(None), Err)
    }
}

fn key_of(turn: &TurnRequest) -> SessionKey {
    SessionKey { program: turn.program.clone(), session: turn.session.clone() }
}
