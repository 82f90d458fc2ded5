//! Describes a detected regression for operators.

use std::time::Duration;

use hooklug_types::ServiceVersion;

use super::compare::{Baseline, HarmKind};
use super::counts::Counts;

/// Describes a regression with the request counts of both versions.
pub(super) fn reason(
    kind: &HarmKind,
    new: &Counts,
    (old, old_version): (&Counts, &ServiceVersion),
    baseline: Baseline,
    interval: Duration,
) -> String {
    let when = match baseline {
        Baseline::SameInterval => format!("in the same {} s", interval.as_secs()),
        Baseline::History => "before".to_owned(),
    };
    let p95 = |counts: &Counts| counts.p95().map_or(0.0, |p| p.millis);
    match kind {
        HarmKind::Errors => format!(
            "{} of {} requests failed ({:.1} %), of {old_version} {when} {} of {} ({:.1} %)",
            new.failures,
            new.total(),
            100.0 * new.error_share(),
            old.failures,
            old.total(),
            100.0 * old.error_share(),
        ),
        HarmKind::Latency => format!(
            "p95 latency is {:.0} ms over {} requests, of {old_version} {when} {:.0} ms over {}",
            p95(new),
            new.total(),
            p95(old),
            old.total(),
        ),
    }
}
