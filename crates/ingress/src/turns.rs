//! Turns of chained sessions: this host owns the session, forwards the turn to an engine and records
//! the output.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use tokio::time::Instant;

use crate::answer::{IngressAnswer, Refusal};
use crate::attempt::Attempt;
use crate::backends::{Outcome, RequestKind};
use crate::calls::AttemptHistory;
use crate::deadline::RequestDeadlines;
use crate::ingress::{Ingress, Routing};
use crate::open_turn::OpenTurn;
use crate::records::{StartError, StartRefusal, TurnStart};
use crate::routes::NamedRoute;
use crate::{AnswerBody, IngressRequest, TurnRequest};

/// Longest wait for the shard before a turn is refused; an election takes about a second.
const START_TIMEOUT: Duration = Duration::from_millis(1_800);

/// Retry time returned to a caller when the shard is unavailable, as without a leader.
const SHARD_RETRY: Duration = Duration::from_millis(200);

/// Retry time returned to a caller when other turns of the program have reserved the budget.
const BUDGET_RETRY: Duration = Duration::from_millis(250);

/// Retention time on routes that do not retain turns, so that the budgets of programs survive a
/// restart.
const LEDGER_RETENTION: Duration = Duration::from_secs(60);

/// Maximum size of an engine's error response, in bytes.
const MAX_ERROR_BODY_BYTES: usize = 64 << 10;

impl Ingress {
    /// Serves a turn of a chained session.
    pub(crate) async fn serve_turn(
        &self,
        request: &IngressRequest,
        turn: &TurnRequest,
        route: &NamedRoute,
        routing: &Arc<Routing>,
    ) -> IngressAnswer {
        let deadlines = RequestDeadlines::for_request(request, &route.route);
        let (open, history) = match self.start_turn(request, turn, route, &deadlines).await {
            Ok(started) => started,
            Err(refusal) => return refusal.into(),
        };
        let body = match &history {
            Some(history) => concatenated(history, &request.body),
            None => request.body.clone(),
        };
        self.run_turn(request, route, routing, RunningTurn { open, body, deadlines }).await
    }

    /// Starts a turn in the shard and returns it with the history that it continues.
    async fn start_turn(
        &self,
        request: &IngressRequest,
        turn: &TurnRequest,
        route: &NamedRoute,
        deadlines: &RequestDeadlines,
    ) -> Result<(OpenTurn, Option<Bytes>), Refusal> {
        let keep = route.route.keep_ms.map(Duration::from_millis);
        let retention = keep.unwrap_or(LEDGER_RETENTION);
        let cached = turn.after.as_ref().and_then(|after| self.histories.get(after));
        let start = TurnStart {
            input: keep.map(|_| request.body.clone()),
            include_history: turn.after.is_some() && cached.is_none(),
            imported: None,
            time_limit: deadlines.left(Instant::now()),
            retention,
        };
        let deadline = deadlines.end.min(Instant::now() + START_TIMEOUT);
        let running = self.running_turns.register(turn).ok_or_else(duplicate_turn)?;
        let (records, ends) = (self.records.clone(), self.waiting_ends.clone());
        let mut open = OpenTurn::new(records, ends, running, turn.clone(), retention);
        let history = match open.start(start.clone(), deadline).await {
            Ok(started) => started.history.or(cached),
            Err(StartError::Refused { refusal: StartRefusal::UnknownTurn, .. }) => {
                let imported = self.import(&mut open, start, cached, deadline).await;
                if let (Err(Refusal::UnknownTurn), Some(after)) = (&imported, &turn.after) {
                    self.unknown_turns.explain(turn, after);
                }
                Some(imported?)
            }
            Err(error) => return Err(self.start_refusal(turn, &error)),
        };
        Ok((open, history))
    }

    /// Starts a turn that continues a turn of another program, whose history is searched in all
    /// shards; returns the history.
    async fn import(
        &self,
        open: &mut OpenTurn,
        start: TurnStart,
        cached: Option<Bytes>,
        deadline: Instant,
    ) -> Result<Bytes, Refusal> {
        let Some(after) = &open.turn.after else { return Err(Refusal::UnknownTurn) };
        let found = match cached {
            Some(cached) => Some(cached),
            None => {
                self.records.find_history(after, deadline).await.map_err(|_| shard_unavailable())?
            }
        };
        let history = found.ok_or(Refusal::UnknownTurn)?;
        let imported = Some(history.clone());
        let start = TurnStart { imported, include_history: false, ..start };
        if let Err(error) = open.start(start, deadline).await {
            return Err(self.start_refusal(&open.turn, &error));
        }
        Ok(history)
    }

    /// Returns the refusal of a turn that was not started. A budget is not spent while the end of a
    /// turn of the program waits here, which may release its reservation.
    fn start_refusal(&self, turn: &TurnRequest, error: &StartError) -> Refusal {
        match refusal(error) {
            Refusal::BudgetSpent if self.waiting_ends.has_end_of(&turn.program) => {
                not_run("the end of a turn is not recorded yet", BUDGET_RETRY)
            }
            refusal => refusal,
        }
    }

    /// Finds an engine that accepts the turn and forwards its stream.
    async fn run_turn(
        &self,
        request: &IngressRequest,
        route: &NamedRoute,
        routing: &Arc<Routing>,
        running: RunningTurn,
    ) -> IngressAnswer {
        let RunningTurn { open, body, deadlines } = running;
        let kind = RequestKind::Prompt(&request.prompt);
        let mut attempts = AttemptHistory::default();
        loop {
            let reservation = self.reserve_backend(route, &mut attempts, kind, &deadlines).await;
            let Some(reservation) = reservation else {
                return not_run(
                    "no engine of the route has capacity",
                    crate::calls::AT_CAPACITY_RETRY,
                )
                .into();
            };
            let attempt =
                self.send(request, &body, route, reservation, &mut attempts, &deadlines).await;
            match attempt {
                Attempt::AtCapacity | Attempt::NotExecuted | Attempt::NotSent => {}
                Attempt::TimedOut => return Refusal::TimedOut.into(),
                Attempt::ResponseLost(reason) => return Refusal::ResponseLost(reason).into(),
                Attempt::Responded(response) if response.head.status == StatusCode::OK => {
                    return self.forward_stream(*response, route, routing, open, body, deadlines);
                }
                Attempt::Responded(mut response) => {
                    let body = response.read_body(deadlines.end, MAX_ERROR_BODY_BYTES).await;
                    self.record(route, &response, false, response.sent.elapsed());
                    let head = response.head.clone();
                    let Ok(body) = body else {
                        response.reservation.end(Outcome::NoResponse);
                        return Refusal::ResponseLost(
                            "the engine's error response is incomplete".to_owned(),
                        )
                        .into();
                    };
                    response.end(&self.connections, Outcome::Failed);
                    return IngressAnswer::Forwarded(head, AnswerBody::from(body));
                }
            }
        }
    }
}

/// A started turn with the complete prompt for its engine.
struct RunningTurn {
    open: OpenTurn,
    body: Bytes,
    deadlines: RequestDeadlines,
}

fn not_run(reason: &'static str, retry_after: Duration) -> Refusal {
    Refusal::NotRun { reason, retry_after }
}

fn shard_unavailable() -> Refusal {
    not_run("the turn's shard is unavailable", SHARD_RETRY)
}

/// The refusal of a turn whose id is in use or was used. An earlier request with it may have run.
fn duplicate_turn() -> Refusal {
    Refusal::ResponseLost("the turn id was already used".to_owned())
}

fn refusal(error: &StartError) -> Refusal {
    let StartError::Refused { refusal, .. } = error else { return shard_unavailable() };
    match refusal {
        StartRefusal::BudgetSpent => Refusal::BudgetSpent,
        StartRefusal::BudgetReserved => {
            not_run("other turns have reserved the budget", BUDGET_RETRY)
        }
        StartRefusal::UnknownTurn => Refusal::UnknownTurn,
        StartRefusal::DuplicateTurn => duplicate_turn(),
    }
}

pub(crate) fn concatenated(first: &[u8], second: &[u8]) -> Bytes {
    let mut bytes = BytesMut::with_capacity(first.len() + second.len());
    bytes.extend_from_slice(first);
    bytes.extend_from_slice(second);
    bytes.freeze()
}
