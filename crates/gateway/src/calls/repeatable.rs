//! Repeatable calls: not recorded, retried on other engines within the deadline and the retry
//! budget.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{CallRequest, Calls, new_attempt};
use crate::api::problem::{Code, Problem};
use crate::api::refusals::RETRY_SOON;
use crate::backend::answer::{Answer, Refusal};
use crate::backend::exchange::ExchangeError;
use crate::backoff::Backoff;

const INITIAL_BACKOFF: Duration = Duration::from_millis(10);
const MAX_BACKOFF: Duration = Duration::from_millis(250);

/// Number of attempts in baseline mode, whatever the error.
const BASELINE_ATTEMPTS: usize = 3;

impl Calls {
    /// Makes a repeatable call.
    ///
    /// # Errors
    /// `try_again`, `overloaded` or `deadline_exceeded`; none guarantees that the call did not run.
    pub async fn call_repeatable(&self, request: &CallRequest) -> Result<Answer, Problem> {
        self.check_circuit(request)?;
        let attempt = new_attempt();
        let dispatch = request.dispatch(&attempt);
        let mut backoff = Backoff::new(INITIAL_BACKOFF, MAX_BACKOFF);
        let mut tried = Vec::new();
        let mut last_error = None;
        self.retries.deposit();
        loop {
            let slot = match (self.acquire_slot(request, &tried).await, last_error.take()) {
                (Ok(slot), _) => slot,
                (Err(_), Some(error)) => return Err(failure_problem(&error, request.deadline)),
                (Err(reason), None) => return Err(reason.into()),
            };
            let (target, result) = self.send(request, slot, &dispatch).await;
            let error = match result {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            tried.push(target.run.clone());
            if !self.may_retry(&error, tried.len()) {
                return Err(failure_problem(&error, request.deadline));
            }
            if matches!(error, ExchangeError::Lost(_)) {
                let wait = backoff.next_wait();
                if Instant::now() + wait >= request.deadline {
                    return Err(failure_problem(&error, request.deadline));
                }
                sleep(wait).await;
            }
            last_error = Some(error);
            metrics::counter!("hooklug_gateway_retries_total").increment(1);
        }
    }

    /// Returns whether another attempt is allowed. A draining or identity refusal costs the engine
    /// no work and is free; any other retry is taken from the budget.
    fn may_retry(&self, error: &ExchangeError, attempts: usize) -> bool {
        if self.mode == hooklug_settings::GatewayMode::Plain {
            return attempts < BASELINE_ATTEMPTS;
        }
        match error {
            ExchangeError::Refused(Refusal::Draining | Refusal::Identity) => true,
            ExchangeError::Refused(Refusal::Overloaded)
            | ExchangeError::NotSent(_)
            | ExchangeError::Lost(_) => self.retries.withdraw(),
        }
    }
}

fn failure_problem(error: &ExchangeError, deadline: Instant) -> Problem {
    if Instant::now() >= deadline {
        let detail = format!("the deadline has passed; last attempt: {error}");
        return Problem::retryable(Code::DeadlineExceeded, detail, RETRY_SOON);
    }
    match error {
        ExchangeError::Refused(Refusal::Overloaded) => {
            Problem::retryable(Code::Overloaded, error.to_string(), RETRY_SOON)
        }
        _ => Problem::try_again(error.to_string(), RETRY_SOON),
    }
}
