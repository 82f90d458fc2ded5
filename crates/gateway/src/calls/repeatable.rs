//! Repeatable calls: not recorded, retried on other engines within the deadline and the retry
//! budget.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{CallRequest, Calls, draw_attempt};
use crate::api::problem::{Code, Problem};
use crate::api::refusals::RETRY_SOON;
use crate::backend::answer::{Answer, Refusal};
use crate::backend::exchange::ExchangeError;
use crate::backoff::Backoff;

const FIRST_WAIT: Duration = Duration::from_millis(10);
const LONGEST_WAIT: Duration = Duration::from_millis(250);

/// Number of attempts in baseline mode, whatever the error.
const PLAIN_TRIES: usize = 3;

impl Calls {
    /// Makes a repeatable call.
    ///
    /// # Errors
    /// `try_again`, `overloaded` or `deadline_exceeded`; none guarantees that the call did not run.
    pub async fn repeatable(&self, request: &CallRequest) -> Result<Answer, Problem> {
        self.check_circuit(request)?;
        let attempt = draw_attempt();
        let dispatch = request.dispatch(&attempt);
        let mut backoff = Backoff::new(FIRST_WAIT, LONGEST_WAIT);
        let mut tried = Vec::new();
        let mut last = None;
        self.retries.sent();
        loop {
            let room = match (self.room(request, &tried).await, last.take()) {
                (Ok(room), _) => room,
                (Err(_), Some(error)) => return Err(failed(&error, request.deadline)),
                (Err(reason), None) => return Err(reason.into()),
            };
            let (target, answered) = self.send(request, room, &dispatch).await;
            let error = match answered {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            tried.push(target.run.clone());
            if !self.may_try_again(&error, tried.len()) {
                return Err(failed(&error, request.deadline));
            }
            if matches!(error, ExchangeError::Lost(_)) {
                let wait = backoff.next_wait();
                if Instant::now() + wait >= request.deadline {
                    return Err(failed(&error, request.deadline));
                }
                sleep(wait).await;
            }
            last = Some(error);
            metrics::counter!("hooklug_gateway_retries_total").increment(1);
        }
    }

    /// Returns whether another attempt is allowed. A draining or identity refusal costs the engine
    /// no work and is free; any other retry is taken from the budget.
    fn may_try_again(&self, error: &ExchangeError, tries: usize) -> bool {
        if self.mode == hooklug_settings::GatewayMode::Plain {
            return tries < PLAIN_TRIES;
        }
        match error {
            ExchangeError::Refused(Refusal::Draining | Refusal::Identity) => true,
            ExchangeError::Refused(Refusal::Overloaded)
            | ExchangeError::NotSent(_)
            | ExchangeError::Lost(_) => self.retries.take(),
        }
    }
}

fn failed(error: &ExchangeError, deadline: Instant) -> Problem {
    if Instant::now() >= deadline {
        let detail = format!("the deadline has passed; last attempt: {error}");
        return Problem::claims_nothing(Code::DeadlineExceeded, detail, RETRY_SOON);
    }
    match error {
        ExchangeError::Refused(Refusal::Overloaded) => {
            Problem::claims_nothing(Code::Overloaded, error.to_string(), RETRY_SOON)
        }
        _ => Problem::try_again(error.to_string(), RETRY_SOON),
    }
}
