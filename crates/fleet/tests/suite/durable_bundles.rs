//! The bundle that is read back is never older than the newest acknowledged one.
//!
//! Detects an acknowledgement before a quorum has synced, a log or snapshot that is replayed only
//! in part, a repair that counts a replica as voter before it has caught up, and a store with an
//! emptied disk that votes as before.

use crate::support::bundles::submit_accepted;
use crate::support::repair::{node_id, wait_repaired};
use crate::support::{
    WAIT_TIMEOUT, control_topology, name, read_current, restart_all, running_nodes, start,
    wait_installed,
};
use hooklug_bundle::Bundle;
use hooklug_fleet::{Fleet, ProcessKind, ProcessName};
use hooklug_types::BundleVersion;

async fn submit_variant(fleet: &Fleet, at: ProcessName, version: u64, marker: u32) -> Bundle {
    let bundle = fleet.marked_bundle(version, marker).unwrap();
    submit_accepted(fleet, at, &bundle).await;
    bundle
}

async fn assert_newest(fleet: &Fleet, bundle: &Bundle) {
    let read = read_current(fleet, name("gateway:0")).await;
    assert_eq!((read.record.version, &read.bundle), (bundle.version, bundle));
}

#[tokio::test(flavor = "multi_thread")]
async fn hundreds_of_bundles_survive_power_loss_of_all_stores_and_nodes() {
    const CHANGES: u64 = 200;
    let mut small = control_topology(3);
    (small.cores, small.gateways, small.models[0].engines) = (1, 1, 1);
    let fleet = start(small).await;
    let at = name("gateway:0");
    let mut newest = submit_variant(&fleet, at, 2, 10).await;
    for version in 3..=CHANGES {
        newest = submit_variant(&fleet, at, version, 10 + u32::try_from(version).unwrap()).await;
    }
    let stores = fleet.names(ProcessKind::Store);
    stores.iter().for_each(|store| fleet.kill(*store).unwrap());
    restart_all(&fleet, &stores).await.unwrap();
    assert_newest(&fleet, &newest).await;

    newest = submit_variant(&fleet, at, CHANGES + 1, 10).await;
    let nodes = running_nodes(&fleet);
    nodes.iter().for_each(|node| fleet.kill(*node).unwrap());
    restart_all(&fleet, &nodes).await.unwrap();
    assert_newest(&fleet, &newest).await;
    for node in nodes {
        wait_installed(&fleet, node, CHANGES + 1).await;
    }
    submit_variant(&fleet, at, CHANGES + 2, 10).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_bundles_survive_a_second_loss_after_repair() {
    let fleet = start(control_topology(4)).await;
    let at = name("gateway:0");
    for version in 2..=20 {
        submit_variant(&fleet, at, version, 10).await;
    }
    // A store is lost for good, and the fourth one replaces it; the next store is killed right
    // afterwards.
    let lost = node_id(&fleet, name("store:0")).await.expect("the store is in the view");
    fleet.kill(name("store:0")).unwrap();
    wait_repaired(&fleet, lost).await;
    let newest = submit_variant(&fleet, at, 21, 11).await;
    fleet.kill(name("store:1")).unwrap();
    assert_newest(&fleet, &newest).await;
    submit_variant(&fleet, at, 22, 12).await;
    fleet.restart(name("store:1")).await.unwrap();

    // The lost machine is replaced by an empty one at a new address; another one is killed right
    // after the replacement has caught up.
    let lost = node_id(&fleet, name("store:2")).await.expect("the store is in the view");
    fleet.replace(name("store:0")).await.unwrap();
    fleet.wait_ready(name("store:0"), WAIT_TIMEOUT).await.unwrap();
    fleet.kill(name("store:2")).unwrap();
    wait_repaired(&fleet, lost).await;
    let newest = submit_variant(&fleet, at, 23, 13).await;
    fleet.kill(name("store:3")).unwrap();
    assert_newest(&fleet, &newest).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn acknowledged_bundles_survive_an_immediate_disk_loss() {
    let fleet = start(control_topology(3)).await;
    let at = name("gateway:0");
    let mut version = 1;
    for store in fleet.names(ProcessKind::Store) {
        version += 1;
        let lost = node_id(&fleet, store).await.expect("the store is in the view");
        let newest =
            submit_variant(&fleet, at, version, 10 + u32::try_from(version).unwrap()).await;
        fleet.lose_disk(store).await.unwrap();
        assert_newest(&fleet, &newest).await;
        // The store must be fully repaired before the next loss: two lost disks at once are too
        // many.
        wait_repaired(&fleet, lost).await;
    }
    assert_eq!(read_current(&fleet, at).await.record.version, BundleVersion(version));
    let newest = submit_variant(&fleet, at, version + 1, 10).await;
    let stores = fleet.names(ProcessKind::Store);
    stores.iter().for_each(|store| fleet.kill(*store).unwrap());
    restart_all(&fleet, &stores).await.unwrap();
    assert_newest(&fleet, &newest).await;
}
