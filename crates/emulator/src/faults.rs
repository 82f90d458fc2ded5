//! Faults that can be injected while a fake backend runs.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Kind of a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Runs the request, then closes the connection without a response.
    LoseAnswer,
    /// Sends the first half of the response, then closes the connection.
    CutShort,
    /// Responds with the response to the previous request, including its request id.
    Cross,
    /// Sends a body that is not JSON, with regular headers.
    Garble,
    /// Stops sending after the request has started to run, and leaves the connection open.
    Stall,
    /// Adds `millis` to the run time of a call or to the time to the first token, and `gap_millis`
    /// to the time to each later token.
    Slow,
    /// Responds with status 500 without running the request and without an explicit refusal.
    Fail,
    /// Refuses the request explicitly, without running it.
    Refuse,
}

/// A fault and the requests to which it applies.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Share of the matching requests to which the fault applies, spread evenly (default 1).
    #[serde(default = "full_share")]
    pub share: f64,
    /// Applies only to this tool, or at model servers to this prefix (default: any).
    #[serde(default)]
    pub route: Option<String>,
    /// Applies only while more requests than this are running (default: always).
    #[serde(default)]
    pub above_running: Option<u32>,
    /// Maximum number of requests to which the fault applies (default: unlimited).
    #[serde(default)]
    pub times: Option<u32>,
    /// Delay of a `slow` fault, in milliseconds.
    #[serde(default)]
    pub millis: u64,
    /// Additional time between tokens of a `slow` fault at model servers, in milliseconds.
    #[serde(default)]
    pub gap_millis: u64,
}

fn full_share() -> f64 {
    1.0
}

impl FaultRule {
    /// Creates a rule that applies to every request.
    #[must_use]
    pub fn always(kind: FaultKind) -> Self {
        Self {
            kind,
            share: full_share(),
            route: None,
            above_running: None,
            times: None,
            millis: 0,
            gap_millis: 0,
        }
    }

    fn matches(&self, route: &str, running: u32) -> bool {
        self.route.as_deref().is_none_or(|r| r == route)
            && self.above_running.is_none_or(|limit| running > limit)
    }
}

/// All faults of a fake backend; `PUT /emulator/faults` replaces them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Faults that apply to individual requests.
    pub rules: Vec<FaultRule>,
    /// Refuses new work, finishes running requests, and reports `draining` in `/status`.
    pub draining: bool,
    /// Disables the lookup of calls at application engines.
    pub no_lookup: bool,
}

/// Faults that apply to one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct RequestFaults {
    pub lose_answer: bool,
    pub cut_short: bool,
    pub cross: bool,
    pub garble: bool,
    pub stall: bool,
    pub fail: bool,
    pub refuse: bool,
    pub delay: Duration,
    pub gap: Duration,
}

impl RequestFaults {
    fn add(&mut self, rule: &FaultRule) {
        match rule.kind {
            FaultKind::LoseAnswer => self.lose_answer = true,
            FaultKind::CutShort => self.cut_short = true,
            FaultKind::Cross => self.cross = true,
            FaultKind::Garble => self.garble = true,
            FaultKind::Stall => self.stall = true,
            FaultKind::Fail => self.fail = true,
            FaultKind::Refuse => self.refuse = true,
            FaultKind::Slow => {
                self.delay += Duration::from_millis(rule.millis);
                self.gap += Duration::from_millis(rule.gap_millis);
            }
        }
    }
}

/// Active faults, with the number of matches and applications of each rule.
#[derive(Debug, Default)]
pub(crate) struct FaultInjector {
    inner: Mutex<ActiveFaults>,
}

#[derive(Debug, Default)]
struct ActiveFaults {
    faults: Faults,
    counts: Vec<RuleCounts>,
}

#[derive(Debug, Clone, Copy, Default)]
struct RuleCounts {
    matched: u64,
    applied: u32,
}

impl RuleCounts {
    /// Counts a match and returns whether the fault applies to it. The share is spread evenly: the
    /// fault applies when `matches * share` reaches the next integer.
    fn count_match(&mut self, rule: &FaultRule) -> bool {
        let before = (self.matched as f64 * rule.share).floor();
        self.matched += 1;
        let after = (self.matched as f64 * rule.share).floor();
        let applies = after > before && rule.times.is_none_or(|times| self.applied < times);
        self.applied += u32::from(applies);
        applies
    }
}

impl FaultInjector {
    pub(crate) fn set(&self, faults: Faults) {
        let counts = vec![RuleCounts::default(); faults.rules.len()];
        *self.lock() = ActiveFaults { faults, counts };
    }

    /// Ends draining after a restart; the other faults stay until they are replaced.
    pub(crate) fn end_drain(&self) {
        self.lock().faults.draining = false;
    }

    pub(crate) fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Selects the faults that apply to a new request.
    pub(crate) fn select(&self, route: &str, running: u32) -> RequestFaults {
        let mut inner = self.lock();
        let ActiveFaults { faults, counts } = &mut *inner;
        let mut applied = RequestFaults::default();
        for (rule, counts) in faults.rules.iter().zip(counts) {
            if rule.matches(route, running) && counts.count_match(rule) {
                applied.add(rule);
            }
        }
        applied
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ActiveFaults> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
