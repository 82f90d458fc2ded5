//! What is known of a back end's load: its last word and what this gateway sent since. Pure.

use std::time::Duration;

use tokio::time::Instant;

/// Time after which a report says little (ours): what ran then has mostly ended.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// Load as a back end tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that may run at once.
    pub slots: u32,
}

/// A back end's load as one gateway estimates it.
#[derive(Debug, Clone, Copy, Default)]
pub struct LoadEstimate {
    /// Requests of this gateway that are under way there.
    pub in_flight: u32,
    told: Option<Told>,
}

#[derive(Debug, Clone, Copy)]
struct Told {
    report: LoadReport,
    at: Instant,
    /// This gateway's share of the report.
    own: u32,
}

impl LoadEstimate {
    /// Takes a report.
    pub fn note(&mut self, report: LoadReport, now: Instant) {
        self.told = Some(Told { report, at: now, own: self.in_flight });
    }

    /// Requests that are likely there now. What others sent fades with the age of the report.
    #[must_use]
    pub fn requests(&self, now: Instant) -> f64 {
        let own = f64::from(self.in_flight);
        let Some(told) = &self.told else { return own };
        let reported = told.report.running.saturating_add(told.report.waiting);
        let others = f64::from(reported.saturating_sub(told.own));
        let age = now.saturating_duration_since(told.at).as_secs_f64();
        let fade = (1.0 - age / REPORT_LIFE.as_secs_f64()).max(0.0);
        own + others * fade
    }

    /// The same as a share of the slots that the back end tells, or that the list gives it.
    #[must_use]
    pub fn share(&self, listed_slots: u32, now: Instant) -> f64 {
        let told = self.told.map(|told| told.report.slots).filter(|slots| *slots > 0);
        self.requests(now) / f64::from(told.unwrap_or(listed_slots).max(1))
    }
}
