//! Decides whether one version performs clearly worse than another. Pure: no I/O.

use hooklug_bundle::HarmThresholds;

use super::counts::{Counts, standard_errors_above};

/// Standard errors that a difference must exceed, so that random variation does not count as harm
/// although a version is judged many times.
const SIGNIFICANT: f64 = 4.5;

/// Factor on the thresholds when the old version's counts are from an earlier time.
const HISTORY_STRICTNESS: f64 = 2.0;

/// Minimum excess over the old version's error share when its counts are from an earlier time.
const HISTORY_MIN_ERROR_SHARE: f64 = 0.3;

/// The period that the old version's counts are from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Baseline {
    /// The same interval as the new version's counts.
    SameInterval,
    /// An earlier time, since the old version has no traffic now.
    History,
}

/// The kind of clear harm found on one route.
#[derive(Debug, Clone, PartialEq)]
pub enum HarmKind {
    /// The error share is higher.
    Errors,
    /// The latency is higher.
    Latency,
}

/// Compares a new version's counts with the old one's; both must have enough samples.
#[must_use]
pub fn compare(
    new: &Counts,
    old: &Counts,
    thresholds: &HarmThresholds,
    baseline: Baseline,
) -> Option<HarmKind> {
    if more_errors(new, old, thresholds, baseline) {
        return Some(HarmKind::Errors);
    }
    slower(new, old, thresholds, baseline).then_some(HarmKind::Latency)
}

fn more_errors(
    new: &Counts,
    old: &Counts,
    thresholds: &HarmThresholds,
    baseline: Baseline,
) -> bool {
    let allowed = match baseline {
        Baseline::SameInterval => thresholds.error_share_above,
        Baseline::History => {
            (HISTORY_STRICTNESS * thresholds.error_share_above).max(HISTORY_MIN_ERROR_SHARE)
        }
    };
    let significance =
        standard_errors_above((new.failures, new.total()), (old.failures, old.total()));
    new.error_share() - old.error_share() > allowed && significance > SIGNIFICANT
}

/// Returns whether the 95th percentile of the new version is higher by the threshold factor, and
/// significantly more of its requests lie above the old version's bucket. The buckets are wide, so
/// the percentile alone is weak evidence.
fn slower(new: &Counts, old: &Counts, thresholds: &HarmThresholds, baseline: Baseline) -> bool {
    let (Some(new_p95), Some(old_p95)) = (new.p95(), old.p95()) else { return false };
    let factor = match baseline {
        Baseline::SameInterval => thresholds.latency_factor,
        Baseline::History => HISTORY_STRICTNESS * thresholds.latency_factor,
    };
    let slow = |counts: &Counts| (counts.slower_than(old_p95.bucket), counts.total());
    new_p95.millis > factor * old_p95.millis
        && standard_errors_above(slow(new), slow(old)) > SIGNIFICANT
}
