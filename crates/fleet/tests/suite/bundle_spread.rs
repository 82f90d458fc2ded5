//! An acknowledged bundle is installed at all nodes within about 2 s, and no node returns to an
//! older one.
//!
//! Detects an acknowledgement before a quorum has the bundle, a notification of a new version that
//! is lost with the core leader, a restarted node that serves with an older bundle, and an isolated
//! node that does not catch up.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::support::bundles::accepted;
use crate::support::{
    IN_FORCE_BOUND, PATIENCE, VersionWatch, control_topology, name, running_nodes, start,
    wait_installed,
};
use futures::future::join_all;
use hooklug_fleet::{Fleet, ProcessKind, ProcessName};
use hooklug_types::BundleVersion;

/// Submits a version and returns the time between its installation at the first and at the last of
/// the nodes. The response may arrive later, because it waits for nodes that are believed to be
/// alive.
async fn spread(fleet: &Fleet, version: u64, nodes: &[ProcessName]) -> Duration {
    let bundle = fleet.marked_bundle(version, 100).unwrap();
    let at = fleet.names(ProcessKind::Gateway)[0];
    let submitting = async {
        accepted(fleet, at, &bundle).await;
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

fn others(fleet: &Fleet, without: &[ProcessName]) -> Vec<ProcessName> {
    running_nodes(fleet).into_iter().filter(|node| !without.contains(node)).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn bundles_spread_while_the_core_leader_dies_and_nodes_restart() {
    let fleet = Arc::new(start(control_topology(3)).await);
    let watch = VersionWatch::start(fleet.clone());
    let mut version = 1;
    for restarted in ["gateway:1", "store:1", "engine:0"] {
        version += 1;
        let (leader, restarted) = (fleet.core_leader().await.unwrap(), name(restarted));
        fleet.kill(leader).unwrap();
        fleet.kill(restarted).unwrap();
        let rest = others(&fleet, &[leader, restarted]);
        let (took, started) =
            tokio::join!(spread(&fleet, version, &rest), fleet.restart(restarted));
        started.unwrap();
        assert!(took <= IN_FORCE_BOUND, "version {version} took {took:?}");
        fleet.restart(leader).await.unwrap();
        // A restarted node that is ready must have at least the version that was acknowledged
        // meanwhile.
        for back in [restarted, leader] {
            fleet.wait_ready(back, PATIENCE).await.unwrap();
            let installed = fleet.installed_bundle(back).await.unwrap();
            assert!(installed >= BundleVersion(version), "{back} is ready with {installed}");
        }
    }
    a_node_cut_off_is_caught_up(&fleet, version).await;
    watch.end().await;
}

async fn a_node_cut_off_is_caught_up(fleet: &Fleet, mut version: u64) {
    for cut in ["gateway:1", "core:0"] {
        let cut = name(cut);
        fleet.cut_off(cut).await.unwrap();
        version += 1;
        let rest = others(fleet, &[cut]);
        let took = spread(fleet, version, &rest).await;
        assert!(took <= IN_FORCE_BOUND, "version {version} took {took:?} while {cut} was isolated");
        let installed = fleet.installed_bundle(cut).await.unwrap();
        assert!(installed < BundleVersion(version), "{cut} is not isolated");
        let healed = Instant::now();
        fleet.heal().await.unwrap();
        wait_installed(fleet, cut, version).await;
        println!("{cut}: caught up {:?} after its links were unblocked", healed.elapsed());
        fleet.wait_ready(cut, PATIENCE).await.unwrap();
    }
}
