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
const HARM_TIME_MS: Millis = 5_000;
/// Maximum time without service after the end of a fault, in milliseconds (requirement: about 12
/// s).
const RECOVERY_TIME_MS: Millis = 12_000;

impl DrainRecord {
    fn forbids_at(&self, at: Millis) -> bool {
        at > self.known + DRAIN_TIME_MS && self.until.is_none_or(|until| at < until)
    }
}

pub(super) fn check_drains(evidence: &Evidence, verdict: &mut Verdict) {
    let mut drains: BTreeMap<&str, Vec<&DrainRecord>> = BTreeMap::new();
    for drain in &evidence.drains {
        drains.entry(&drain.engine).or_default().push(drain);
    }
    verdict.examined("drains", evidence.drains.len());
    let late = |engine: &str, at: Millis| {
        drains.get(engine).is_some_and(|all| all.iter().any(|drain| drain.forbids_at(at)))
    };
    for (name, session) in &evidence.sessions {
        for seen in session.owners.iter().filter(|seen| seen.opened) {
            if late(&seen.owner, seen.begun) {
                let detail = format!("opened at {} more than 3 s into its drain", seen.owner);
                verdict.add(Promise::DrainedEngines, name, detail);
            }
        }
    }
    for line in &evidence.applications {
        let engine = line.identity.split('/').nth(1).unwrap_or_default();
        let work = match &line.entry {
            LedgerEntry::CallRan { call, .. } => call,
            LedgerEntry::Refused { call, reason } if reason == "draining" => call,
            _ => continue,
        };
        if late(engine, line.at.0) {
            let detail = format!("a call reached {engine} more than 3 s into its drain");
            verdict.add(Promise::DrainedEngines, work, detail);
        }
    }
}

pub(super) fn check_harmful_versions(evidence: &Evidence, verdict: &mut Verdict) {
    for release in &evidence.harmful {
        let runs = runs_of(evidence, release);
        verdict.examined("runs of harmful versions", runs.len());
        let Some(clear) = release.samples.checked_sub(1).and_then(|last| runs.get(last)) else {
            continue;
        };
        let late = runs.iter().filter(|at| **at > clear + HARM_TIME_MS).count();
        if late > 0 {
            let last = runs.last().copied().unwrap_or_default().saturating_sub(*clear);
            let detail = format!("{late} runs later than 5 s, the last after {last} ms");
            verdict.add(Promise::HarmfulVersions, &release.version, detail);
        }
    }
}

fn runs_of(evidence: &Evidence, release: &HarmfulRelease) -> Vec<Millis> {
    let lines = evidence.applications.iter().filter(|line| {
        line.version == release.version && matches!(line.entry, LedgerEntry::CallRan { .. })
    });
    let mut runs: Vec<Millis> = lines.map(|line| line.at.0).collect();
    runs.sort_unstable();
    runs
}

pub(super) fn check_recoveries(evidence: &Evidence, verdict: &mut Verdict) {
    verdict.examined("recoveries", evidence.recoveries.len());
    for recovery in &evidence.recoveries {
        let took = recovery.served.map(|served| served.saturating_sub(recovery.healed));
        if took.is_none_or(|took| took > RECOVERY_TIME_MS) {
            let detail = took.map_or_else(|| "not back".to_owned(), |t| format!("{t} ms"));
            verdict.add(Promise::Recovery, &recovery.after, detail);
        }
    }
}
