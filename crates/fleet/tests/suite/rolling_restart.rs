//! All machines are restarted in turn while sessions and calls go on.
//!
//! Catches: a machine that is ready before it can serve; a handover between turns that loses the session;
//! a node that comes back with an older bundle; an answer or event lost with the process that held it; "no such turn" after a move; a call run anew.

use crate::support::load::Load;
use crate::support::{PATIENCE, control_topology, name, running_nodes, start, wait_installed};
use hooklug_fleet::{Fleet, ProcessKind, ProcessName, Verdict};
use hooklug_types::BundleVersion;

#[tokio::test(flavor = "multi_thread")]
async fn all_machines_restart_in_turn_under_load() {
    use ProcessKind::{Core, Engine, Gateway, Store};
    let fleet = start(control_topology(3)).await;
    let load = Load::start(&fleet, 6).await;
    for kind in [Store, Core, Gateway, Engine] {
        fleet.rolling_restart(&[kind]).await.unwrap();
        load.wait_rounds(&fleet, 2).await;
        println!("after {kind:?}: turns ended {:?}", load.ends());
    }
    load.stop_and_read_back(&fleet).await;
}

async fn accept(fleet: &Fleet, at: ProcessName, version: u64) {
    let bundle = fleet.marked_bundle(version, 10).unwrap();
    let verdict = fleet.submit_until_decided(at, &bundle, PATIENCE).await.unwrap();
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn bundles_are_accepted_while_each_machine_is_killed_and_comes_back() {
    let mut small = control_topology(3);
    (small.cores, small.models[0].engines) = (2, 1);
    let fleet = start(small).await;
    let mut version = 1;
    for node in running_nodes(&fleet) {
        let at = if node == name("gateway:0") { name("gateway:1") } else { name("gateway:0") };
        fleet.kill(node).unwrap();
        accept(&fleet, at, version + 1).await;
        fleet.restart(node).await.unwrap();
        version += 2;
        accept(&fleet, at, version).await;
        fleet.wait_ready(node, PATIENCE).await.unwrap();
        wait_installed(&fleet, node, version).await;
        assert_eq!(fleet.installed_bundle(node).await.unwrap(), BundleVersion(version));
    }
}
