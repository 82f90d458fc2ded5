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
use super::{CallRequest, Calls, new_attempt};
use crate::api::problem::{Code, Problem};
use crate::api::refusals;
use crate::backend::Target;
use crate::backend::answer::Answer;
use crate::backend::exchange::ExchangeError;
use crate::backend::table::EngineSlot;
use crate::backoff::Backoff;

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Time limit for recording an outcome, even after the caller disconnected.
const RECORD_TIMEOUT: Duration = Duration::from_secs(120);

/// Interval between lookups of a call that another gateway dispatched.
const LOOKUP_INTERVAL: Duration = Duration::from_secs(1);

/// Time reserved at the end of a call's deadline, capped at a quarter of the remaining time, in
/// which the gateway still reports the known state instead of `deadline_exceeded`.
const REPLY_MARGIN: Duration = Duration::from_secs(1);

/// How long a claim with an unknown result is followed up after its caller got a retryable error.
const CLAIM_FOLLOW_UP_TIME: Duration = Duration::from_secs(60);

/// Minimum time that an engine gets for a call whose claim was granted late.
const MIN_DISPATCH_TIME: Duration = Duration::from_secs(2);

/// Timeout for reading the record of a call that gets no engine slot, so that a shed call is
/// rejected quickly.
const RECORD_READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Result of preparing a call before its claim.
enum Preparation {
    /// A slot at an engine.
    Slot(EngineSlot),
    /// The call was claimed or sealed before.
    Recorded(Box<CallRecord>),
}

/// Outcome of a call, as reported to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The application's recorded answer.
    Answered(Answer),
    /// Every engine refused it before it ran. The refusal is recorded, so the call will never run.
    Refused(Vec<u8>),
    /// The call may have run.
    Unknown,
    /// The call was sealed and did not run.
    NotRun,
}

impl CallResult {
    fn from_outcome(outcome: CallOutcome) -> Self {
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
    pub async fn call_non_repeatable(
        self: &Arc<Self>,
        request: CallRequest,
    ) -> Result<CallResult, Problem> {
        let deadline = request.deadline;
        let span = info_span!("call", program = %request.program, call = %request.call);
        let calls = self.clone();
        let work = async move { calls.claim_and_run(request).await }.instrument(span);
        let running = self.running.spawn(work);
        match timeout_at(deadline, running).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(unknown("the gateway failed internally while the call was running")),
            Err(_) => Err(Problem::unknown(
                Code::DeadlineExceeded,
                "the call's outcome was not recorded before the deadline",
            )),
        }
    }

    async fn claim_and_run(self: Arc<Self>, request: CallRequest) -> Result<CallResult, Problem> {
        let slot = match self.acquire_or_find_record(&request).await? {
            Preparation::Slot(slot) => slot,
            Preparation::Recorded(record) => {
                return self.await_other_attempt(&request, *record).await;
            }
        };
        let attempt = new_attempt();
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        loop {
            let error = match self.claim(&request, &attempt, request.deadline).await {
                Ok(Claimed::Granted) => {
                    return Ok(self
                        .run_claimed(&request, &attempt, self.retain_if_open(slot))
                        .await);
                }
                Ok(Claimed::Held(record)) => {
                    drop(slot);
                    return self.await_other_attempt(&request, *record).await;
                }
                Err(ClaimError::Refused(refusal)) => return Err(refusals::from_shard(&refusal)),
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
    async fn acquire_or_find_record(&self, request: &CallRequest) -> Result<Preparation, Problem> {
        let acquiring = async {
            self.check_circuit(request)?;
            self.acquire_slot(request, &[]).await
        };
        let reading = self.read_record(request);
        tokio::pin!(acquiring, reading);
        tokio::select! {
            // The slot is polled first, so that no lookup starts while one is free.
            biased;
            acquired = &mut acquiring => match acquired {
                Ok(slot) => Ok(Preparation::Slot(slot)),
                Err(reason) => match reading.await {
                    Some(record) => Ok(Preparation::Recorded(record)),
                    None => Err(reason.into()),
                },
            },
            found = &mut reading => match found {
                Some(record) => Ok(Preparation::Recorded(record)),
                None => Ok(Preparation::Slot(acquiring.await?)),
            },
        }
    }

    /// Reads the call's record; `None` when it does not exist or cannot be read in time.
    async fn read_record(&self, request: &CallRequest) -> Option<Box<CallRecord>> {
        let until = request.deadline.min(Instant::now() + RECORD_READ_TIMEOUT);
        let read = self.shards.call(&request.program, &request.call, until).await;
        read.ok().flatten().map(Box::new)
    }

    /// Completes a claim with an unknown result. The claim may still be committed and would then
    /// hold the call forever; a resend has to find an outcome.
    async fn follow_up(self: Arc<Self>, mut request: CallRequest, attempt: CallAttempt) {
        let until = Instant::now() + CLAIM_FOLLOW_UP_TIME;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        while Instant::now() < until {
            match self.claim(&request, &attempt, until).await {
                Ok(Claimed::Granted) => {
                    request.deadline = request.deadline.max(Instant::now() + MIN_DISPATCH_TIME);
                    self.run_claimed(&request, &attempt, None).await;
                    return;
                }
                Ok(Claimed::Held(_)) | Err(ClaimError::Refused(_)) => return,
                Err(ClaimError::Uncertain(_)) => sleep(backoff.next_wait()).await,
            }
        }
        warn!(call = %request.call, "could not determine whether the call's claim was committed; giving up");
    }

    /// Retains the slot acquired before the claim unless its engine was removed or started draining
    /// since; a claim may wait as long as its shard is unreachable.
    fn retain_if_open(&self, slot: EngineSlot) -> Option<EngineSlot> {
        match self.mode {
            GatewayMode::Plain => Some(slot),
            GatewayMode::Full => self.backends.is_open(&slot.target).then_some(slot),
        }
    }

    /// Dispatches a claimed call and records its outcome.
    async fn run_claimed(
        &self,
        request: &CallRequest,
        attempt: &CallAttempt,
        slot: Option<EngineSlot>,
    ) -> CallResult {
        let outcome = self.dispatch_once(request, attempt, slot).await;
        let key = request.attempt_key(attempt);
        let committed = self.finish(&key, &outcome, RECORD_TIMEOUT).await;
        committed.map_or(CallResult::Unknown, CallResult::from_outcome)
    }

    /// Tries engines until one accepts the call; no other engine is tried after that.
    async fn dispatch_once(
        &self,
        request: &CallRequest,
        attempt: &CallAttempt,
        mut slot: Option<EngineSlot>,
    ) -> CallOutcome {
        let dispatch = request.dispatch(attempt);
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut tried = Vec::new();
        loop {
            if slot.is_none() {
                slot = self.acquire_slot(request, &tried).await.ok();
            }
            if let Some(acquired) = slot.take() {
                let (target, result) = self.send(request, acquired, &dispatch).await;
                match result {
                    Ok(answer) => return answered_outcome(&answer),
                    Err(ExchangeError::Lost(reason)) => {
                        warn!(call = %request.call, engine = %target.run.engine, %reason, "response to a non-repeatable call was lost");
                        return self.outcome_after_loss(request, &target).await;
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
    async fn outcome_after_loss(&self, request: &CallRequest, target: &Arc<Target>) -> CallOutcome {
        let targets = std::slice::from_ref(target);
        let found = self.query_engines(targets, &request.program, &request.call).await;
        found.map_or(CallOutcome::Unknown, |answer| answered_outcome(&answer))
    }

    /// Waits for the outcome of another attempt, and queries the engines for it in case that
    /// attempt's gateway has failed.
    async fn await_other_attempt(
        &self,
        request: &CallRequest,
        mut record: CallRecord,
    ) -> Result<CallResult, Problem> {
        let digest = request.digest();
        let left = request.deadline.saturating_duration_since(Instant::now());
        let until = Instant::now() + left.saturating_sub(REPLY_MARGIN.min(left / 4));
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut next_lookup = Instant::now() + LOOKUP_INTERVAL;
        loop {
            if record.digest != digest {
                return Err(Problem::new(Code::CallDiffers, "the call exists with other content"));
            }
            let is_unknown = record.outcome == Some(CallOutcome::Unknown);
            if is_unknown || (record.outcome.is_none() && Instant::now() >= next_lookup) {
                let completed = self.complete_record(&request.program, record.clone());
                record = timeout_at(until, completed).await.unwrap_or(record);
                next_lookup = Instant::now() + LOOKUP_INTERVAL;
            }
            if let Some(outcome) = record.outcome.clone() {
                return Ok(CallResult::from_outcome(outcome));
            }
            let wait = backoff.next_wait();
            if Instant::now() + wait >= until {
                return Ok(CallResult::Unknown);
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

/// Creates a `502 call_unknown` error.
pub(crate) fn unknown(detail: &str) -> Problem {
    Problem::unknown(Code::CallUnknown, detail)
}
