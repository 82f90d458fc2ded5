//! Calls: one request, one whole answer.

use std::time::Duration;

use bytes::Bytes;
use hooklug_bundle::http::RepeatRule;
use hooklug_types::EngineId;
use tokio::time::Instant;

use crate::answer::{IngressAnswer, Refusal};
use crate::attempt::{Answering, Attempt, BodyError, send};
use crate::backends::{Outcome, Purpose, Reserved};
use crate::deadline::Times;
use crate::dialect::Outgoing;
use crate::ingress::Ingress;
use crate::routes::NamedRoute;
use crate::{AnswerBody, IngressRequest};

/// Longest answer to a call, in bytes (ours).
const MOST_ANSWER_BYTES: usize = 16 << 20;

/// Pause before back ends that had no room are asked again (ours).
pub(crate) const ROOM_PAUSE: Duration = Duration::from_millis(15);

/// When a caller should come back whose request found no room (ours).
pub(crate) const NO_ROOM_RETRY: Duration = Duration::from_millis(100);

/// Tries of one request: which back ends it met, and what came of them.
#[derive(Debug, Default)]
pub(crate) struct Tries {
    pub(crate) tried: Vec<EngineId>,
    /// Tries that may have run.
    pub(crate) may_have_run: u32,
    last_failure: Option<IngressAnswer>,
}

impl Tries {
    /// What to answer when there is nothing left to try.
    fn give_up(self) -> IngressAnswer {
        match self.last_failure {
            Some(answer) => answer,
            None if self.may_have_run > 0 => {
                Refusal::AnswerLost("all tries failed".to_owned()).into()
            }
            None => {
                let reason = "no back end has room";
                Refusal::NotRun { reason, retry_after: NO_ROOM_RETRY }.into()
            }
        }
    }
}

impl Ingress {
    /// Serves a call.
    pub(crate) async fn serve_call(
        &self,
        request: &IngressRequest,
        route: &NamedRoute,
    ) -> IngressAnswer {
        let times = Times::of(request, &route.route);
        let repeatable = route.route.repeat == RepeatRule::Repeatable;
        let mut tries = Tries::default();
        loop {
            let Some(reserved) = self.pick_or_wait(route, &mut tries, Purpose::Call, &times).await
            else {
                return tries.give_up();
            };
            match self.send(request, &request.body, route, reserved, &times).await {
                Attempt::NoRoom | Attempt::NotExecuted | Attempt::NotSent => {}
                Attempt::TimedOut => return Refusal::TimedOut.into(),
                Attempt::Lost(reason) => {
                    tries.may_have_run += 1;
                    tries.last_failure = Some(Refusal::AnswerLost(reason).into());
                }
                Attempt::Answered(answering) => {
                    tries.may_have_run += 1;
                    match self.take_answer(*answering, route, &times).await {
                        Ok(answer) => return answer,
                        Err(failure) => tries.last_failure = Some(failure),
                    }
                }
            }
            let may_go_on = repeatable && tries.may_have_run < route.route.max_attempts;
            if tries.may_have_run > 0 && !may_go_on {
                return tries.give_up();
            }
        }
    }

    /// A back end for one more try; waits a little while none has room.
    pub(crate) async fn pick_or_wait(
        &self,
        route: &NamedRoute,
        tries: &mut Tries,
        purpose: Purpose<'_>,
        times: &Times,
    ) -> Option<Reserved> {
        loop {
            if let Some(reserved) = self.pick(route, &tries.tried, purpose) {
                tries.tried.push(reserved.picked.id.clone());
                return Some(reserved);
            }
            if tries.may_have_run > 0 || Instant::now() + ROOM_PAUSE >= times.hold_until {
                return None;
            }
            tokio::time::sleep(ROOM_PAUSE).await;
            tries.tried.clear();
        }
    }

    pub(crate) async fn send(
        &self,
        request: &IngressRequest,
        body: &Bytes,
        route: &NamedRoute,
        reserved: Reserved,
        times: &Times,
    ) -> Attempt {
        let backend = reserved.picked.id.clone();
        let outgoing = Outgoing {
            request,
            body,
            backend: &backend,
            time_left: times.left(Instant::now()),
            priority: route.route.priority,
        };
        send(&self.connections, &*self.dialect, reserved, &outgoing, times.end).await
    }

    /// Reads an answer whole; gives it back as a failure when another back end may do better.
    async fn take_answer(
        &self,
        mut answering: Answering,
        route: &NamedRoute,
        times: &Times,
    ) -> Result<IngressAnswer, IngressAnswer> {
        let body = answering.whole_body(times.end, MOST_ANSWER_BYTES).await;
        let is_failure = answering.head.status.is_server_error();
        let time = answering.sent.elapsed();
        self.record(route, &answering, body.is_ok() && !is_failure, time);
        match body {
            Ok(body) => {
                let head = answering.head.clone();
                let outcome = if is_failure { Outcome::Failed } else { Outcome::Answered(time) };
                answering.end(&self.connections, outcome);
                let answer = IngressAnswer::Passed(head, AnswerBody::from(body));
                if is_failure { Err(answer) } else { Ok(answer) }
            }
            Err(BodyError::TimedOut) => Ok(Refusal::TimedOut.into()),
            Err(error) => {
                answering.reserved.end(Outcome::Broken);
                Err(Refusal::AnswerLost(error.to_string()).into())
            }
        }
    }

    /// Counts an answer for the judgement of a version that is being rolled out.
    pub(crate) fn record(
        &self,
        route: &NamedRoute,
        answering: &Answering,
        success: bool,
        time: Duration,
    ) {
        self.recorder(route, answering)(success, time);
    }

    /// Counts an answer later.
    pub(crate) fn recorder(
        &self,
        route: &NamedRoute,
        answering: &Answering,
    ) -> impl Fn(bool, Duration) + Send + 'static {
        let picked = answering.reserved.picked.clone();
        let watched = self.is_watched(&picked.service);
        let statistics = self.node.node.statistics.clone();
        let name = route.name.clone();
        move |success, time| {
            if watched {
                statistics.record(&picked.service, &picked.version, &name, success, time);
            }
        }
    }
}
