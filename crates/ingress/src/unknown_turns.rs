//! Tells operators why a turn was refused because the turn before it is unknown.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hooklug_state::shard::{ChainedTurnStatus, ShardAnswer, ShardQuery};
use hooklug_store::StateAccess;
use hooklug_types::{TurnId, shard_of};
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use tracing::warn;

use crate::TurnRequest;

/// Longest time for reading what the shard knows.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of refusals that are explained at the same time; more are only counted.
const MAX_EXPLANATIONS: u32 = 8;

/// What is known of the turn that a refused turn names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// No shard retains the turn, and that of the program knows this much of it.
    Status(ChainedTurnStatus),
    /// The shard did not say.
    Unavailable,
}

impl Reason {
    /// Name of the reason in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Status(ChainedTurnStatus::UnknownProgram) => "unknown_program",
            Self::Status(ChainedTurnStatus::UnknownTurn) => "unknown_turn",
            Self::Status(ChainedTurnStatus::Open) => "open",
            Self::Status(ChainedTurnStatus::NotRetained) => "not_retained",
            Self::Status(ChainedTurnStatus::Retained) => "retained_by_now",
            Self::Unavailable => "shard_unavailable",
        }
    }
}

/// Logs and counts refusals of turns whose previous turn no shard retains. Cheap to clone.
#[derive(Debug, Clone)]
pub(crate) struct UnknownTurns {
    state: Arc<dyn StateAccess>,
    tasks: TaskTracker,
    running: Arc<AtomicU32>,
}

impl UnknownTurns {
    pub(crate) fn new(state: Arc<dyn StateAccess>, tasks: TaskTracker) -> Self {
        Self { state, tasks, running: Arc::default() }
    }

    /// Reads, after the refusal, what the program's shard knows of the turn, and logs it.
    pub(crate) fn explain(&self, turn: &TurnRequest, after: &TurnId) {
        metrics::counter!("hooklug_ingress_unknown_turns_total").increment(1);
        if self.running.fetch_add(1, Ordering::Relaxed) >= MAX_EXPLANATIONS {
            self.running.fetch_sub(1, Ordering::Relaxed);
            return;
        }
        let (this, turn, after) = (self.clone(), turn.clone(), after.clone());
        self.tasks.spawn(async move {
            let reason = read_reason(this.state.as_ref(), &turn, &after).await;
            this.running.fetch_sub(1, Ordering::Relaxed);
            metrics::counter!("hooklug_ingress_unknown_turn_reasons_total", "reason" => reason.name())
                .increment(1);
            warn!(
                reason = reason.name(),
                %after,
                turn = %turn.turn,
                program = %turn.program,
                session = %turn.session,
                "a turn is refused: no shard retains the turn before it"
            );
        });
    }
}

/// Reads what a program's shard knows of the turn that a refused turn names.
pub async fn read_reason(state: &dyn StateAccess, turn: &TurnRequest, after: &TurnId) -> Reason {
    let query = ShardQuery::ChainedTurn { program: turn.program.clone(), turn: after.clone() };
    let deadline = Instant::now() + READ_TIMEOUT;
    match state.query_shard(shard_of(turn.program.as_str()), &query, deadline).await {
        Ok(ShardAnswer::ChainedTurn(status)) => Reason::Status(status),
        _ => Reason::Unavailable,
    }
}
