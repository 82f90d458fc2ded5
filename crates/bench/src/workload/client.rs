//! A caller that knows the current gateways and retries requests as docs/API.md specifies.

use std::sync::{Arc, PoisonError, RwLock};
use std::time::Duration;

use hooklug_fleet::caller::CallerError;
use hooklug_fleet::http::{Answer, HttpRequest};
use hooklug_fleet::{Caller, Fleet};
use tokio::time::{Instant, sleep};

use super::recorder::Recorder;

/// Pause before a retry if the response specifies none.
const DEFAULT_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Maximum pause before a retry.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(5);

/// A caller that uses all gateways and records the responses. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Client {
    caller: Arc<RwLock<Caller>>,
    tenant: String,
    pub(super) recorder: Recorder,
}

/// A response and the send time of the request that it belongs to.
#[derive(Debug)]
pub(super) struct TimedResponse {
    pub response: Answer,
    /// Whether the first attempt returned it.
    pub first_attempt: bool,
    pub sent_at: u64,
}

impl Client {
    /// Creates a client of the fleet's gateways.
    #[must_use]
    pub fn new(fleet: &Fleet, recorder: Recorder) -> Self {
        let tenant = fleet.topology().tenants.first().map(ToString::to_string).unwrap_or_default();
        let caller = Caller::new(fleet.gateways(), &tenant);
        Self { caller: Arc::new(RwLock::new(caller)), tenant, recorder }
    }

    /// Updates the gateway addresses, after a gateway was replaced.
    pub fn refresh_gateways(&self, fleet: &Fleet) {
        let caller = Caller::new(fleet.gateways(), &self.tenant);
        *self.caller.write().unwrap_or_else(PoisonError::into_inner) = caller;
    }

    /// Returns the recorder that responses are written to.
    #[must_use]
    pub fn recorder(&self) -> Recorder {
        self.recorder.clone()
    }

    /// Returns the caller with the current gateway addresses.
    #[must_use]
    pub fn caller(&self) -> Caller {
        self.caller.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Sends a request and retries it at the next gateway for a time, while responses are
    /// inconclusive.
    pub(super) async fn send_with_retries(
        &self,
        mut gateway: usize,
        request: &HttpRequest,
        time: Duration,
    ) -> Result<TimedResponse, CallerError> {
        let deadline = Instant::now() + time;
        let mut first_attempt = true;
        loop {
            let sent_at = super::now();
            match self.caller().send_once(gateway, request).await {
                Ok(response) => return Ok(TimedResponse { response, first_attempt, sent_at }),
                Err(error) if error.is_retryable() && Instant::now() < deadline => {
                    first_attempt = false;
                    gateway += 1;
                    sleep(retry_pause(&error)).await;
                }
                Err(error) => return Err(error),
            }
        }
    }
}

/// Returns the pause before a retry.
pub(super) fn retry_pause(error: &CallerError) -> Duration {
    let requested = match error {
        CallerError::Problem(problem) => problem.retry_after_ms.map(Duration::from_millis),
        _ => None,
    };
    requested.unwrap_or(DEFAULT_RETRY_PAUSE).clamp(Duration::from_millis(10), MAX_RETRY_PAUSE)
}
