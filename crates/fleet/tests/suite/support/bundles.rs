//! Submits bundles as operators do.

use hooklug_bundle::Bundle;
use hooklug_fleet::{Fleet, ProcessName, SubmitOutcome, Submitted};

use super::{WAIT_TIMEOUT, name};

/// Submits a bundle and retries until the outcome is known.
pub async fn submit(fleet: &Fleet, at: ProcessName, bundle: &Bundle) -> SubmitOutcome {
    fleet.submit_until_decided(at, bundle, WAIT_TIMEOUT).await.unwrap()
}

/// Submits a bundle and asserts that it is accepted.
pub async fn submit_accepted(fleet: &Fleet, at: ProcessName, bundle: &Bundle) -> Submitted {
    match submit(fleet, at, bundle).await {
        SubmitOutcome::Accepted(submitted) => submitted,
        refused => panic!("{at} refused version {}: {refused:?}", bundle.version),
    }
}

/// Submits a bundle that differs little from the one before and asserts that it is accepted.
pub async fn submit_version(fleet: &Fleet, at: ProcessName, version: u64) -> Bundle {
    let bundle = fleet.marked_bundle(version, 10).unwrap();
    submit_accepted(fleet, at, &bundle).await;
    bundle
}

pub fn is_version_taken(outcome: &SubmitOutcome) -> bool {
    matches!(outcome, SubmitOutcome::Refused { status: 409, body } if body.contains("version_taken"))
}

/// Result of submitting two different bundles of the same version concurrently.
pub struct Race {
    pub winner: Bundle,
    pub response: Submitted,
    pub loser: Bundle,
}

impl Race {
    /// Submits two bundles of the same version concurrently through two gateways and asserts that
    /// exactly one is accepted.
    pub async fn run(fleet: &Fleet, version: u64) -> Self {
        let first_bundle = fleet.marked_bundle(version, 20).unwrap();
        let second_bundle = fleet.marked_bundle(version, 30).unwrap();
        let (first_gateway, second_gateway) = (name("gateway:0"), name("gateway:1"));
        let (first, second) = tokio::join!(
            submit(fleet, first_gateway, &first_bundle),
            submit(fleet, second_gateway, &second_bundle)
        );
        match (first, second) {
            (SubmitOutcome::Accepted(response), rejected) if is_version_taken(&rejected) => {
                Self { winner: first_bundle, response, loser: second_bundle }
            }
            (rejected, SubmitOutcome::Accepted(response)) if is_version_taken(&rejected) => {
                Self { winner: second_bundle, response, loser: first_bundle }
            }
            outcomes => panic!("version {version}: {outcomes:?}"),
        }
    }

    /// Submits both bundles again at a node: the winner must get the same response, and the loser
    /// must be rejected.
    pub async fn check_response_at(&self, fleet: &Fleet, node: ProcessName) {
        let again = submit_accepted(fleet, node, &self.winner).await;
        assert_eq!(again.bundle, self.response.bundle, "at {node}");
        assert!(is_version_taken(&submit(fleet, node, &self.loser).await), "at {node}");
    }
}
