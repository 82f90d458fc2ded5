//! One caller: knows the gateways of the moment and retries as docs/API.md says.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use hooklug_fleet::caller::CallerError;
use hooklug_fleet::http::{Answer, Ask};
use hooklug_fleet::{Caller, Fleet};
use tokio::time::{Instant, sleep};

use super::recorder::Recorder;

/// Pause before a request is sent again when the answer names none (ours).
const PAUSE: Duration = Duration::from_millis(100);
/// Longest pause that a caller accepts (ours).
const LONGEST_PAUSE: Duration = Duration::from_secs(5);

/// A caller of all gateways that writes down what it is told. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    caller: Arc<RwLock<Caller>>,
    tenant: String,
    pub(super) recorder: Recorder,
}

/// An answer and when the request that got it was sent.
#[derive(Debug)]
pub(super) struct Answered {
    pub answer: Answer,
    /// Whether the very first try got it.
    pub first_try: bool,
    pub begun: u64,
}

impl Client {
    /// A caller of the fleet's gateways.
    #[must_use]
    pub fn new(fleet: &Fleet, recorder: Recorder) -> Self {
        let tenant = fleet.topology().tenants.first().map(ToString::to_string).unwrap_or_default();
        let caller = Caller::new(fleet.gateways(), &tenant);
        Self { caller: Arc::new(RwLock::new(caller)), tenant, recorder }
    }

    /// Learns the gateways anew, after one was replaced.
    pub fn learn_gateways(&self, fleet: &Fleet) {
        let caller = Caller::new(fleet.gateways(), &self.tenant);
        *self.caller.write().unwrap_or_else(PoisonError::into_inner) = caller;
    }

    /// Where it writes down what it is told.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// The caller of the moment.
    #[must_use]
    pub fn caller(&self) -> Caller {
        self.caller.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a request, at the next gateway again while the answer claims nothing, for a time.
    pub(super) async fn ask(
        &self,
        mut gateway: usize,
        ask: &Ask,
        time: Duration,
    ) -> Result<Answered, CallerError> {
        let deadline = Instant::now() + time;
        let mut first_try = true;
        loop {
            let begun = super::now();
            match self.caller().ask_once(gateway, ask).await {
                Ok(answer) => return Ok(Answered { answer, first_try, begun }),
                Err(error) if error.is_passing() && Instant::now() < deadline => {
                    first_try = false;
                    gateway += 1;
                    sleep(pause_after(&error)).await;
                }
                Err(error) => return Err(error),
            }
        }
    }
}

/// How long to wait before the request is sent again.
pub(super) fn pause_after(error: &CallerError) -> Duration {
    let named = match error {
        CallerError::Problem(problem) => problem.retry_after_ms.map(Duration::from_millis),
        _ => None,
    };
    named.unwrap_or(PAUSE).clamp(Duration::from_millis(10), LONGEST_PAUSE)
}
