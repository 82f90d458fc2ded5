//! Submits bundles as operators do.

use hooklug_bundle::Bundle;
use hooklug_fleet::{Fleet, ProcessName, SubmitOutcome, Submitted};

use super::{PATIENCE, name};

/// Submits a bundle and retries until the outcome is known.
pub async fn submit(fleet: &Fleet, at: ProcessName, bundle: &Bundle) -> SubmitOutcome {
    fleet.submit_until_decided(at, bundle, PATIENCE).await.unwrap()
}

/// Submits a bundle and asserts that it is accepted.
pub async fn accepted(fleet: &Fleet, at: ProcessName, bundle: &Bundle) -> Submitted {
    match submit(fleet, at, bundle).await {
        SubmitOutcome::Accepted(submitted) => submitted,
        refused => panic!("{at} refused version {}: {refused:?}", bundle.version),
    }
}

/// Submits a bundle that differs little from the one before and asserts that it is accepted.
pub async fn accept_version(fleet: &Fleet, at: ProcessName, version: u64) -> Bundle {
    let bundle = fleet.marked_bundle(version, 10).unwrap();
    accepted(fleet, at, &bundle).await;
    bundle
}

pub fn refused_as_taken(verdict: &SubmitOutcome) -> bool {
    matches!(verdict, SubmitOutcome::Refused { status: 409, body } if body.contains("version_taken"))
}

/// Result of submitting two different bundles of the same version concurrently.
pub struct Race {
    pub winner: Bundle,
    pub answer: Submitted,
    pub loser: Bundle,
}

impl Race {
    /// Submits two bundles of the same version concurrently through two gateways and asserts that
    /// exactly one is accepted.
    pub async fn run(fleet: &Fleet, version: u64) -> Self {
        let ours = fleet.marked_bundle(version, 20).unwrap();
        let theirs = fleet.marked_bundle(version, 30).unwrap();
        let (left, right) = (name("gateway:0"), name("gateway:1"));
        let (first, second) =
            tokio::join!(submit(fleet, left, &ours), submit(fleet, right, &theirs));
        match (first, second) {
            (SubmitOutcome::Accepted(answer), lost) if refused_as_taken(&lost) => {
                Self { winner: ours, answer, loser: theirs }
            }
            (lost, SubmitOutcome::Accepted(answer)) if refused_as_taken(&lost) => {
                Self { winner: theirs, answer, loser: ours }
            }
            both => panic!("version {version}: {both:?}"),
        }
    }

    /// Submits both bundles again at a node: the winner must get the same response, and the loser
    /// must be rejected.
    pub async fn check_at(&self, fleet: &Fleet, node: ProcessName) {
        let again = accepted(fleet, node, &self.winner).await;
        assert_eq!(again.bundle, self.answer.bundle, "at {node}");
        assert!(refused_as_taken(&submit(fleet, node, &self.loser).await), "at {node}");
    }
}
