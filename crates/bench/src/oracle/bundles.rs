//! Checks that acknowledged bundles become active on all nodes in time, are unique per version and
//! are never lost.

use std::collections::BTreeMap;

use super::evidence::{Evidence, Millis, SubmissionOutcome, SubmissionRecord, VersionObservation};
use super::{Promise, Verdict};

/// Milliseconds within which an acknowledged bundle must be active (requirement: about 2 s).
const INSTALL_TIME_MS: Millis = 2_000;
/// Time that a node has to catch up after a fault, in milliseconds (requirement: service recovers
/// within 12 s).
const CATCH_UP_TIME_MS: Millis = 12_000;

fn acknowledged(evidence: &Evidence) -> impl Iterator<Item = &SubmissionRecord> {
    let all = evidence.submissions.iter();
    all.filter(|submission| submission.outcome == SubmissionOutcome::Acknowledged)
}

pub(super) fn check_installed_versions(evidence: &Evidence, verdict: &mut Verdict) {
    verdict.add_examined("acknowledged bundles", acknowledged(evidence).count());
    verdict.add_examined("readings of versions in force", evidence.installed_versions.len());
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for observed in &evidence.installed_versions {
        if let Some(error) = find_version_error(evidence, observed, &mut newest) {
            verdict.add_violation(Promise::BundleInForce, &observed.node, error);
        }
    }
}

fn find_version_error<'a>(
    evidence: &'a Evidence,
    observed: &'a VersionObservation,
    newest: &mut BTreeMap<&'a str, u64>,
) -> Option<String> {
    // Version 0 is skipped: a node that has just started has no bundle yet and is not ready.
    if observed.version > 0 {
        let before = newest.entry(&observed.node).or_insert(observed.version);
        if observed.version < *before {
            return Some(format!("reverted from version {before} to {}", observed.version));
        }
        *before = observed.version;
    }
    let due = acknowledged(evidence)
        .filter(|submission| submission.answered_at + INSTALL_TIME_MS < observed.sent_at)
        .filter(|submission| submission.version > observed.version)
        .find(|submission| {
            !was_affected(evidence, &observed.node, submission.answered_at, observed.sent_at)
        })?;
    let late_ms = observed.sent_at - due.answered_at;
    Some(format!(
        "version {} still active {late_ms} ms after {} was acknowledged",
        observed.version, due.version
    ))
}

/// Returns whether a fault affected the node between two instants, or so shortly before that the
/// node may still be catching up.
fn was_affected(evidence: &Evidence, node: &str, from: Millis, to: Millis) -> bool {
    evidence.injected_faults.iter().any(|injected| {
        let is_target = injected.targets.iter().any(|name| name == node);
        let caught_up =
            injected.ended_at.map_or(Millis::MAX, |ended_at| ended_at + CATCH_UP_TIME_MS);
        is_target && injected.started_at <= to && caught_up >= from
    })
}

pub(super) fn check_races(evidence: &Evidence, verdict: &mut Verdict) {
    let mut digests: BTreeMap<u64, &SubmissionRecord> = BTreeMap::new();
    let mut bases: BTreeMap<u64, &SubmissionRecord> = BTreeMap::new();
    for accepted in acknowledged(evidence) {
        let first = *digests.entry(accepted.version).or_insert(accepted);
        let first_on_base = *bases.entry(accepted.base).or_insert(accepted);
        if first.digest != accepted.digest || first_on_base.digest != accepted.digest {
            let detail = format!("two bundles with base version {} were accepted", accepted.base);
            verdict.add_violation(
                Promise::BundleRaces,
                format!("version {}", accepted.version),
                detail,
            );
        }
    }
    for refused in &evidence.submissions {
        let SubmissionOutcome::Refused(reason) = &refused.outcome else { continue };
        verdict.add_examined("refused bundles", 1);
        let was_acknowledged = acknowledged(evidence)
            .any(|ack| ack.digest == refused.digest && ack.answered_at <= refused.sent_at);
        if was_acknowledged {
            let detail = format!("resent after its acknowledgement, but refused: {reason}");
            verdict.add_violation(
                Promise::BundleRaces,
                format!("version {}", refused.version),
                detail,
            );
        }
    }
}

pub(super) fn check_read_back(evidence: &Evidence, verdict: &mut Verdict) {
    verdict.add_examined("bundles read back", evidence.bundle_reads.len());
    for read in &evidence.bundle_reads {
        let newest = acknowledged(evidence)
            .filter(|ack| ack.answered_at <= read.sent_at)
            .map(|ack| ack.version)
            .max();
        if let Some(newest) = newest.filter(|newest| *newest > read.version) {
            let detail = format!("version {newest} had been acknowledged before the read");
            verdict.add_violation(
                Promise::DurableBundles,
                format!("read version {}", read.version),
                detail,
            );
        }
    }
}
