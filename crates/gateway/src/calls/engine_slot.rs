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
use crate::backend::table::{EngineCriteria, EngineSlot, Selection};
use crate::backend::wait_queue::{ServiceLoad, WaitError, Waiter};
use crate::backend::{EngineRun, Target};

/// Time that must remain to a queued call when it gets a slot, as a multiple of the route's
/// average: about half of the calls take longer than the average, and a late result wastes the
/// engine's time.
const REQUIRED_TIME_FACTOR: f64 = 1.5;

/// Why a call gets no engine slot. Nothing was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum NoSlot {
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

impl From<NoSlot> for Problem {
    fn from(reason: NoSlot) -> Self {
        let detail = reason.to_string();
        match reason {
            NoSlot::NoEngine => Problem::try_again(detail, RETRY_SOON),
            NoSlot::CircuitOpen(after) => Problem::try_again(detail, after.max(RETRY_SOON)),
            NoSlot::TimedOut => Problem::retryable(Code::DeadlineExceeded, detail, RETRY_SOON),
            NoSlot::Shed(after) => Problem::retryable(Code::Overloaded, detail, after),
        }
    }
}

impl Calls {
    /// Checks the circuit breaker of the request's route.
    pub(super) fn check_circuit(&self, request: &CallRequest) -> Result<(), NoSlot> {
        match self.mode {
            GatewayMode::Plain => Ok(()),
            GatewayMode::Full => self.backends.admit(&request.route).map_err(NoSlot::CircuitOpen),
        }
    }

    /// Acquires a slot at an engine that was not tried yet, waiting in the queue if necessary.
    pub(super) async fn acquire_slot(
        &self,
        request: &CallRequest,
        tried: &[EngineRun],
    ) -> Result<EngineSlot, NoSlot> {
        let mut has_waited = false;
        loop {
            let must_queue =
                !has_waited && self.backends.wait_queues.has_queued_calls(&request.service);
            match self.try_acquire(request, tried) {
                Selection::None => return Err(NoSlot::NoEngine),
                // A new call goes behind the queued ones; releasing its slot notifies the next of
                // them.
                Selection::Engine(slot) if must_queue && !request.urgent => drop(slot),
                Selection::Engine(slot) if has_waited && !self.can_finish_in_time(request) => {
                    // Releasing the slot notifies the next queued call.
                    drop(slot);
                    return Err(shed(RETRY_SOON));
                }
                Selection::Engine(slot) => return Ok(slot),
                Selection::Full => {}
            }
            self.wait(request, tried).await?;
            has_waited = true;
        }
    }

    /// Returns whether a queued call has enough time left. A call that gets a slot at once is sent
    /// whatever the average, so that the average can fall again.
    fn can_finish_in_time(&self, request: &CallRequest) -> bool {
        let needed = self.backends.average(&request.route).mul_f64(REQUIRED_TIME_FACTOR);
        self.mode == GatewayMode::Plain || Instant::now() + needed <= request.deadline
    }

    fn try_acquire(&self, request: &CallRequest, tried: &[EngineRun]) -> Selection {
        let Some(bundle) = self.node.bundle.borrow().clone() else { return Selection::None };
        let Some(service) = bundle.bundle.services.get(&request.service) else {
            return Selection::None;
        };
        let criteria = EngineCriteria {
            route: &request.route,
            service: &request.service,
            urgent: request.urgent,
            tried,
        };
        match self.mode {
            GatewayMode::Full => self.backends.select(&criteria, service),
            GatewayMode::Plain => self.backends.select_round_robin(&criteria, service),
        }
    }

    async fn wait(&self, request: &CallRequest, tried: &[EngineRun]) -> Result<(), NoSlot> {
        let service_load = self.service_load(request).ok_or(NoSlot::NoEngine)?;
        let waiter =
            Waiter { tenant: &request.tenant, urgent: request.urgent, deadline: request.deadline };
        // A slot that is found and released notifies the first call in the queue.
        let recheck = || drop(self.try_acquire(request, tried));
        let waited =
            self.backends.wait_queues.wait(&request.service, waiter, service_load, recheck).await;
        waited.map_err(|refused| match refused {
            WaitError::Rejected { after } => shed(after),
            WaitError::TimedOut => {
                metrics::counter!("hooklug_gateway_calls_shed_total").increment(1);
                NoSlot::TimedOut
            }
        })
    }

    fn service_load(&self, request: &CallRequest) -> Option<ServiceLoad> {
        let bundle = self.node.bundle.borrow().clone()?;
        let service = bundle.bundle.services.get(&request.service)?;
        let (capacity, engines) = self.backends.capacity(&request.service, service);
        let bound = (service.queue_per_engine as usize).saturating_mul(engines);
        Some(ServiceLoad { bound, capacity, average: self.backends.average(&request.route) })
    }

    /// Sends a call to the engine of its slot and records the result.
    pub(super) async fn send(
        &self,
        request: &CallRequest,
        mut slot: EngineSlot,
        dispatch: &Dispatch,
    ) -> (Arc<Target>, Result<Answer, ExchangeError>) {
        let target = slot.target.clone();
        let started = Instant::now();
        let result = self.backends.pool.exchange(&target, dispatch, request.deadline).await;
        let latency = started.elapsed();
        slot.set_end(match &result {
            Ok(_) => CallEnd::Answered(latency),
            Err(ExchangeError::Refused(refusal)) => CallEnd::Refused(*refusal),
            Err(ExchangeError::NotSent(_) | ExchangeError::Lost(_)) => CallEnd::Failed,
        });
        drop(slot);
        self.observe(request, &target, &result, latency);
        (target, result)
    }

    /// Records the result for the engine's version. Refusals and failed connections do not reflect
    /// on the version.
    fn observe(
        &self,
        request: &CallRequest,
        target: &Target,
        result: &Result<Answer, ExchangeError>,
        latency: Duration,
    ) {
        let success = match result {
            Ok(_) => true,
            Err(ExchangeError::Lost(_)) => false,
            Err(ExchangeError::Refused(_) | ExchangeError::NotSent(_)) => return,
        };
        self.version_monitor.record(
            &target.service,
            &target.version,
            &request.route,
            success,
            latency,
        );
    }
}

fn shed(after: Duration) -> NoSlot {
    metrics::counter!("hooklug_gateway_calls_shed_total").increment(1);
    NoSlot::Shed(after)
}
