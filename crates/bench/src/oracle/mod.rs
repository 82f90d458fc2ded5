//! The oracle: counts the violations of each promise in the evidence of a run.
//!
//! Each promise has one or more checks, which only read the recorded evidence and perform no I/O.

mod answers;
mod budgets;
mod bundles;
mod calls;
mod engines;
pub mod evidence;
mod owners;
mod streams;
mod turns;

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;

use evidence::Evidence;

/// A guarantee of the system that the oracle checks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A non-repeatable call runs at most once.
    AtMostOnce,
    /// Work that was reported as not run did not run and never will.
    TrueRefusals,
    /// A complete-looking response is the backend's own, belongs to the request and is complete.
    OwnWholeAnswers,
    /// Streams neither lose, repeat nor mix events.
    ExactStreams,
    /// A session has one owner per epoch.
    SingleOwner,
    /// A program streams at most its budget plus one turn.
    TokenBudget,
    /// A turn that follows a turn that ended within the retention time is not refused as unknown.
    KnownTurns,
    /// An engine receives no new work more than 3 s after the start of its drain.
    DrainedEngines,
    /// An acknowledged bundle is active on all nodes within 2 s, and no node reverts to an older
    /// one.
    BundleInForce,
    /// Only one of two conflicting bundles is accepted, and an acknowledged one is accepted again
    /// when resent.
    BundleRaces,
    /// A bundle that is read back is not older than the newest acknowledged one.
    DurableBundles,
    /// A harmful version receives no traffic 5 s after enough of its calls have failed.
    HarmfulVersions,
    /// Service recovers within 12 s after the machines are back.
    Recovery,
}

impl Promise {
    /// All promises.
    pub const ALL: [Self; 13] = [
        Self::AtMostOnce,
        Self::TrueRefusals,
        Self::OwnWholeAnswers,
        Self::ExactStreams,
        Self::SingleOwner,
        Self::TokenBudget,
        Self::KnownTurns,
        Self::DrainedEngines,
        Self::BundleInForce,
        Self::BundleRaces,
        Self::DurableBundles,
        Self::HarmfulVersions,
        Self::Recovery,
    ];

    /// Describes what must never happen.
    #[must_use]
    pub fn forbids(self) -> &'static str {
        match self {
            Self::AtMostOnce => "a call that may not be repeated ran twice",
            Self::TrueRefusals => "\"not run\" or \"budget spent\" about work that ran",
            Self::OwnWholeAnswers => "an answer that is foreign, crossed or cut short",
            Self::ExactStreams => "a stream lost, repeated or spliced events",
            Self::SingleOwner => "two engines owned one session",
            Self::TokenBudget => "more tokens than the budget plus one turn",
            Self::KnownTurns => "\"no such turn\" about a turn that finished",
            Self::DrainedEngines => "a draining engine got new work after 3 s",
            Self::BundleInForce => "a bundle not in force after 2 s, or a node slipped back",
            Self::BundleRaces => "two racing bundles accepted, or a resend refused",
            Self::DurableBundles => "a bundle read back older than acknowledged",
            Self::HarmfulVersions => "a harmful version got traffic after 5 s",
            Self::Recovery => "service was not back after 12 s",
        }
    }
}

/// One violation of a promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The violated promise.
    pub promise: Promise,
    /// The call, turn, session, node or other object concerned.
    pub subject: String,
    /// What was observed.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}: {}", self.promise, self.subject, self.detail)
    }
}

/// The result of all checks on one run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// All violations.
    pub violations: Vec<Violation>,
    /// Number of examined records by kind; a check that examined nothing proves nothing.
    pub examined: BTreeMap<&'static str, usize>,
}

impl Verdict {
    /// Returns the number of violations of each promise, including zeros.
    #[must_use]
    pub fn counts(&self) -> Vec<(Promise, usize)> {
        let count = |promise| self.violations.iter().filter(|v| v.promise == promise).count();
        Promise::ALL.into_iter().map(|promise| (promise, count(promise))).collect()
    }

    fn add_violation(
        &mut self,
        promise: Promise,
        subject: impl Into<String>,
        detail: impl Into<String>,
    ) {
        let (subject, detail) = (subject.into(), detail.into());
        self.violations.push(Violation { promise, subject, detail });
    }

    fn add_examined(&mut self, what: &'static str, number: usize) {
        *self.examined.entry(what).or_insert(0) += number;
    }
}

/// Runs all checks on the evidence of a run.
#[must_use]
pub fn judge(evidence: &Evidence) -> Verdict {
    let mut verdict = Verdict::default();
    calls::check_at_most_once(evidence, &mut verdict);
    calls::check_refusals(evidence, &mut verdict);
    turns::check_refusals(evidence, &mut verdict);
    turns::check_known_turns(evidence, &mut verdict);
    answers::check_calls(evidence, &mut verdict);
    answers::check_texts(evidence, &mut verdict);
    streams::check_turns(evidence, &mut verdict);
    streams::check_sessions(evidence, &mut verdict);
    owners::check(evidence, &mut verdict);
    budgets::check(evidence, &mut verdict);
    engines::check_drains(evidence, &mut verdict);
    engines::check_harmful_versions(evidence, &mut verdict);
    engines::check_recoveries(evidence, &mut verdict);
    bundles::check_installed_versions(evidence, &mut verdict);
    bundles::check_races(evidence, &mut verdict);
    bundles::check_read_back(evidence, &mut verdict);
    verdict
}
