//! Non-repeatable calls: claimed, dispatched at most once, recorded, and answered only after the
//! outcome is recorded.

use std::sync::Arc;
use std::time::Duration;

use hooklug_settings::GatewayMode;
use hooklug_state::shard::CallRecord;
use hooklug_types::{CallAttempt, CallOutcome};
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{Instrument, info_span, warn};

use super::record::{ClaimError, Claimed};
use super::{CallRequest, Calls, draw_attempt};
use crate::api::problem::{Code, Problem};
use crate::api::refusals;
use crate::backend::Target;
use crate::backend::answer::Answer;
use crate::backend::exchange::ExchangeError;
use crate::backend::table::Outstanding;
use crate::backoff::Backoff;

const FIRST_WAIT: Duration = Duration::from_millis(20);
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// Time limit for recording an outcome, even after the caller disconnected.
const RECORD_TIME: Duration = Duration::from_secs(120);

/// Interval between lookups of a call that another gateway dispatched.
const LOOK_UP_INTERVAL: Duration = Duration::from_secs(1);

/// Time reserved at the end of a call's deadline, capped at a quarter of the remaining time, in
/// which the gateway still reports the known state instead of `deadline_exceeded`.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// How long a claim with an unknown result is followed up after its caller was told to retry.
const CLAIM_FOLLOW_UP_TIME: Duration = Duration::from_secs(60);

/// Minimum time that an engine gets for a call whose claim was granted late.
const LEAST_DISPATCH_TIME: Duration = Duration::from_secs(2);

/// Timeout for reading the record of a call that gets no engine slot, so that a shed call is
/// rejected quickly.
const RECORD_LOOK_TIME: Duration = Duration::from_secs(1);

/// Result of preparing a call before its claim.
enum Entered {
    /// A slot at an engine.
    Room(Outstanding),
    /// The call was claimed or sealed before.
    Recorded(Box<CallRecord>),
}

/// Outcome of a call, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// The application's recorded answer.
    Answered(Answer),
    /// Every engine refused it before it ran. The refusal is recorded, so the call will never run.
    Refused(Vec<u8>),
    /// The call may have run.
    Unknown,
    /// The call was sealed and did not run.
    NotRun,
}

impl Settled {
    fn of(outcome: CallOutcome) -> Self {
        match outcome {
            CallOutcome::Answered { status, body } if status == refused_status() => {
                Self::Refused(body)
            }
            CallOutcome::Answered { status, body } => {
                Self::Answered(Answer { status, body: body.into() })
            }
            CallOutcome::Unknown => Self::Unknown,
            CallOutcome::NotRun => Self::NotRun,
        }
    }
}

/// Status under which a refusal by all engines is recorded; an application cannot return it
/// (docs/BACKENDS.md).
pub(crate) fn refused_status() -> u16 {
    Code::CallRefused.status().as_u16()
}

impl Calls {
    /// Makes a non-repeatable call. The work continues when the caller disconnects.
    ///
    /// # Errors
    /// A problem whose `outcome` is consistent with the record.
    pub async fn once(self: &Arc<Self>, request: CallRequest) -> Result<Settled, Problem> {
        let deadline = request.deadline;
        let span = info_span!("call", program = %request.program, call = %request.call);
        let calls = self.clone();
        let work = async move { calls.claim_and_run(request).await }.instrument(span);
        let running = self.running.spawn(work);
        match timeout_at(deadline, running).await {
            Ok(Ok(settled)) => settled,
            Ok(Err(_)) => Err(unknown("the gateway failed internally while the call was running")),
            Err(_) => Err(Problem::unknown(
                Code::DeadlineExceeded,
                "the call's outcome was not recorded before the deadline",
            )),
        }
    }

    async fn claim_and_run(self: Arc<Self>, request: CallRequest) -> Result<Settled, Problem> {
        let room = match self.enter(&request).await? {
            Entered::Room(room) => room,
            Entered::Recorded(record) => return self.await_other(&request, *record).await,
        };
        let attempt = draw_attempt();
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        loop {
            let error = match self.claim(&request, &attempt, request.deadline).await {
                Ok(Claimed::Granted) => {
                    return Ok(self.run_claimed(&request, &attempt, self.still_open(room)).await);
                }
                Ok(Claimed::Held(record)) => {
                    drop(room);
                    return self.await_other(&request, *record).await;
                }
                Err(ClaimError::Refused(refusal)) => return Err(refusals::ledger(&refusal)),
                Err(ClaimError::Uncertain(error)) => error,
            };
            let wait = backoff.next_wait();
            if Instant::now() + wait >= request.deadline {
                let calls = self.clone();
                self.running.spawn(calls.follow_up(request, attempt));
                return Err(error.into());
            }
            sleep(wait).await;
        }
    }

    /// Acquires an engine slot before the claim, so that a shed call leaves no claim behind. A call
    /// that has to wait or is rejected may be a resend that needs no engine, so its record is read
    /// in that case. A call that gets a slot at once needs no lookup, because its claim returns the
    /// same record.
    async fn enter(&self, request: &CallRequest) -> Result<Entered, Problem> {
        let entering = async {
            self.check_circuit(request)?;
            self.room(request, &[]).await
        };
        let looking = self.recorded(request);
        tokio::pin!(entering, looking);
        tokio::select! {
            // The slot is polled first, so that no lookup starts while one is free.
            biased;
            entered = &mut entering => match entered {
                Ok(room) => Ok(Entered::Room(room)),
                Err(reason) => match looking.await {
                    Some(record) => Ok(Entered::Recorded(record)),
                    None => Err(reason.into()),
                },
            },
            recorded = &mut looking => match recorded {
                Some(record) => Ok(Entered::Recorded(record)),
                None => Ok(Entered::Room(entering.await?)),
            },
        }
    }

    /// Reads the call's record; `None` when it does not exist or cannot be read in time.
    async fn recorded(&self, request: &CallRequest) -> Option<Box<CallRecord>> {
        let until = request.deadline.min(Instant::now() + RECORD_LOOK_TIME);
        let read = self.shards.call(&request.program, &request.call, until).await;
        read.ok().flatten().map(Box::new)
    }

    /// Completes a claim with an unknown result. The claim may still be committed and would then
    /// hold the call forever; a resend has to find an outcome.
    async fn follow_up(self: Arc<Self>, mut request: CallRequest, attempt: CallAttempt) {
        let until = Instant::now() + CLAIM_FOLLOW_UP_TIME;
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        while Instant::now() < until {
            match self.claim(&request, &attempt, until).await {
                Ok(Claimed::Granted) => {
                    request.deadline = request.deadline.max(Instant::now() + LEAST_DISPATCH_TIME);
                    self.run_claimed(&request, &attempt, None).await;
                    return;
                }
                Ok(Claimed::Held(_)) | Err(ClaimError::Refused(_)) => return,
                Err(ClaimError::Uncertain(_)) => sleep(backoff.next_wait()).await,
            }
        }
        warn!(call = %request.call, "could not determine whether the call's claim was committed; giving up");
    }

    /// Keeps the slot acquired before the claim unless its engine was removed or started draining
    /// since; a claim may wait as long as its shard is unreachable.
    fn still_open(&self, room: Outstanding) -> Option<Outstanding> {
        match self.mode {
            GatewayMode::Plain => Some(room),
            GatewayMode::Full => self.backends.is_open(&room.target).then_some(room),
        }
    }

    /// Dispatches a claimed call and records its outcome.
    async fn run_claimed(
        &self,
        request: &CallRequest,
        attempt: &CallAttempt,
        room: Option<Outstanding>,
    ) -> Settled {
        let outcome = self.dispatch_once(request, attempt, room).await;
        let name = request.name(attempt);
        let recorded = self.finish(&name, &outcome, RECORD_TIME).await;
        recorded.map_or(Settled::Unknown, Settled::of)
    }

    /// Tries engines until one accepts the call; no other engine is tried after that.
    async fn dispatch_once(
        &self,
        request: &CallRequest,
        attempt: &CallAttempt,
        mut room: Option<Outstanding>,
    ) -> CallOutcome {
        let dispatch = request.dispatch(attempt);
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        let mut tried = Vec::new();
        loop {
            if room.is_none() {
                room = self.room(request, &tried).await.ok();
            }
            if let Some(taken) = room.take() {
                let (target, answered) = self.send(request, taken, &dispatch).await;
                match answered {
                    Ok(answer) => return answered_outcome(&answer),
                    Err(ExchangeError::Lost(reason)) => {
                        warn!(call = %request.call, engine = %target.run.engine, %reason, "response to a non-repeatable call was lost");
                        return self.after_lost(request, &target).await;
                    }
                    Err(ExchangeError::NotSent(_) | ExchangeError::Refused(_)) => {
                        tried.push(target.run.clone());
                        continue;
                    }
                }
            }
            let wait = backoff.next_wait();
            if Instant::now() + wait >= request.deadline {
                return refused_outcome();
            }
            sleep(wait).await;
            tried.clear();
        }
    }

    /// Looks up the call at the engine whose response was lost, which may still know the result.
    async fn after_lost(&self, request: &CallRequest, target: &Arc<Target>) -> CallOutcome {
        let asked = std::slice::from_ref(target);
        let found = self.ask_engines(asked, &request.program, &request.call).await;
        found.map_or(CallOutcome::Unknown, |answer| answered_outcome(&answer))
    }

    /// Waits for the outcome of another attempt, and queries the engines for it in case that
    /// attempt's gateway has failed.
    async fn await_other(
        &self,
        request: &CallRequest,
        mut record: CallRecord,
    ) -> Result<Settled, Problem> {
        let digest = request.digest();
        let left = request.deadline.saturating_duration_since(Instant::now());
        let until = Instant::now() + left.saturating_sub(ANSWER_TIME.min(left / 4));
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        let mut look_up_at = Instant::now() + LOOK_UP_INTERVAL;
        loop {
            if record.digest != digest {
                return Err(Problem::new(Code::CallDiffers, "the call exists with other content"));
            }
            let is_unknown = record.outcome == Some(CallOutcome::Unknown);
            if is_unknown || (record.outcome.is_none() && Instant::now() >= look_up_at) {
                let refreshed = self.refreshed(&request.program, record.clone());
                record = timeout_at(until, refreshed).await.unwrap_or(record);
                look_up_at = Instant::now() + LOOK_UP_INTERVAL;
            }
            if let Some(outcome) = record.outcome.clone() {
                return Ok(Settled::of(outcome));
            }
            let wait = backoff.next_wait();
            if Instant::now() + wait >= until {
                return Ok(Settled::Unknown);
            }
            sleep(wait).await;
            let read = self.shards.call(&request.program, &request.call, until).await?;
            record = read.ok_or_else(|| unknown("the call's record has expired"))?;
        }
    }
}

pub(super) fn answered_outcome(answer: &Answer) -> CallOutcome {
    CallOutcome::Answered { status: answer.status, body: answer.body.to_vec() }
}

/// The recorded outcome when no engine accepted the call: this attempt will never run.
fn refused_outcome() -> CallOutcome {
    let problem = Problem::new(
        Code::CallRefused,
        "no application engine accepted the call before its deadline; use a new call id to retry",
    );
    CallOutcome::Answered { status: refused_status(), body: problem.to_json() }
}

/// `502 call_unknown`.
pub(crate) fn unknown(detail: &str) -> Problem {
    Problem::unknown(Code::CallUnknown, detail)
}
