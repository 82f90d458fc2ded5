//! An acknowledged bundle is installed at all nodes within about 2 s, and no node returns to an
//! older one.
//!
//! Detects an acknowledgement before a quorum has the bundle, a notification of a new version that
//! is lost with the core leader, a restarted node that serves with an older bundle, and an isolated
//! node that does not catch up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::support::bundles::submit_accepted;
use crate::support::{
    INSTALL_BOUND, VersionWatch, WAIT_TIMEOUT, control_topology, name, running_nodes, start,
    wait_installed,
};
use futures::future::join_all;
use hooklug_fleet::{Fleet, ProcessKind, ProcessName};
use hooklug_types::BundleVersion;

/// Submits a version and returns the time between its installation at the first and at the last of
/// the nodes. The response may arrive later, because it waits for nodes that are believed to be
/// alive.
async fn measure_spread(fleet: &Fleet, version: u64, nodes: &[ProcessName]) -> Duration {
    let bundle = fleet.marked_bundle(version, 100).unwrap();
    let at = fleet.names(ProcessKind::Gateway)[0];
    let submitting = async {
        submit_accepted(fleet, at, &bundle).await;
        Instant::now()
    };
    let installing = join_all(nodes.iter().map(|node| async {
        wait_installed(fleet, *node, version).await;
        Instant::now()
    }));
    let (answered, installed) = tokio::join!(submitting, installing);
    let first = *installed.iter().min().unwrap();
    let last = *installed.iter().max().unwrap();
    let (spread, after_answer) = (last - first, last.saturating_duration_since(answered));
    println!(
        "version {version}: installed at all nodes {spread:?} after the first one, {after_answer:?} after the response"
    );
    spread
}

fn running_nodes_except(fleet: &Fleet, excluded: &[ProcessName]) -> Vec<ProcessName> {
    running_nodes(fleet).into_iter().filter(|node| !excluded.contains(node)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn bundles_spread_despite_core_leader_failure_and_restarts() {
    let fleet = Arc::new(start(control_topology(3)).await);
    let watch = VersionWatch::start(fleet.clone());
    let mut version = 1;
    for restarted in ["gateway:1", "store:1", "engine:0"] {
        version += 1;
        let (leader, restarted) = (fleet.core_leader().await.unwrap(), name(restarted));
        fleet.kill(leader).unwrap();
        fleet.kill(restarted).unwrap();
        let rest = running_nodes_except(&fleet, &[leader, restarted]);
        let (took, started) =
            tokio::join!(measure_spread(&fleet, version, &rest), fleet.restart(restarted));
        started.unwrap();
        assert!(took <= INSTALL_BOUND, "version {version} took {took:?}");
        fleet.restart(leader).await.unwrap();
        // A restarted node that is ready must have at least the version that was acknowledged
        // meanwhile.
        for back in [restarted, leader] {
            fleet.wait_ready(back, WAIT_TIMEOUT).await.unwrap();
            let installed = fleet.installed_bundle(back).await.unwrap();
            assert!(installed >= BundleVersion(version), "{back} is ready with {installed}");
        }
    }
    check_isolated_node_catches_up(&fleet, version).await;
    watch.stop().await;
}

async fn check_isolated_node_catches_up(fleet: &Fleet, mut version: u64) {
    for isolated in ["gateway:1", "core:0"] {
        let isolated = name(isolated);
        fleet.isolate(isolated).await.unwrap();
        version += 1;
        let rest = running_nodes_except(fleet, &[isolated]);
        let took = measure_spread(fleet, version, &rest).await;
        assert!(
            took <= INSTALL_BOUND,
            "version {version} took {took:?} while {isolated} was isolated"
        );
        let installed = fleet.installed_bundle(isolated).await.unwrap();
        assert!(installed < BundleVersion(version), "{isolated} is not isolated");
        let healed = Instant::now();
        fleet.heal().await.unwrap();
        wait_installed(fleet, isolated, version).await;
        println!("{isolated}: caught up {:?} after its links were unblocked", healed.elapsed());
        fleet.wait_ready(isolated, WAIT_TIMEOUT).await.unwrap();
    }
}
