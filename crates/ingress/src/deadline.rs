//! When a request has to be over. Pure.

use std::time::Duration;

use hooklug_bundle::http::HttpRoute;
use tokio::time::Instant;

use crate::IngressRequest;

/// Share of the target latency for which a request that cannot be sent yet is held before it is refused (ours): a
/// caller that is refused early can try elsewhere and still be served in time.
const HOLD_SHARE: f64 = 0.25;

/// The times that bound one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Times {
    /// When it was received.
    pub received: Instant,
    /// When its final answer must be out.
    pub end: Instant,
    /// How long it is held while no back end can take it.
    pub hold_until: Instant,
}

impl Times {
    /// The times of a request on a route: the caller's patience, bounded by what the operators allow.
    #[must_use]
    pub fn of(request: &IngressRequest, route: &HttpRoute) -> Self {
        let allowed = Duration::from_millis(route.timeout_ms);
        let patience = request.patience.map_or(allowed, |patience| patience.min(allowed));
        let target = Duration::from_millis(route.target_latency_ms);
        let end = request.received + patience;
        let hold_until = end.min(request.received + target.mul_f64(HOLD_SHARE));
        Self { received: request.received, end, hold_until }
    }

    /// What is left of the time.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now)
    }
}
