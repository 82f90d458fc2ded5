//! When a rollout enters which phase, so that few requests have met its target by the time it is due,
//! whether harm of the target shows or not. Pure.

use std::time::Duration;

use hooklug_state::meta::{LOAD_STEP_PERMILLE, RolloutPhase};

use super::rollouts::{Evidence, Responses};

/// Minimum number of the target's responses for a comparison.
pub(super) const MIN_SAMPLES: u64 = 5;

/// Number of the target's responses below which requests are not shifted to it.
const SAMPLES_TO_SHIFT: u64 = 15;

/// Number of the target's responses after the shift without which a rollout does not complete: harm
/// may show only under the load of all requests, and there is no way back afterwards.
const SAMPLES_TO_COMPLETE: u64 = 20;

/// Excess of the target's error share, after the shift or in all, with which a rollout does not complete. It is
/// too little to turn back on; more responses then decide.
const DOUBTFUL_ERROR_SHARE: f64 = 0.05;

/// Number of the target's responses that are to be seen before the load step.
const SAMPLES_TO_SEE: f64 = 30.0;

/// Smallest and largest share of requests at the start of a rollout.
const FIRST_SHARES: (f64, f64) = (0.03, 0.05);

/// Elapsed fraction of a rollout's time at which the load step starts. Gateways then send the target's
/// requests to so few of its engines that each gets the load that it will have later.
const LOAD_START: f64 = 0.75;

/// Share of requests in the load step.
const LOAD_SHARE: f64 = LOAD_STEP_PERMILLE as f64 / 1_000.0;

/// Part of the time after the shift that is left when the rollout completes. Running requests at the
/// older engines end before.
const COMPLETION_PART: f64 = 0.55;

/// Longest time for which the tolerated number of requests may be spent after the shift.
const MAX_TOLERANCE_TIME: Duration = Duration::from_secs(1);

/// Longest time after the shift, as a fraction of a rollout's time.
const MAX_SHIFTED: f64 = 0.22;

/// Limits on the requests that reach the target of a rollout before it is due.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Share of the service's requests.
    pub share: f64,
    /// Number of requests beyond that share. Half of it is kept for traffic that grows.
    pub requests: u32,
}

/// The times of a rollout's phases, as elapsed fractions of its time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RolloutPlan {
    first_share: f64,
    shift: f64,
    completion: f64,
}

impl RolloutPlan {
    /// Plans a rollout of the given time. `requests_per_second` are those of the service, `None` while
    /// they are unknown.
    #[must_use]
    pub fn new(limits: ExposureLimits, time: Duration, requests_per_second: Option<f64>) -> Self {
        let seconds = time.as_secs_f64().max(f64::MIN_POSITIVE);
        let rate = requests_per_second.filter(|rate| *rate > 0.0);
        let (smallest, largest) = FIRST_SHARES;
        let to_see = |rate: f64| SAMPLES_TO_SEE / (LOAD_START * seconds * rate);
        let first_share = rate.map_or(smallest, to_see).clamp(smallest, largest);
        let before_shift = first_share * LOAD_START + LOAD_SHARE * (1.0 - LOAD_START);
        let tolerated = rate.map_or(0.0, |rate| f64::from(limits.requests) / 2.0 / rate);
        let tolerated = tolerated.min(MAX_TOLERANCE_TIME.as_secs_f64()) / seconds;
        // After the shift each moment adds what the load step would not have added anyway.
        let shifted = (limits.share - before_shift + tolerated) / (1.0 - LOAD_SHARE);
        let shifted = shifted.clamp(0.0, MAX_SHIFTED);
        Self { first_share, shift: 1.0 - shifted, completion: 1.0 - COMPLETION_PART * shifted }
    }

    /// Returns the phase that a rollout should be in after the given fraction of its time. It advances
    /// one step at a time, so that each is evaluated before the next.
    #[must_use]
    pub fn next_phase(
        &self,
        current: RolloutPhase,
        elapsed: f64,
        evidence: Evidence,
    ) -> RolloutPhase {
        if current.is_final() {
            return current;
        }
        if evidence.is_harmful {
            return RolloutPhase::RolledBack;
        }
        match current {
            RolloutPhase::Trial { share_permille } if share_permille < LOAD_STEP_PERMILLE => {
                let may_load = elapsed >= LOAD_START && evidence.target.samples >= MIN_SAMPLES;
                let first = share_permille.max(permille(self.first_share));
                RolloutPhase::Trial {
                    share_permille: if may_load { LOAD_STEP_PERMILLE } else { first },
                }
            }
            RolloutPhase::Trial { .. } => {
                let may_shift =
                    elapsed >= self.shift && evidence.target.samples >= SAMPLES_TO_SHIFT;
                if may_shift { RolloutPhase::Shifted } else { current }
            }
            _ => {
                let may_complete = elapsed >= self.completion
                    && evidence.since_shift.samples >= SAMPLES_TO_COMPLETE
                    && is_sound(evidence.target, evidence.other_error_share)
                    && is_sound(evidence.since_shift, evidence.other_error_share);
                if may_complete { RolloutPhase::Completed } else { current }
            }
        }
    }
}

fn is_sound(responses: Responses, other_error_share: f64) -> bool {
    let allowed = (other_error_share + DOUBTFUL_ERROR_SHARE) * responses.samples as f64;
    responses.failures as f64 <= allowed
}

fn permille(share: f64) -> u32 {
    (share * 1_000.0).round() as u32
}
