//! Checks draining engines, harmful versions and recovery times.

use std::collections::BTreeMap;

use hooklug_emulator::LedgerEntry;

use super::evidence::{DrainRecord, Evidence, HarmfulRelease, Millis};
use super::{Promise, Verdict};

/// Time after the start of a drain in which new work may still arrive, in milliseconds
/// (requirement: about 3 s).
const DRAIN_TIME_MS: Millis = 3_000;
/// Time for which a version may still receive traffic after enough of its calls have failed, in
/// milliseconds (requirement: about 5 s).
const HARMFUL_TRAFFIC_TIME_MS: Millis = 5_000;
/// Maximum milliseconds without service after the end of a fault (requirement: about 12 s).
const RECOVERY_TIME_MS: Millis = 12_000;

impl DrainRecord {
    fn forbids_work_at(&self, at: Millis) -> bool {
        at > self.started_at + DRAIN_TIME_MS && self.ended_at.is_none_or(|ended_at| at < ended_at)
    }
}

pub(super) fn check_drains(evidence: &Evidence, verdict: &mut Verdict) {
    let mut drains: BTreeMap<&str, Vec<&DrainRecord>> = BTreeMap::new();
    for drain in &evidence.drains {
        drains.entry(&drain.engine).or_default().push(drain);
    }
    verdict.add_examined("drains", evidence.drains.len());
    let is_late = |engine: &str, at: Millis| {
        drains.get(engine).is_some_and(|all| all.iter().any(|drain| drain.forbids_work_at(at)))
    };
    for (name, session) in &evidence.sessions {
        for observed in session.owners.iter().filter(|observed| observed.opened) {
            if is_late(&observed.owner, observed.sent_at) {
                let detail = format!(
                    "opened at {} more than 3 s after the start of its drain",
                    observed.owner
                );
                verdict.add_violation(Promise::DrainedEngines, name, detail);
            }
        }
    }
    for line in &evidence.application_ledgers {
        let engine = line.identity.split('/').nth(1).unwrap_or_default();
        let call_id = match &line.entry {
            LedgerEntry::CallRan { call, .. } => call,
            LedgerEntry::Refused { call, reason } if reason == "draining" => call,
            _ => continue,
        };
        if is_late(engine, line.at.0) {
            let detail =
                format!("a call reached {engine} more than 3 s after the start of its drain");
            verdict.add_violation(Promise::DrainedEngines, call_id, detail);
        }
    }
}

pub(super) fn check_harmful_versions(evidence: &Evidence, verdict: &mut Verdict) {
    for release in &evidence.harmful_releases {
        let runs = run_times(evidence, release);
        verdict.add_examined("runs of harmful versions", runs.len());
        let Some(recognizable_at) = release.samples.checked_sub(1).and_then(|last| runs.get(last))
        else {
            continue;
        };
        let late_runs =
            runs.iter().filter(|at| **at > recognizable_at + HARMFUL_TRAFFIC_TIME_MS).count();
        if late_runs > 0 {
            let last = runs.last().copied().unwrap_or_default().saturating_sub(*recognizable_at);
            let detail = format!(
                "{late_runs} runs over 5 s after the version proved harmful, the last {last} ms after"
            );
            verdict.add_violation(Promise::HarmfulVersions, &release.version, detail);
        }
    }
}

fn run_times(evidence: &Evidence, release: &HarmfulRelease) -> Vec<Millis> {
    let lines = evidence.application_ledgers.iter().filter(|line| {
        line.version == release.version && matches!(line.entry, LedgerEntry::CallRan { .. })
    });
    let mut runs: Vec<Millis> = lines.map(|line| line.at.0).collect();
    runs.sort_unstable();
    runs
}

pub(super) fn check_recoveries(evidence: &Evidence, verdict: &mut Verdict) {
    verdict.add_examined("recoveries", evidence.recoveries.len());
    for recovery in &evidence.recoveries {
        let recovery_ms =
            recovery.served_at.map(|served_at| served_at.saturating_sub(recovery.fault_ended_at));
        if recovery_ms.is_none_or(|recovery_ms| recovery_ms > RECOVERY_TIME_MS) {
            let detail = recovery_ms.map_or_else(
                || "service did not recover".to_owned(),
                |t| format!("service recovered after {t} ms"),
            );
            verdict.add_violation(Promise::Recovery, &recovery.fault, detail);
        }
    }
}
