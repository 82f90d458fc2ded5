//! Claims non-repeatable calls and records their outcomes in the program's shard.

use std::time::Duration;

use hooklug_state::shard::{BeginCall, CallRecord, ShardCommand, ShardRefusal, ShardReply};
use hooklug_types::{CallAttempt, CallOutcome};
use tokio::time::{Instant, sleep};

use super::{CallRequest, Calls};
use crate::backend::exchange::AttemptKey;
use crate::backoff::Backoff;
use crate::shards::ShardError;

/// Timeout of one attempt to record an outcome.
const RECORD_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);

const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Result of a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claimed {
    /// This attempt may dispatch the call, once.
    Granted,
    /// Another attempt holds the call, or the call has an outcome.
    Held(Box<CallRecord>),
}

impl Calls {
    /// Claims the right to dispatch a call once.
    ///
    /// # Errors
    /// The shard's refusal, or [`ClaimError::Uncertain`] when the result of the claim is unknown.
    pub(crate) async fn claim(
        &self,
        request: &CallRequest,
        attempt: &CallAttempt,
        deadline: Instant,
    ) -> Result<Claimed, ClaimError> {
        let command = ShardCommand::BeginCall(BeginCall {
            program: request.program.clone(),
            call: request.call.clone(),
            attempt: attempt.clone(),
            digest: request.digest(),
            route: request.route.clone(),
        });
        match self.shards.execute(&request.program, &command, deadline).await? {
            ShardReply::CallGranted => Ok(Claimed::Granted),
            ShardReply::Call(record) => Ok(Claimed::Held(Box::new(record))),
            ShardReply::Refused(ShardRefusal::CallHeld { record }) => Ok(Claimed::Held(record)),
            ShardReply::Refused(refusal) => Err(ClaimError::Refused(refusal)),
            _ => Err(ShardError::Unexpected.into()),
        }
    }

    /// Retries recording an outcome until it or another outcome is committed. Returns the recorded
    /// outcome, or `None` when the shard could not be reached within `time`.
    pub(crate) async fn finish(
        &self,
        key: &AttemptKey,
        outcome: &CallOutcome,
        time: Duration,
    ) -> Option<CallOutcome> {
        let command = ShardCommand::FinishCall {
            program: key.program.clone(),
            call: key.call.clone(),
            attempt: key.attempt.clone(),
            outcome: outcome.clone(),
        };
        let until = Instant::now() + time;
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        while Instant::now() < until {
            let deadline = until.min(Instant::now() + RECORD_ATTEMPT_TIMEOUT);
            match self.shards.execute(&key.program, &command, deadline).await {
                Ok(ShardReply::Call(record)) => return record.outcome,
                Ok(ShardReply::Done) => return Some(outcome.clone()),
                Ok(ShardReply::Refused(ShardRefusal::CallHeld { record })) => {
                    return record.outcome;
                }
                Ok(_) => return None,
                Err(_) => sleep(backoff.next_wait()).await,
            }
        }
        None
    }
}

/// Why a claim was not confirmed.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ClaimError {
    /// The shard refused the claim; nothing is claimed.
    #[error(transparent)]
    Refused(#[from] ShardRefusal),
    /// The result is unknown; the claim may still be committed.
    #[error(transparent)]
    Uncertain(#[from] ShardError),
}
