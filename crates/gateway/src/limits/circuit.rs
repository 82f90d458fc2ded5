//! A circuit breaker that rejects a route's calls at once while nearly all of them fail. Pure.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// Time window of the outcomes that are evaluated.
const WINDOW: Duration = Duration::from_secs(5);

/// Minimum number of outcomes before the circuit may open.
const MIN_OUTCOMES: usize = 20;

/// Maximum number of retained outcomes.
const MAX_OUTCOMES: usize = 200;

/// Failure share that opens the circuit. It is far above what one bad engine or version causes,
/// which outlier ejection and the version judge handle.
const FAILURE_THRESHOLD: f64 = 0.9;

/// Initial time in the open state; doubles while probes fail.
const INITIAL_OPEN_TIME: Duration = Duration::from_millis(500);
const MAX_OPEN_TIME: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Closed,
    Open {
        until: Instant,
        time: Duration,
    },
    /// One probe is running; a lost probe is replaced after `time`.
    Probing {
        since: Instant,
        time: Duration,
    },
}

/// The circuit breaker of one route.
#[derive(Debug, Clone)]
pub struct Circuit {
    state: State,
    outcomes: VecDeque<(Instant, bool)>,
}

impl Default for Circuit {
    fn default() -> Self {
        Self { state: State::Closed, outcomes: VecDeque::new() }
    }
}

impl Circuit {
    /// Admits a call or rejects it while the circuit is open.
    ///
    /// # Errors
    /// The time after which to retry.
    pub fn admit(&mut self, now: Instant) -> Result<(), Duration> {
        match self.state {
            State::Closed => Ok(()),
            State::Open { until, .. } if now < until => Err(until.duration_since(now)),
            State::Open { time, .. } => {
                self.state = State::Probing { since: now, time };
                Ok(())
            }
            State::Probing { since, time } => {
                let waited = now.saturating_duration_since(since);
                if waited < time {
                    return Err(time - waited);
                }
                self.state = State::Probing { since: now, time };
                Ok(())
            }
        }
    }

    /// Records whether the engine responded to a call.
    pub fn record(&mut self, responded: bool, now: Instant) {
        if responded && self.state != State::Closed {
            self.state = State::Closed;
            self.outcomes.clear();
        }
        if let (false, State::Probing { time, .. }) = (responded, self.state) {
            self.open((time * 2).min(MAX_OPEN_TIME), now);
        }
        self.outcomes.push_back((now, responded));
        let is_old = |at: Instant| now.saturating_duration_since(at) > WINDOW;
        while self.outcomes.len() > MAX_OUTCOMES
            || self.outcomes.front().is_some_and(|(at, _)| is_old(*at))
        {
            self.outcomes.pop_front();
        }
        if self.state == State::Closed && self.is_failing() {
            self.open(INITIAL_OPEN_TIME, now);
        }
    }

    fn open(&mut self, time: Duration, now: Instant) {
        self.state = State::Open { until: now + time, time };
    }

    fn is_failing(&self) -> bool {
        let failures = self.outcomes.iter().filter(|(_, responded)| !responded).count();
        self.outcomes.len() >= MIN_OUTCOMES
            && failures as f64 >= self.outcomes.len() as f64 * FAILURE_THRESHOLD
    }
}
