//! The oracle: counts, from the evidence of a run alone, how often each promise was broken.
//!
//! Pure: it reads records and ledgers, and neither waits nor asks anyone. One check a promise.

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

/// A promise; each has one check.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Promise {
    /// A call that may not be repeated runs at most once.
    AtMostOnce,
    /// What is said not to have run did not run and never does.
    TrueRefusals,
    /// A whole-looking answer is the back end's own, of this request, and whole.
    OwnWholeAnswers,
    /// Streams lose, repeat and splice nothing.
    ExactStreams,
    /// A session has one owner an epoch.
    SingleOwner,
    /// A program streams at most its budget plus one turn.
    TokenBudget,
    /// A turn whose earlier turn finished within the keep time is not told that there is none.
    KnownTurns,
    /// An engine gets no new work more than 3 s after its drain was known.
    DrainedEngines,
    /// An acknowledged bundle is in force everywhere within 2 s, and no node goes back.
    BundleInForce,
    /// One of two racing bundles is accepted, and an acknowledged one again.
    BundleRaces,
    /// A bundle read back is not older than the newest acknowledged one.
    DurableBundles,
    /// A harmful version gets no traffic 5 s after its harm is clear.
    HarmfulVersions,
    /// Service is back 12 s after the machines are.
    Recovery,
}

impl Promise {
    /// All of them.
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

    /// What must never happen.
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

/// One breach of a promise.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Violation {
    /// The promise.
    pub promise: Promise,
    /// What it is about: a call, a turn, a session, a node.
    pub subject: String,
    /// What was seen.
    pub detail: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}: {}: {}", self.promise, self.subject, self.detail)
    }
}

/// The verdict on one run.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Verdict {
    /// All breaches.
    pub violations: Vec<Violation>,
    /// How much each check looked at; a check that looked at nothing shows nothing.
    pub examined: BTreeMap<&'static str, usize>,
}

impl Verdict {
    /// How often each promise was broken, zeros included.
    #[must_use]
    pub fn counts(&self) -> Vec<(Promise, usize)> {
        let count = |promise| self.violations.iter().filter(|v| v.promise == promise).count();
        Promise::ALL.into_iter().map(|promise| (promise, count(promise))).collect()
    }

    fn add(&mut self, promise: Promise, subject: impl Into<String>, detail: impl Into<String>) {
        let (subject, detail) = (subject.into(), detail.into());
        self.violations.push(Violation { promise, subject, detail });
    }

    fn examined(&mut self, what: &'static str, number: usize) {
        *self.examined.entry(what).or_insert(0) += number;
    }
}

/// Judges a run.
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
    bundles::check_in_force(evidence, &mut verdict);
    bundles::check_races(evidence, &mut verdict);
    bundles::check_read_back(evidence, &mut verdict);
    verdict
}
