//! Deadlines of a request. No I/O.

use std::time::Duration;

use hooklug_bundle::http::HttpRoute;
use tokio::time::Instant;

use crate::IngressRequest;

/// Fraction of the target latency for which a request is held while no backend can accept it. A
/// caller that is refused early can retry elsewhere and still be served in time.
const HOLD_SHARE: f64 = 0.25;

/// Receive time and deadlines of one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestDeadlines {
    /// When the request was received.
    pub received: Instant,
    /// Deadline of the complete response.
    pub end: Instant,
    /// Until when the request is held while no backend can accept it.
    pub hold_until: Instant,
}

impl RequestDeadlines {
    /// Computes the deadlines of a request on a route: the caller's timeout, limited by the route's.
    #[must_use]
    pub fn for_request(request: &IngressRequest, route: &HttpRoute) -> Self {
        let route_timeout = Duration::from_millis(route.timeout_ms);
        let caller_timeout = request
            .caller_timeout
            .map_or(route_timeout, |caller_timeout| caller_timeout.min(route_timeout));
        let target = Duration::from_millis(route.target_latency_ms);
        let end = request.received + caller_timeout;
        let hold_until = end.min(request.received + target.mul_f64(HOLD_SHARE));
        Self { received: request.received, end, hold_until }
    }

    /// Time left until the deadline.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        self.end.saturating_duration_since(now)
    }
}
