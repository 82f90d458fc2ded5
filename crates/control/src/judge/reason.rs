//! Describes a detected regression for operators.

use std::time::Duration;

use hooklug_types::ServiceVersion;

use super::compare::{Against, Finding};
use super::counts::Counts;

/// Describes a regression with the request counts of both versions.
pub(super) fn reason(
    finding: &Finding,
    new: &Counts,
    (old, old_version): (&Counts, &ServiceVersion),
    against: Against,
    interval: Duration,
) -> String {
    let when = match against {
        Against::SameInterval => format!("in the same {} s", interval.as_secs()),
        Against::History => "before".to_owned(),
    };
    let p95 = |counts: &Counts| counts.p95().map_or(0.0, |p| p.millis);
    match finding {
        Finding::Errors => format!(
            "{} of {} requests failed ({:.1} %), of {old_version} {when} {} of {} ({:.1} %)",
            new.failures,
            new.total(),
            100.0 * new.error_share(),
            old.failures,
            old.total(),
            100.0 * old.error_share(),
        ),
        Finding::Latency => format!(
            "p95 latency is {:.0} ms over {} requests, of {old_version} {when} {:.0} ms over {}",
            p95(new),
            new.total(),
            p95(old),
            old.total(),
        ),
    }
}
