//! Estimate of a backend's load from its last report and this gateway's own requests. No I/O.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a report is ignored: most of the requests it counted have ended by then.
const REPORT_LIFETIME: Duration = Duration::from_millis(1_500);

/// Load as reported by a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
}

/// A backend's load as estimated by one gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadEstimate {
    /// This gateway's requests in flight at the backend.
    pub in_flight: u32,
    last_report: Option<ReceivedReport>,
}

#[derive(Debug, Clone, Copy)]
struct ReceivedReport {
    report: LoadReport,
    at: Instant,
    /// This gateway's requests in flight when the report was received.
    own_in_flight: u32,
}

impl LoadEstimate {
    /// Records a load report of the backend.
    pub fn record(&mut self, report: LoadReport, now: Instant) {
        self.last_report = Some(ReceivedReport { report, at: now, own_in_flight: self.in_flight });
    }

    /// Estimated number of requests at the backend. The share of other gateways decays linearly with
    /// the age of the report.
    #[must_use]
    pub fn requests(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(last) = &self.last_report else { return own };
        let reported = last.report.running.saturating_add(last.report.waiting);
        let others = f64::from(reported.saturating_sub(last.own_in_flight));
        let age = now.saturating_duration_since(last.at).as_secs_f64();
        let decay = (1.0 - age / REPORT_LIFETIME.as_secs_f64()).max(0.0);
        own + others * decay
    }

    /// Estimated number of requests divided by the reported slots, or by the listed slots if none were
    /// reported.
    #[must_use]
    pub fn share(&self, listed_slots: u32, now: Instant) -> f64 {
        let reported_slots =
            self.last_report.map(|last| last.report.slots).filter(|slots| *slots > 0);
        self.requests(now) / f64::from(reported_slots.unwrap_or(listed_slots).max(1))
    }
}
