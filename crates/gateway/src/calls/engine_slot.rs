//! Acquires a slot at an application engine for a call and sends the call.

use std::sync::Arc;
use std::time::Duration;

use hooklug_settings::GatewayMode;
use tokio::time::Instant;

use super::{CallRequest, Calls};
use crate::api::problem::{Code, Problem};
use crate::api::refusals::RETRY_SOON;
use crate::backend::answer::Answer;
use crate::backend::exchange::{Dispatch, ExchangeError};
use crate::backend::stats::CallEnd;
use crate::backend::table::{Found, Outstanding, Wanted};
use crate::backend::wait_queue::{Crowd, Shed, Waiter};
use crate::backend::{EngineRun, Target};

/// Time that must remain to a queued call when it gets a slot, as a multiple of the route's
/// average: about half of the calls take longer than the average, and a late result wastes the
/// engine's time.
const TIME_NEEDED: f64 = 1.5;

/// Why a call gets no engine slot. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoRoom {
    /// No engine is eligible.
    #[error("no application engine of the service is available")]
    NoEngine,
    /// The queue is full, or the call could not finish in time.
    #[error("the service's request queue is full or the call cannot finish before its deadline")]
    Shed(Duration),
    /// The deadline passed while the call was queued.
    #[error("the deadline passed while the call was queued")]
    TimedOut,
    /// The route's circuit is open because nearly all of its calls fail.
    #[error("the route's circuit breaker is open because nearly all of its calls fail")]
    CircuitOpen(Duration),
}

impl From<NoRoom> for Problem {
    fn from(reason: NoRoom) -> Self {
        let detail = reason.to_string();
        match reason {
            NoRoom::NoEngine => Problem::try_again(detail, RETRY_SOON),
            NoRoom::CircuitOpen(after) => Problem::try_again(detail, after.max(RETRY_SOON)),
            NoRoom::TimedOut => Problem::claims_nothing(Code::DeadlineExceeded, detail, RETRY_SOON),
            NoRoom::Shed(after) => Problem::claims_nothing(Code::Overloaded, detail, after),
        }
    }
}

impl Calls {
    /// Checks the circuit breaker of the request's route.
    pub(super) fn check_circuit(&self, request: &CallRequest) -> Result<(), NoRoom> {
        match self.mode {
            GatewayMode::Plain => Ok(()),
            GatewayMode::Full => self.backends.admit(&request.route).map_err(NoRoom::CircuitOpen),
        }
    }

    /// Acquires a slot at an engine that was not tried yet, waiting in the queue if necessary.
    pub(super) async fn room(
        &self,
        request: &CallRequest,
        tried: &[EngineRun],
    ) -> Result<Outstanding, NoRoom> {
        let mut in_turn = false;
        loop {
            let crowded = !in_turn && self.backends.gates.is_crowded(&request.service);
            match self.look(request, tried) {
                Found::None => return Err(NoRoom::NoEngine),
                // A new call goes behind the queued ones; releasing its slot notifies the next of
                // them.
                Found::Engine(room) if crowded && !request.urgent => drop(room),
                Found::Engine(room) if in_turn && !self.can_end_in_time(request) => {
                    // Releasing the slot notifies the next queued call.
                    drop(room);
                    return Err(shed(RETRY_SOON));
                }
                Found::Engine(room) => return Ok(room),
                Found::Full => {}
            }
            self.wait(request, tried).await?;
            in_turn = true;
        }
    }

    /// Returns whether a queued call has enough time left. A call that gets a slot at once is sent
    /// whatever the average, so that the average can fall again.
    fn can_end_in_time(&self, request: &CallRequest) -> bool {
        let needed = self.backends.average(&request.route).mul_f64(TIME_NEEDED);
        self.mode == GatewayMode::Plain || Instant::now() + needed <= request.deadline
    }

    fn look(&self, request: &CallRequest, tried: &[EngineRun]) -> Found {
        let Some(bundle) = self.node.bundle.borrow().clone() else { return Found::None };
        let Some(service) = bundle.bundle.services.get(&request.service) else {
            return Found::None;
        };
        let wanted = Wanted {
            route: &request.route,
            service: &request.service,
            urgent: request.urgent,
            tried,
        };
        match self.mode {
            GatewayMode::Full => self.backends.find(&wanted, service),
            GatewayMode::Plain => self.backends.next_in_turn(&wanted, service),
        }
    }

    async fn wait(&self, request: &CallRequest, tried: &[EngineRun]) -> Result<(), NoRoom> {
        let crowd = self.crowd(request).ok_or(NoRoom::NoEngine)?;
        let waiter =
            Waiter { tenant: &request.tenant, urgent: request.urgent, deadline: request.deadline };
        // A slot that is found and released notifies the first call in the queue.
        let look_again = || drop(self.look(request, tried));
        let waited = self.backends.gates.wait(&request.service, waiter, crowd, look_again).await;
        waited.map_err(|refused| match refused {
            Shed::Refused { after } => shed(after),
            Shed::TimedOut => {
                metrics::counter!("hooklug_gateway_calls_shed_total").increment(1);
                NoRoom::TimedOut
            }
        })
    }

    fn crowd(&self, request: &CallRequest) -> Option<Crowd> {
        let bundle = self.node.bundle.borrow().clone()?;
        let service = bundle.bundle.services.get(&request.service)?;
        let (capacity, engines) = self.backends.capacity(&request.service, service);
        let bound = (service.queue_per_engine as usize).saturating_mul(engines);
        Some(Crowd { bound, capacity, average: self.backends.average(&request.route) })
    }

    /// Sends a call to the engine of its slot and records the result.
    pub(super) async fn send(
        &self,
        request: &CallRequest,
        mut room: Outstanding,
        dispatch: &Dispatch,
    ) -> (Arc<Target>, Result<Answer, ExchangeError>) {
        let target = room.target.clone();
        let begun = Instant::now();
        let answered = self.backends.pool.exchange(&target, dispatch, request.deadline).await;
        let latency = begun.elapsed();
        room.ended(match &answered {
            Ok(_) => CallEnd::Answered(latency),
            Err(ExchangeError::Refused(refusal)) => CallEnd::Refused(*refusal),
            Err(ExchangeError::NotSent(_) | ExchangeError::Lost(_)) => CallEnd::Failed,
        });
        drop(room);
        self.observe(request, &target, &answered, latency);
        (target, answered)
    }

    /// Records the result for the engine's version. Refusals and failed connections do not reflect
    /// on the version.
    fn observe(
        &self,
        request: &CallRequest,
        target: &Target,
        answered: &Result<Answer, ExchangeError>,
        latency: Duration,
    ) {
        let success = match answered {
            Ok(_) => true,
            Err(ExchangeError::Lost(_)) => false,
            Err(ExchangeError::Refused(_) | ExchangeError::NotSent(_)) => return,
        };
        self.evidence.record(&target.service, &target.version, &request.route, success, latency);
    }
}

fn shed(after: Duration) -> NoRoom {
    metrics::counter!("hooklug_gateway_calls_shed_total").increment(1);
    NoRoom::Shed(after)
}
