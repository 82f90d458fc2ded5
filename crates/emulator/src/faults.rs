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
    #[serde(default = "all")]
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

fn all() -> f64 {
    1.0
}

impl FaultRule {
    /// Creates a rule that applies to every request.
    #[must_use]
    pub fn always(kind: FaultKind) -> Self {
        Self {
            kind,
            share: all(),
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
pub(crate) struct Hit {
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

impl Hit {
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
pub(crate) struct FaultSwitches {
    inner: Mutex<Counted>,
}

#[derive(Debug, Default)]
struct Counted {
    faults: Faults,
    counts: Vec<Counts>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    matched: u64,
    hit: u32,
}

impl Counts {
    /// Counts a match and returns whether the fault applies to it. The share is spread evenly: the
    /// fault applies when `matches * share` reaches the next integer.
    fn next(&mut self, rule: &FaultRule) -> bool {
        let before = (self.matched as f64 * rule.share).floor();
        self.matched += 1;
        let after = (self.matched as f64 * rule.share).floor();
        let hits = after > before && rule.times.is_none_or(|times| self.hit < times);
        self.hit += u32::from(hits);
        hits
    }
}

impl FaultSwitches {
    pub(crate) fn set(&self, faults: Faults) {
        let counts = vec![Counts::default(); faults.rules.len()];
        *self.lock() = Counted { faults, counts };
    }

    /// Ends draining after a restart; the other faults stay until they are replaced.
    pub(crate) fn end_drain(&self) {
        self.lock().faults.draining = false;
    }

    pub(crate) fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// Selects the faults that apply to a new request.
    pub(crate) fn draw(&self, route: &str, running: u32) -> Hit {
        let mut inner = self.lock();
        let Counted { faults, counts } = &mut *inner;
        let mut hit = Hit::default();
        for (rule, counts) in faults.rules.iter().zip(counts) {
            if rule.matches(route, running) && counts.next(rule) {
                hit.add(rule);
            }
        }
        hit
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Counted> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
