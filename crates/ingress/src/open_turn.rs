//! A turn whose end is not recorded yet. Its end is recorded however its request ends, also when the
//! future that serves it is dropped while a command is in flight.

use std::time::Duration;

use bytes::Bytes;
use hooklug_state::shard::StartedChainedTurn;
use hooklug_types::{SessionEpoch, TokenCount};
use tokio::time::{Instant, sleep};
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::TurnRequest;
use crate::records::{EndError, StartError, TurnRecords, TurnStart};

/// Longest time for recording the end of a turn that its caller waits for, and for the first attempt
/// at recording an end in the background.
pub(crate) const END_TIMEOUT: Duration = Duration::from_secs(3);

/// Longest time for each later attempt at recording an end in the background.
const RETRY_TIMEOUT: Duration = Duration::from_secs(1);

/// First and longest pause between attempts at recording an end in the background.
const INITIAL_PAUSE: Duration = Duration::from_millis(250);
const MAX_PAUSE: Duration = Duration::from_secs(4);

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

/// A turn whose end is not recorded yet. If it is dropped, a background task records the tokens that
/// were sent to the caller, or cancels the turn if it was not started.
#[derive(Debug)]
pub(crate) struct OpenTurn {
    records: TurnRecords,
    background_tasks: TaskTracker,
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
        background_tasks: TaskTracker,
        turn: TurnRequest,
        retention: Duration,
    ) -> Self {
        let (tokens, stage) = (TokenCount(0), Stage::NotOpen);
        Self { records, background_tasks, turn, tokens, retention, stage }
    }

    /// Starts the turn in its shard. It may be started again after a refusal.
    pub(crate) async fn start(
        &mut self,
        start: TurnStart,
        deadline: Instant,
    ) -> Result<StartedChainedTurn, StartError> {
        let earlier = std::mem::replace(&mut self.stage, Stage::MayBeOpen);
        let result = self.records.start(&self.turn, start, deadline).await;
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
        if self.stage == Stage::NotOpen {
            return;
        }
        let unrecorded = UnrecordedEnd {
            records: self.records.clone(),
            turn: self.turn.clone(),
            tokens: self.tokens,
            retention: self.retention,
            stage: self.stage,
        };
        self.background_tasks.spawn(unrecorded.record());
    }
}

/// The end of a dropped turn.
struct UnrecordedEnd {
    records: TurnRecords,
    turn: TurnRequest,
    tokens: TokenCount,
    retention: Duration,
    stage: Stage,
}

impl UnrecordedEnd {
    /// Records the end as soon as the shard is available. If that is not before the end of the
    /// retention time, the turn counts with its maximum number of tokens.
    async fn record(self) {
        let give_up = Instant::now() + self.retention;
        let mut timeout = END_TIMEOUT;
        let mut pause = INITIAL_PAUSE;
        while let Err(EndError::Unavailable(error)) = self.try_record(timeout).await {
            debug!(turn = %self.turn.turn, %error, "cannot record the end of a turn yet");
            if Instant::now() + pause >= give_up {
                return;
            }
            sleep(pause).await;
            timeout = RETRY_TIMEOUT;
            pause = (pause * 2).min(MAX_PAUSE);
        }
    }

    async fn try_record(&self, timeout: Duration) -> Result<(), EndError> {
        let deadline = Instant::now() + timeout;
        match self.stage {
            Stage::NotOpen => Ok(()),
            Stage::MayBeOpen => self.records.cancel(&self.turn, self.retention, deadline).await,
            Stage::Open(epoch) => {
                self.records.end(&self.turn, epoch, self.tokens, None, deadline).await
            }
        }
    }
}
