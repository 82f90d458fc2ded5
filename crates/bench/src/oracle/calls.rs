//! Checks that non-repeatable calls run at most once, and that calls reported as not run did not
//! run.

use std::collections::BTreeMap;

use hooklug_emulator::LedgerEntry;

use super::evidence::{CallClaim, Evidence};
use super::{Promise, Verdict};

/// Counts the runs of each call over all application engines, including their restarts.
pub(super) fn count_runs(evidence: &Evidence) -> BTreeMap<&str, usize> {
    let mut runs = BTreeMap::new();
    for line in &evidence.application_ledgers {
        if let LedgerEntry::CallRan { call, .. } = &line.entry {
            *runs.entry(call.as_str()).or_insert(0) += 1;
        }
    }
    runs
}

pub(super) fn check_at_most_once(evidence: &Evidence, verdict: &mut Verdict) {
    let runs = count_runs(evidence);
    let non_repeatable = || evidence.calls.iter().filter(|call| !call.may_repeat);
    verdict.add_examined("calls that may not be repeated", non_repeatable().count());
    for call in non_repeatable() {
        let times = runs.get(call.call.as_str()).copied().unwrap_or(0);
        if times > 1 {
            let detail =
                format!("{} ran {times} times; reported outcomes: {:?}", call.tool, call.claims);
            verdict.add_violation(Promise::AtMostOnce, &call.call, detail);
        }
    }
}

pub(super) fn check_refusals(evidence: &Evidence, verdict: &mut Verdict) {
    let runs = count_runs(evidence);
    for call in &evidence.calls {
        for claim in &call.claims {
            let CallClaim::NotRun(code) = claim else { continue };
            verdict.add_examined("claims that a call did not run", 1);
            if let Some(times) = runs.get(call.call.as_str()) {
                let detail = format!("reported as {code}, but ran {times} times");
                verdict.add_violation(Promise::TrueRefusals, &call.call, detail);
            }
        }
    }
}
