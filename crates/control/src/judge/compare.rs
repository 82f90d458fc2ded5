//! Whether one version does clearly worse than another. Pure.

use hooklug_bundle::HarmThresholds;

use super::counts::{Counts, standard_errors_above};

/// Standard errors that a difference must exceed, so that chance alone does not show as harm though a
/// version is judged often (ours).
const SIGNIFICANT: f64 = 4.5;

/// Factor on the thresholds when the old version's figures are from an earlier time (ours).
const HISTORY_STRICTNESS: f64 = 2.0;

/// Least error share above the old version's that counts against figures of an earlier time (ours).
const HISTORY_LEAST_ERROR_SHARE: f64 = 0.3;

/// What the old version's figures are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Against {
    /// Of the same interval.
    SameInterval,
    /// Of an earlier time, since the old version gets no traffic now.
    History,
}

/// Clear harm on one route.
#[derive(Debug, Clone, PartialEq)]
pub enum Finding {
    /// More errors.
    Errors,
    /// Slower.
    Latency,
}

/// Compares a new version's figures with the old one's; both must have enough samples.
#[must_use]
pub fn compare(
    new: &Counts,
    old: &Counts,
    thresholds: &HarmThresholds,
    against: Against,
) -> Option<Finding> {
    if more_errors(new, old, thresholds, against) {
        return Some(Finding::Errors);
    }
    slower(new, old, thresholds, against).then_some(Finding::Latency)
}

fn more_errors(new: &Counts, old: &Counts, thresholds: &HarmThresholds, against: Against) -> bool {
    let allowed = match against {
        Against::SameInterval => thresholds.error_share_above,
        Against::History => {
            (HISTORY_STRICTNESS * thresholds.error_share_above).max(HISTORY_LEAST_ERROR_SHARE)
        }
    };
    let significance =
        standard_errors_above((new.failures, new.total()), (old.failures, old.total()));
    new.error_share() - old.error_share() > allowed && significance > SIGNIFICANT
}

/// Slower by the factor at the 95th percentile, and with significantly more requests beyond the old
/// version's bucket: the buckets are wide, so the percentile alone says little.
fn slower(new: &Counts, old: &Counts, thresholds: &HarmThresholds, against: Against) -> bool {
    let (Some(new_p95), Some(old_p95)) = (new.p95(), old.p95()) else { return false };
    let factor = match against {
        Against::SameInterval => thresholds.latency_factor,
        Against::History => HISTORY_STRICTNESS * thresholds.latency_factor,
    };
    let slow = |counts: &Counts| (counts.slower_than(old_p95.bucket), counts.total());
    new_p95.millis > factor * old_p95.millis
        && standard_errors_above(slow(new), slow(old)) > SIGNIFICANT
}
