//! Tool calls: one request with one complete response.

use std::time::Duration;

use bytes::Bytes;
use hooklug_bundle::http::RepeatRule;
use hooklug_types::EngineId;
use tokio::time::Instant;

use crate::answer::{IngressAnswer, Refusal};
use crate::attempt::{Attempt, BodyError, PendingResponse, send};
use crate::backends::{Outcome, RequestKind, Reservation};
use crate::connections::ConnectionId;
use crate::deadline::RequestDeadlines;
use crate::dialect::Outgoing;
use crate::ingress::Ingress;
use crate::routes::NamedRoute;
use crate::{AnswerBody, IngressRequest};

/// Maximum size of the response to a call, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Pause before backends are tried again after all were at capacity.
pub(crate) const CAPACITY_PAUSE: Duration = Duration::from_millis(15);

/// Retry time returned to a caller when all backends are at capacity.
pub(crate) const AT_CAPACITY_RETRY: Duration = Duration::from_millis(100);

/// The attempts of one request so far: the tried backends, the used connections and the last
/// failure.
#[derive(Debug, Default)]
pub(crate) struct AttemptHistory {
    pub(crate) tried: Vec<EngineId>,
    /// Connections that have carried the request. None carries it twice, so that each response with
    /// its id belongs to one attempt.
    connections: Vec<ConnectionId>,
    /// Number of attempts that may have run.
    pub(crate) may_have_run: u32,
    last_failure: Option<IngressAnswer>,
}

impl AttemptHistory {
    /// The answer to the caller when no further attempt is made.
    fn into_answer(self) -> IngressAnswer {
        match self.last_failure {
            Some(answer) => answer,
            None if self.may_have_run > 0 => {
                Refusal::ResponseLost("all attempts failed".to_owned()).into()
            }
            None => {
                let reason = "no backend of the route has capacity";
                Refusal::NotRun { reason, retry_after: AT_CAPACITY_RETRY }.into()
            }
        }
    }
}

impl Ingress {
    /// Serves a tool call.
    pub(crate) async fn serve_call(
        &self,
        request: &IngressRequest,
        route: &NamedRoute,
    ) -> IngressAnswer {
        let deadlines = RequestDeadlines::for_request(request, &route.route);
        let repeatable = route.route.repeat == RepeatRule::Repeatable;
        let mut attempts = AttemptHistory::default();
        loop {
            let Some(reservation) =
                self.reserve_backend(route, &mut attempts, RequestKind::Call, &deadlines).await
            else {
                return attempts.into_answer();
            };
            let attempt = self
                .send(request, &request.body, route, reservation, &mut attempts, &deadlines)
                .await;
            match attempt {
                Attempt::AtCapacity | Attempt::NotExecuted | Attempt::NotSent => {}
                Attempt::TimedOut => return Refusal::TimedOut.into(),
                Attempt::ResponseLost(reason) => {
                    attempts.may_have_run += 1;
                    attempts.last_failure = Some(Refusal::ResponseLost(reason).into());
                }
                Attempt::Responded(response) => {
                    attempts.may_have_run += 1;
                    match self.read_response(*response, route, &deadlines).await {
                        Ok(answer) => return answer,
                        Err(failure) => attempts.last_failure = Some(failure),
                    }
                }
            }
            let may_retry = repeatable && attempts.may_have_run < route.route.max_attempts;
            if attempts.may_have_run > 0 && !may_retry {
                return attempts.into_answer();
            }
        }
    }

    /// Reserves a backend for the next attempt. While none has capacity and nothing may have run, waits
    /// until `hold_until`.
    pub(crate) async fn reserve_backend(
        &self,
        route: &NamedRoute,
        attempts: &mut AttemptHistory,
        kind: RequestKind<'_>,
        deadlines: &RequestDeadlines,
    ) -> Option<Reservation> {
        loop {
            if let Some(reservation) = self.pick(route, &attempts.tried, kind) {
                attempts.tried.push(reservation.picked.id.clone());
                return Some(reservation);
            }
            if attempts.may_have_run > 0 || Instant::now() + CAPACITY_PAUSE >= deadlines.hold_until
            {
                return None;
            }
            tokio::time::sleep(CAPACITY_PAUSE).await;
            attempts.tried.clear();
        }
    }

    pub(crate) async fn send(
        &self,
        request: &IngressRequest,
        body: &Bytes,
        route: &NamedRoute,
        reservation: Reservation,
        attempts: &mut AttemptHistory,
        deadlines: &RequestDeadlines,
    ) -> Attempt {
        let backend = reservation.picked.id.clone();
        let outgoing = Outgoing {
            request,
            body,
            backend: &backend,
            time_left: deadlines.left(Instant::now()),
            priority: route.route.priority,
        };
        let used = &mut attempts.connections;
        send(&self.connections, used, &*self.dialect, reservation, &outgoing, deadlines.end).await
    }

    /// Reads the complete response. Returns it as `Err` if it is a failure that another backend may not
    /// have.
    async fn read_response(
        &self,
        mut response: PendingResponse,
        route: &NamedRoute,
        deadlines: &RequestDeadlines,
    ) -> Result<IngressAnswer, IngressAnswer> {
        let body = response.read_body(deadlines.end, MAX_RESPONSE_BYTES).await;
        let is_failure = response.head.status.is_server_error();
        let time = response.sent.elapsed();
        self.record(route, &response, body.is_ok() && !is_failure, time);
        match body {
            Ok(body) => {
                let head = response.head.clone();
                let outcome = if is_failure { Outcome::Failed } else { Outcome::Succeeded(time) };
                response.end(&self.connections, outcome);
                let answer = IngressAnswer::Forwarded(head, AnswerBody::from(body));
                if is_failure { Err(answer) } else { Ok(answer) }
            }
            Err(BodyError::TimedOut) => Ok(Refusal::TimedOut.into()),
            Err(error) => {
                response.reservation.end(Outcome::NoResponse);
                Err(Refusal::ResponseLost(error.to_string()).into())
            }
        }
    }

    /// Records a response for the statistics by which a version under rollout is judged.
    pub(crate) fn record(
        &self,
        route: &NamedRoute,
        response: &PendingResponse,
        success: bool,
        time: Duration,
    ) {
        self.recorder(route, response)(success, time);
    }

    /// Returns a function that records a response later; see [`Ingress::record`].
    pub(crate) fn recorder(
        &self,
        route: &NamedRoute,
        response: &PendingResponse,
    ) -> impl Fn(bool, Duration) + Send + 'static {
        let picked = response.reservation.picked.clone();
        let has_rollout = self.has_rollout(&picked.service);
        let statistics = self.node.node.statistics.clone();
        let name = route.name.clone();
        move |success, time| {
            if has_rollout {
                statistics.record(&picked.service, &picked.version, &name, success, time);
            }
        }
    }
}
