//! Calls that may not be repeated: claimed, dispatched at most once, recorded, and only then answered.

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

/// How long an outcome is tried to be recorded, whether or not its caller still waits (ours).
const RECORD_TIME: Duration = Duration::from_secs(120);

/// Wait between look-ups of a call that another gateway runs, or ran (ours).
const LOOK_UP_INTERVAL: Duration = Duration::from_secs(1);

/// Left of a call's time when its record is no longer waited for, but a quarter of it at most (ours): its caller is
/// told what is known, and not that the time is over.
const ANSWER_TIME: Duration = Duration::from_secs(1);

/// How long a claim of unknown fate is followed up after its caller was told to try again (ours).
const CLAIM_FOLLOW_UP_TIME: Duration = Duration::from_secs(60);

/// Least time that an engine gets for a call whose claim was granted late (ours).
const LEAST_DISPATCH_TIME: Duration = Duration::from_secs(2);

/// Time for the record of a call that has no room (ours): what is shed is told so soon.
const RECORD_LOOK_TIME: Duration = Duration::from_secs(1);

/// What a call meets before its claim.
enum Entered {
    /// Room at an engine.
    Room(Outstanding),
    /// It was begun or sealed before.
    Recorded(Box<CallRecord>),
}

/// How a call stands, for its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Settled {
    /// The application's recorded answer.
    Answered(Answer),
    /// Every engine refused it before it ran; recorded, so it never will.
    Refused(Vec<u8>),
    /// It may have run.
    Unknown,
    /// Sealed.
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

/// Status under which a refusal by all engines is recorded; never an application's own (docs/BACKENDS.md).
pub(crate) fn refused_status() -> u16 {
    Code::CallRefused.status().as_u16()
}

impl Calls {
    /// Makes a call that may not be repeated. The work goes on when the caller goes away.
    ///
    /// # Errors
    /// A problem that claims no more than the record does.
    pub async fn once(self: &Arc<Self>, request: CallRequest) -> Result<Settled, Problem> {
        let deadline = request.deadline;
        let span = info_span!("call", program = %request.program, call = %request.call);
        let calls = self.clone();
        let work = async move { calls.claim_and_run(request).await }.instrument(span);
        let running = self.running.spawn(work);
        match timeout_at(deadline, running).await {
            Ok(Ok(settled)) => settled,
            Ok(Err(_)) => Err(unknown("the gateway failed while the call ran")),
            Err(_) => Err(Problem::unknown(Code::DeadlineExceeded, "no recorded answer in time")),
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

    /// Room comes before the claim: a call that is shed must not leave one behind. A call that has to
    /// wait, or is turned away, may be a resend that needs no engine: its record decides then. One
    /// that finds room at once is not looked up, as its claim tells the same.
    async fn enter(&self, request: &CallRequest) -> Result<Entered, Problem> {
        let entering = async {
            self.check_circuit(request)?;
            self.room(request, &[]).await
        };
        let looking = self.recorded(request);
        tokio::pin!(entering, looking);
        tokio::select! {
            // Room is looked for first, so that no look-up begins while there is some.
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

    /// The call's record, if its shard tells one soon.
    async fn recorded(&self, request: &CallRequest) -> Option<Box<CallRecord>> {
        let until = request.deadline.min(Instant::now() + RECORD_LOOK_TIME);
        let read = self.shards.call(&request.program, &request.call, until).await;
        read.ok().flatten().map(Box::new)
    }

    /// The claim may be committed yet, and would then hold the call for ever: it is carried through,
    /// so that a resend finds an outcome.
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
        warn!(call = %request.call, "a claim's fate is not known");
    }

    /// Room that was taken before the claim, unless its engine has left or begun to drain since: a
    /// claim may wait as long as its shard cannot be reached.
    fn still_open(&self, room: Outstanding) -> Option<Outstanding> {
        match self.mode {
            GatewayMode::Plain => Some(room),
            GatewayMode::Full => self.backends.is_open(&room.target).then_some(room),
        }
    }

    /// Dispatches a claimed call and records how it ended.
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

    /// Tries engines until one has taken the call. After that, no other is tried.
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
                        warn!(call = %request.call, engine = %target.run.engine, %reason, "answer lost");
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

    /// The engine that lost its answer may still know it.
    async fn after_lost(&self, request: &CallRequest, target: &Arc<Target>) -> CallOutcome {
        let asked = std::slice::from_ref(target);
        let found = self.ask_engines(asked, &request.program, &request.call).await;
        found.map_or(CallOutcome::Unknown, |answer| answered_outcome(&answer))
    }

    /// Waits for the outcome of another gateway's attempt, and looks for it at the engines in case
    /// that gateway has gone.
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
            record = read.ok_or_else(|| unknown("the call's keep time is over"))?;
        }
    }
}

pub(super) fn answered_outcome(answer: &Answer) -> CallOutcome {
    CallOutcome::Answered { status: answer.status, body: answer.body.to_vec() }
}

/// No engine took the call and none will: the attempt is over with this record.
fn refused_outcome() -> CallOutcome {
    let problem = Problem::new(
        Code::CallRefused,
        "no application engine took the call in time; use a new call id to try again",
    );
    CallOutcome::Answered { status: refused_status(), body: problem.to_json() }
}

/// `502 call_unknown`.
pub(crate) fn unknown(detail: &str) -> Problem {
    Problem::unknown(Code::CallUnknown, detail)
}
