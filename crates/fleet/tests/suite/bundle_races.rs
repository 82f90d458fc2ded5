//! Of two bundles that are submitted concurrently for the same version exactly one is accepted. A
//! bundle that was accepted, or whose response was lost, is accepted again when it is resubmitted
//! at any node.
//!
//! Detects two bundles accepted for one version, a resubmission that is rejected because its
//! version is taken or its base is not the newest, and a decision that only the responding node
//! knew.

use std::time::Duration;

use crate::support::bundles::{Race, accepted, refused_as_taken, submit};
use crate::support::{PATIENCE, control_topology, name, read_current, running_nodes, start};
use hooklug_fleet::Fleet;
use hooklug_types::BundleVersion;

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_bundles_wins_and_its_resend_gets_the_same_answer_at_every_node() {
    let fleet = start(control_topology(3)).await;
    for version in 2..=6 {
        let race = Race::run(&fleet, version).await;
        for node in running_nodes(&fleet) {
            race.check_at(&fleet, node).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_whose_answer_was_lost_is_accepted_again_at_another_node() {
    let fleet = start(control_topology(3)).await;
    let (left, right) = (name("gateway:0"), name("gateway:1"));
    let mut version = 1;
    // The node is killed at different points of the commit, so the bundle may be committed or not.
    for millis in [0, 1, 2, 4, 8, 16, 32, 64] {
        version += 1;
        let bundle = fleet.marked_bundle(version, 20).unwrap();
        let dying = async {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            fleet.kill(left).unwrap();
        };
        let (answer, ()) = tokio::join!(fleet.submit_bundle_at(left, &bundle), dying);
        let again = accepted(&fleet, right, &bundle).await;
        if let Ok(first) = answer {
            assert_eq!(first.bundle, again.bundle);
        }
        fleet.restart(left).await.unwrap();
        assert_eq!(accepted(&fleet, left, &bundle).await.bundle, again.bundle);
    }
    a_committed_one_stays_even_after_newer_ones(&fleet, version + 1).await;
}

/// Loses the response of a bundle that is certainly committed: the response waits for a frozen
/// node, and then the responding node is killed.
async fn a_committed_one_stays_even_after_newer_ones(fleet: &Fleet, version: u64) {
    let (left, right) = (name("gateway:0"), name("gateway:1"));
    fleet.wait_all_ready(PATIENCE).await.unwrap();
    fleet.freeze(name("engine:1")).unwrap();
    let bundle = fleet.marked_bundle(version, 20).unwrap();
    let committed = async {
        let look = || async {
            let current = fleet.current_bundle(right).await.map_err(|e| e.to_string())?;
            let seen = current.record.version;
            if seen == BundleVersion(version) { Ok(()) } else { Err(seen.to_string()) }
        };
        fleet.wait_until("the bundle is committed", PATIENCE, look).await.unwrap();
        fleet.kill(left).unwrap();
    };
    let (answer, ()) = tokio::join!(fleet.submit_bundle_at(left, &bundle), committed);
    println!("first response: {answer:?}");
    fleet.wake(name("engine:1")).unwrap();
    let other = fleet.marked_bundle(version, 30).unwrap();
    assert!(refused_as_taken(&submit(fleet, right, &other).await));
    let newer = fleet.marked_bundle(version + 1, 20).unwrap();
    accepted(fleet, right, &newer).await;
    let again = accepted(fleet, right, &bundle).await;
    assert_eq!(again.bundle.version, BundleVersion(version));
    let current = read_current(fleet, right).await;
    assert_eq!(
        current.record.version,
        BundleVersion(version + 1),
        "a resubmission must not change the newest version"
    );
}
