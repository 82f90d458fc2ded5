//! Faults that are switched on and off while a stand-in runs.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Runs the request, then closes the connection without an answer.
    LoseAnswer,
    /// Sends the first half of the answer, then closes the connection.
    CutShort,
    /// Answers with the answer to the request before this one, its request id included.
    Cross,
    /// Answers with bytes that are no JSON, under proper headers.
    Garble,
    /// Sends nothing more after the request has begun to run, and keeps the connection open.
    Stall,
    /// Adds `millis` to the run, for model servers to the first token, and `gap_millis` to each later one.
    Slow,
    /// Answers `500` without having run the request, and without saying so.
    Fail,
    /// Refuses explicitly: not run.
    Refuse,
}

/// One fault and the requests that it hits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultRule {
    /// What goes wrong.
    pub kind: FaultKind,
    /// Share of the matching requests, spread evenly (default 1).
    #[serde(default = "all")]
    pub share: f64,
    /// Only this tool; for model servers only this prefix (default: any).
    #[serde(default)]
    pub route: Option<String>,
    /// Only while more requests than this are running (default: any number).
    #[serde(default)]
    pub above_running: Option<u32>,
    /// At most so many times (default: without end).
    #[serde(default)]
    pub times: Option<u32>,
    /// For `slow`, in milliseconds.
    #[serde(default)]
    pub millis: u64,
    /// For `slow` at model servers, in milliseconds.
    #[serde(default)]
    pub gap_millis: u64,
}

fn all() -> f64 {
    1.0
}

impl FaultRule {
    /// A rule that hits every request.
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

/// All faults of a stand-in; `PUT /emulator/faults` replaces them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// Faults of single requests.
    pub rules: Vec<FaultRule>,
    /// Refuses new work, finishes what runs, says so in `/status`.
    pub draining: bool,
    /// Application engines: no look-up of calls.
    pub no_lookup: bool,
}

/// What hits one request.
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

/// The faults in force with how often each rule matched and hit.
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
    /// Spreads a share evenly: the n-th match is hit when the running total passes a whole number.
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

    /// A new process does not drain; the other faults stay until they are replaced.
    pub(crate) fn end_drain(&self) {
        self.lock().faults.draining = false;
    }

    pub(crate) fn get(&self) -> Faults {
        self.lock().faults.clone()
    }

    /// What hits a request that comes in now.
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
