//! Of two bundles that are submitted concurrently for the same version exactly one is accepted. A
//! bundle that was accepted, or whose response was lost, is accepted again when it is resubmitted
//! at any node.
//!
//! Detects two bundles accepted for one version, a resubmission that is rejected because its
//! version is taken or its base is not the newest, and a decision that only the responding node
//! knew.

use std::time::Duration;

use crate::support::bundles::{Race, is_version_taken, submit, submit_accepted};
use crate::support::{WAIT_TIMEOUT, control_topology, name, read_current, running_nodes, start};
use hooklug_fleet::Fleet;
use hooklug_types::BundleVersion;

#[tokio::test(flavor = "multi_thread")]
async fn one_of_two_racing_bundles_wins_and_resends_agree_on_every_node() {
    let fleet = start(control_topology(3)).await;
    for version in 2..=6 {
        let race = Race::run(&fleet, version).await;
        for node in running_nodes(&fleet) {
            race.check_response_at(&fleet, node).await;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_bundle_with_a_lost_response_can_be_resent_to_another_node() {
    let fleet = start(control_topology(3)).await;
    let (first_gateway, second_gateway) = (name("gateway:0"), name("gateway:1"));
    let mut version = 1;
    // The node is killed at different points of the commit, so the bundle may be committed or not.
    for millis in [0, 1, 2, 4, 8, 16, 32, 64] {
        version += 1;
        let bundle = fleet.marked_bundle(version, 20).unwrap();
        let kill_node = async {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            fleet.kill(first_gateway).unwrap();
        };
        let (response, ()) =
            tokio::join!(fleet.submit_bundle_at(first_gateway, &bundle), kill_node);
        let again = submit_accepted(&fleet, second_gateway, &bundle).await;
        if let Ok(first) = response {
            assert_eq!(first.bundle, again.bundle);
        }
        fleet.restart(first_gateway).await.unwrap();
        assert_eq!(submit_accepted(&fleet, first_gateway, &bundle).await.bundle, again.bundle);
    }
    check_committed_bundle_survives_newer_ones(&fleet, version + 1).await;
}

/// Loses the response of a bundle that is certainly committed: the response waits for a frozen
/// node, and then the responding node is killed.
async fn check_committed_bundle_survives_newer_ones(fleet: &Fleet, version: u64) {
    let (first_gateway, second_gateway) = (name("gateway:0"), name("gateway:1"));
    fleet.wait_all_ready(WAIT_TIMEOUT).await.unwrap();
    fleet.freeze(name("engine:1")).unwrap();
    let bundle = fleet.marked_bundle(version, 20).unwrap();
    let kill_after_commit = async {
        let check = || async {
            let current = fleet.current_bundle(second_gateway).await.map_err(|e| e.to_string())?;
            let current_version = current.record.version;
            if current_version == BundleVersion(version) {
                Ok(())
            } else {
                Err(current_version.to_string())
            }
        };
        fleet.wait_until("the bundle is committed", WAIT_TIMEOUT, check).await.unwrap();
        fleet.kill(first_gateway).unwrap();
    };
    let (response, ()) =
        tokio::join!(fleet.submit_bundle_at(first_gateway, &bundle), kill_after_commit);
    println!("first response: {response:?}");
    fleet.resume(name("engine:1")).unwrap();
    let other = fleet.marked_bundle(version, 30).unwrap();
    assert!(is_version_taken(&submit(fleet, second_gateway, &other).await));
    let newer = fleet.marked_bundle(version + 1, 20).unwrap();
    submit_accepted(fleet, second_gateway, &newer).await;
    let again = submit_accepted(fleet, second_gateway, &bundle).await;
    assert_eq!(again.bundle.version, BundleVersion(version));
    let current = read_current(fleet, second_gateway).await;
    assert_eq!(
        current.record.version,
        BundleVersion(version + 1),
        "a resubmission must not change the newest version"
    );
}
