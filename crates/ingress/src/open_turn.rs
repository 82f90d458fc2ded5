//! A turn whose end is not recorded yet. Its end is recorded however its request ends, also when the
//! future that serves it is dropped while a command is in flight.

use std::time::Duration;

use bytes::Bytes;
use hooklug_state::shard::StartedChainedTurn;
use hooklug_types::{SessionEpoch, TokenCount, shard_of};
use tokio::time::Instant;
use tracing::debug;

use crate::TurnRequest;
use crate::records::{StartError, TurnRecords, TurnStart, end_command};
use crate::running_turns::RunningTurn;
use crate::waiting_ends::{WaitingEnd, WaitingEnds};

/// Longest time for recording the end of a turn that its caller waits for.
pub(crate) const END_TIMEOUT: Duration = Duration::from_secs(3);

/// What the shard may know of a turn, which determines how the turn is ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// The shard has no open turn and will not have one.
    NotOpen,
    /// The turn may be open, now or later. No engine has received it.
    MayBeOpen,
    /// The turn is open under this epoch; an engine may have received it.
    Open(SessionEpoch),
}

/// A turn whose end is not recorded yet. If it is dropped, its end joins the waiting ends: the tokens
/// that were sent to the caller, or the cancellation of a turn that no engine has received.
#[derive(Debug)]
pub(crate) struct OpenTurn {
    records: TurnRecords,
    ends: WaitingEnds,
    /// Taken when the end joins the waiting ends.
    running: Option<RunningTurn>,
    pub(crate) turn: TurnRequest,
    /// Number of tokens sent to the caller.
    pub(crate) tokens: TokenCount,
    /// Time for which the shard retains the turn's program.
    retention: Duration,
    stage: Stage,
}

impl OpenTurn {
    /// Creates a turn that is not started yet.
    pub(crate) fn new(
        records: TurnRecords,
        ends: WaitingEnds,
        running: RunningTurn,
        turn: TurnRequest,
        retention: Duration,
    ) -> Self {
        let (tokens, stage) = (TokenCount(0), Stage::NotOpen);
        Self { records, ends, running: Some(running), turn, tokens, retention, stage }
    }

    /// Starts the turn in its shard. It may be started again after a refusal.
    pub(crate) async fn start(
        &mut self,
        start: TurnStart,
        deadline: Instant,
    ) -> Result<StartedChainedTurn, StartError> {
        let sent = Instant::now();
        let earlier = std::mem::replace(&mut self.stage, Stage::MayBeOpen);
        let result = self.records.start(&self.turn, start, deadline).await;
        if !matches!(result, Err(StartError::Unavailable(_))) {
            self.ends.shard_replied(shard_of(self.turn.program.as_str()), sent);
        }
        self.stage = match &result {
            Ok(started) => Stage::Open(started.epoch),
            Err(error) if error.may_be_open() => Stage::MayBeOpen,
            Err(_) => earlier,
        };
        result
    }

    /// Records the end of a complete turn; returns whether that succeeded.
    pub(crate) async fn end_complete(&mut self, output: Bytes, deadline: Instant) -> bool {
        let Stage::Open(epoch) = self.stage else { return false };
        let (turn, tokens) = (&self.turn, self.tokens);
        match self.records.end(turn, epoch, tokens, Some(output), deadline).await {
            Ok(()) => {
                self.stage = Stage::NotOpen;
                true
            }
            Err(error) => {
                debug!(turn = %turn.turn, %error, "cannot record the end of a turn");
                false
            }
        }
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        let command = match self.stage {
            Stage::NotOpen => return,
            Stage::MayBeOpen => self.records.cancel_command(&self.turn, self.retention),
            Stage::Open(epoch) => end_command(&self.turn, epoch, self.tokens, None),
        };
        let Some(turn) = self.running.take() else { return };
        let give_up = Instant::now() + self.retention;
        self.ends.push(WaitingEnd { turn, command, give_up });
    }
}
