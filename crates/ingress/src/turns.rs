//! Turns of chained sessions: this host owns the session, drives an engine, and keeps what was said.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use hooklug_state::shard::StartedTurn;
use hooklug_types::{SessionEpoch, TokenCount};
use http::StatusCode;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;
use tracing::debug;

use crate::answer::{IngressAnswer, Refusal};
use crate::attempt::Attempt;
use crate::backends::{Outcome, Purpose};
use crate::calls::Tries;
use crate::deadline::Times;
use crate::ingress::{Ingress, Routing};
use crate::records::{Beginning, StartError, TurnRecords};
use crate::routes::NamedRoute;
use crate::{AnswerBody, IngressRequest, TurnRequest};

/// Longest wait for the shard before a turn is refused (ours): an election takes about a second.
const START_TIME: Duration = Duration::from_millis(1_800);

/// Longest time in which the end of a turn is recorded (ours).
pub(crate) const END_TIME: Duration = Duration::from_secs(3);

/// When a caller should come back whose turn met a shard without a leader (ours).
const SHARD_RETRY: Duration = Duration::from_millis(200);

/// When a caller should come back whose program's other turns hold the budget (ours).
const BUDGET_RETRY: Duration = Duration::from_millis(250);

/// How long programs are remembered on routes that keep nothing (ours): their budgets outlive a restart.
const LEDGER_KEEP: Duration = Duration::from_secs(60);

/// Longest answer of an engine that is no stream, in bytes (ours).
const MOST_FAILURE_BYTES: usize = 64 << 10;

/// A turn that was begun and has not ended. Dropped without its end being recorded, it records what the caller got.
#[derive(Debug)]
pub(crate) struct OpenTurn {
    records: TurnRecords,
    afterwork: TaskTracker,
    pub(crate) turn: TurnRequest,
    epoch: SessionEpoch,
    /// Tokens that went to the caller.
    pub(crate) tokens: TokenCount,
    ended: bool,
}

impl OpenTurn {
    /// Records the end of a whole turn.
    pub(crate) async fn end_whole(&mut self, output: Bytes, deadline: Instant) -> bool {
        let (turn, tokens) = (&self.turn, self.tokens);
        match self.records.end(turn, self.epoch, tokens, Some(output), deadline).await {
            Ok(()) => {
                self.ended = true;
                true
            }
            Err(error) => {
                debug!(turn = %turn.turn, %error, "the end of a turn is not recorded");
                false
            }
        }
    }
}

impl Drop for OpenTurn {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let (records, turn) = (self.records.clone(), self.turn.clone());
        let (epoch, tokens) = (self.epoch, self.tokens);
        self.afterwork.spawn(async move {
            let deadline = Instant::now() + END_TIME;
            // Without this record the turn counts at its most.
            let _ = records.end(&turn, epoch, tokens, None, deadline).await;
        });
    }
}

impl Ingress {
    /// Serves a turn.
    pub(crate) async fn serve_turn(
        &self,
        request: &IngressRequest,
        turn: &TurnRequest,
        route: &NamedRoute,
        routing: &Arc<Routing>,
    ) -> IngressAnswer {
        let times = Times::of(request, &route.route);
        let (open, history) = match self.begin(request, turn, route, &times).await {
            Ok(begun) => begun,
            Err(refusal) => return refusal.into(),
        };
        let body = match &history {
            Some(history) => joined(history, &request.body),
            None => request.body.clone(),
        };
        self.run_turn(request, route, routing, RunningTurn { open, body, times }).await
    }

    /// Begins a turn in the shard; the history that it goes on from comes with it.
    async fn begin(
        &self,
        request: &IngressRequest,
        turn: &TurnRequest,
        route: &NamedRoute,
        times: &Times,
    ) -> Result<(OpenTurn, Option<Bytes>), Refusal> {
        let keep = route.route.keep_ms.map(Duration::from_millis);
        let held = turn.after.as_ref().and_then(|after| self.histories.get(after));
        let beginning = Beginning {
            input: keep.map(|_| request.body.clone()),
            wants_history: turn.after.is_some() && held.is_none(),
            imported: None,
            time_limit: times.left(Instant::now()),
            keep: keep.unwrap_or(LEDGER_KEEP),
        };
        let deadline = times.end.min(Instant::now() + START_TIME);
        let (started, history) = match self.records.start(turn, beginning.clone(), deadline).await {
            Ok(started) => (started, held),
            Err(StartError::UnknownTurn) => self.import(turn, beginning, held, deadline).await?,
            Err(error) => return Err(refusal(&error)),
        };
        let open = OpenTurn {
            records: self.records.clone(),
            afterwork: self.afterwork.clone(),
            turn: turn.clone(),
            epoch: started.epoch,
            tokens: TokenCount(0),
            ended: false,
        };
        Ok((open, started.history.or(history)))
    }

    /// Begins a turn that goes on from another program's turn: its history is looked for in all shards.
    async fn import(
        &self,
        turn: &TurnRequest,
        beginning: Beginning,
        held: Option<Bytes>,
        deadline: Instant,
    ) -> Result<(StartedTurn, Option<Bytes>), Refusal> {
        let Some(after) = &turn.after else { return Err(Refusal::UnknownTurn) };
        let found = match held {
            Some(held) => Some(held),
            None => self.records.find_history(after, deadline).await.map_err(|_| no_word())?,
        };
        let history = found.ok_or(Refusal::UnknownTurn)?;
        let imported = Some(history.clone());
        let beginning = Beginning { imported, wants_history: false, ..beginning };
        let started = self.records.start(turn, beginning, deadline).await;
        Ok((started.map_err(|error| refusal(&error))?, Some(history)))
    }

    /// Finds an engine that takes the turn and passes its stream on.
    async fn run_turn(
        &self,
        request: &IngressRequest,
        route: &NamedRoute,
        routing: &Arc<Routing>,
        running: RunningTurn,
    ) -> IngressAnswer {
        let RunningTurn { open, body, times } = running;
        let purpose = Purpose::Prompt(&request.prompt);
        let mut tries = Tries::default();
        loop {
            let reserved = self.pick_or_wait(route, &mut tries, purpose, &times).await;
            let Some(reserved) = reserved else {
                return refused("no engine has room", crate::calls::NO_ROOM_RETRY).into();
            };
            match self.send(request, &body, route, reserved, &times).await {
                Attempt::NoRoom | Attempt::NotExecuted | Attempt::NotSent => {}
                Attempt::TimedOut => return Refusal::TimedOut.into(),
                Attempt::Lost(reason) => return Refusal::AnswerLost(reason).into(),
                Attempt::Answered(answering) if answering.head.status == StatusCode::OK => {
                    return self.pass_stream(*answering, route, routing, open, body, times);
                }
                Attempt::Answered(mut answering) => {
                    let body = answering.whole_body(times.end, MOST_FAILURE_BYTES).await;
                    self.record(route, &answering, false, answering.sent.elapsed());
                    let head = answering.head.clone();
                    let Ok(body) = body else {
                        answering.reserved.end(Outcome::Broken);
                        return Refusal::AnswerLost("the answer was cut".to_owned()).into();
                    };
                    answering.end(&self.connections, Outcome::Failed);
                    return IngressAnswer::Passed(head, AnswerBody::from(body));
                }
            }
        }
    }
}

/// A turn that was begun, with the whole prompt for its engine.
struct RunningTurn {
    open: OpenTurn,
    body: Bytes,
    times: Times,
}

fn refused(reason: &'static str, retry_after: Duration) -> Refusal {
    Refusal::NotRun { reason, retry_after }
}

fn no_word() -> Refusal {
    refused("no word from the turn's shard", SHARD_RETRY)
}

fn refusal(error: &StartError) -> Refusal {
    match error {
        StartError::BudgetSpent => Refusal::BudgetSpent,
        StartError::BudgetReserved => refused("other turns hold the budget", BUDGET_RETRY),
        StartError::UnknownTurn => Refusal::UnknownTurn,
        StartError::Repeated => Refusal::AnswerLost("the id was used before".to_owned()),
        StartError::Unavailable(_) => no_word(),
    }
}

pub(crate) fn joined(first: &[u8], second: &[u8]) -> Bytes {
    let mut whole = BytesMut::with_capacity(first.len() + second.len());
    whole.extend_from_slice(first);
    whole.extend_from_slice(second);
    whole.freeze()
}
