//! Checks that acknowledged bundles become active on all nodes in time, are unique per version and
//! are never lost.

use std::collections::BTreeMap;

use super::evidence::{Evidence, InstalledSeen, Millis, SubmissionAnswer, SubmissionRecord};
use super::{Promise, Verdict};

/// Time within which an acknowledged bundle must be active, in milliseconds (requirement: about 2
/// s).
const IN_FORCE_TIME_MS: Millis = 2_000;
/// Time that a node has to catch up after a fault, in milliseconds (requirement: service recovers
/// within 12 s).
const CATCH_UP_TIME_MS: Millis = 12_000;

fn acknowledged(evidence: &Evidence) -> impl Iterator<Item = &SubmissionRecord> {
    let all = evidence.submissions.iter();
    all.filter(|submission| submission.answer == SubmissionAnswer::Acknowledged)
}

pub(super) fn check_in_force(evidence: &Evidence, verdict: &mut Verdict) {
    verdict.examined("acknowledged bundles", acknowledged(evidence).count());
    verdict.examined("readings of versions in force", evidence.installed.len());
    let mut newest: BTreeMap<&str, u64> = BTreeMap::new();
    for seen in &evidence.installed {
        if let Some(fault) = fault_of_reading(evidence, seen, &mut newest) {
            verdict.add(Promise::BundleInForce, &seen.node, fault);
        }
    }
}

fn fault_of_reading<'a>(
    evidence: &'a Evidence,
    seen: &'a InstalledSeen,
    newest: &mut BTreeMap<&'a str, u64>,
) -> Option<String> {
    // Version 0 is skipped: a node that has just started has no bundle yet and is not ready.
    if seen.version > 0 {
        let before = newest.entry(&seen.node).or_insert(seen.version);
        if seen.version < *before {
            return Some(format!("went back from version {before} to {}", seen.version));
        }
        *before = seen.version;
    }
    let due = acknowledged(evidence)
        .filter(|submission| submission.answered + IN_FORCE_TIME_MS < seen.begun)
        .filter(|submission| submission.version > seen.version)
        .find(|submission| !disturbed(evidence, &seen.node, submission.answered, seen.begun))?;
    let late = seen.begun - due.answered;
    Some(format!(
        "version {} in force {late} ms after {} was acknowledged",
        seen.version, due.version
    ))
}

/// Returns whether a fault affected the node between two instants, or so shortly before that the
/// node may still be catching up.
fn disturbed(evidence: &Evidence, node: &str, from: Millis, to: Millis) -> bool {
    evidence.disturbances.iter().any(|disturbance| {
        let hit = disturbance.hit.iter().any(|name| name == node);
        let back = disturbance.until.map_or(Millis::MAX, |until| until + CATCH_UP_TIME_MS);
        hit && disturbance.from <= to && back >= from
    })
}

pub(super) fn check_races(evidence: &Evidence, verdict: &mut Verdict) {
    let mut digests: BTreeMap<u64, &SubmissionRecord> = BTreeMap::new();
    let mut bases: BTreeMap<u64, &SubmissionRecord> = BTreeMap::new();
    for accepted in acknowledged(evidence) {
        let first = *digests.entry(accepted.version).or_insert(accepted);
        let based = *bases.entry(accepted.base).or_insert(accepted);
        if first.digest != accepted.digest || based.digest != accepted.digest {
            let detail = format!("two bundles accepted on version {}", accepted.base);
            verdict.add(Promise::BundleRaces, format!("version {}", accepted.version), detail);
        }
    }
    for refused in &evidence.submissions {
        let SubmissionAnswer::Refused(reason) = &refused.answer else { continue };
        verdict.examined("refused bundles", 1);
        let again = acknowledged(evidence)
            .any(|ack| ack.digest == refused.digest && ack.answered <= refused.begun);
        if again {
            let detail = format!("sent again after its acknowledgement, refused: {reason}");
            verdict.add(Promise::BundleRaces, format!("version {}", refused.version), detail);
        }
    }
}

pub(super) fn check_read_back(evidence: &Evidence, verdict: &mut Verdict) {
    verdict.examined("bundles read back", evidence.bundle_reads.len());
    for read in &evidence.bundle_reads {
        let newest = acknowledged(evidence)
            .filter(|ack| ack.answered <= read.begun)
            .map(|ack| ack.version)
            .max();
        if let Some(newest) = newest.filter(|newest| *newest > read.version) {
            let detail = format!("version {newest} was acknowledged before");
            verdict.add(Promise::DurableBundles, format!("read version {}", read.version), detail);
        }
    }
}
