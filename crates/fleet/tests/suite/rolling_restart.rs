//! All nodes are restarted one after another while sessions and calls continue.
//!
//! Detects a node that is ready before it can serve, a handover between turns that loses the
//! session, a node that returns with an older bundle, a response or event that is lost with the
//! process that held it, "no such turn" after a session has moved, and a call that runs again.

use std::time::Instant;

use crate::support::bundles::{submit_accepted, submit_version};
use crate::support::load::Load;
use crate::support::{
    WAIT_TIMEOUT, control_topology, name, read_current, running_nodes, start, wait_installed,
};
use hooklug_emulator::LedgerEntry;
use hooklug_fleet::{Fleet, ProcessKind};
use hooklug_types::{BundleVersion, ServiceVersion};

#[tokio::test(flavor = "multi_thread")]
async fn load_survives_a_rolling_restart() {
    use ProcessKind::{Core, Engine, Gateway, Store};
    let fleet = start(control_topology(3)).await;
    let load = Load::start(&fleet, 6).await;
    for kind in [Store, Core, Gateway, Engine] {
        fleet.rolling_restart(&[kind]).await.unwrap();
        load.wait_rounds(&fleet, 2).await;
        println!("after {kind:?}: turns ended {:?}", load.turn_ends());
    }
    load.stop_and_read_back(&fleet).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bundles_are_accepted_while_each_process_is_killed_and_restarted() {
    let mut small = control_topology(3);
    (small.cores, small.models[0].engines) = (2, 1);
    let fleet = start(small).await;
    let mut version = 1;
    for node in running_nodes(&fleet) {
        let at = if node == name("gateway:0") { name("gateway:1") } else { name("gateway:0") };
        fleet.kill(node).unwrap();
        submit_version(&fleet, at, version + 1).await;
        fleet.restart(node).await.unwrap();
        version += 2;
        submit_version(&fleet, at, version).await;
        fleet.wait_ready(node, WAIT_TIMEOUT).await.unwrap();
        wait_installed(&fleet, node, version).await;
        assert_eq!(fleet.installed_bundle(node).await.unwrap(), BundleVersion(version));
    }
}

/// Number of calls run by engines of a version.
fn calls_run(fleet: &Fleet, version: &ServiceVersion) -> usize {
    let lines = fleet.ledgers(ProcessKind::App).unwrap();
    let is_run = |entry: &LedgerEntry| matches!(entry, LedgerEntry::CallRan { .. });
    lines.iter().filter(|line| line.version == version.as_str() && is_run(&line.entry)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_completes_during_a_rolling_restart() {
    use ProcessKind::{Core, Engine, Gateway, Store};
    let fleet = start(control_topology(3)).await;
    let load = Load::start(&fleet, 6).await;
    let mut released = fleet.topology().clone();
    let mut newer = released.applications[0].clone();
    newer.version = ServiceVersion::new("v2").unwrap();
    released.applications.push(newer.clone());
    fleet.add_application(&newer).await.unwrap();
    let mut bundle = released.bundle(BundleVersion(2), BundleVersion(1)).unwrap();
    // Short steps, so that the complete rollout takes place during the restarts.
    for service in bundle.services.values_mut() {
        (service.steps, service.step_seconds) = (vec![10, 50, 100], 2);
    }
    submit_accepted(&fleet, name("gateway:0"), &bundle).await;
    let released = Instant::now();
    let old = ServiceVersion::new("v1").unwrap();
    for kind in [Core, Gateway, Store, Engine] {
        fleet.rolling_restart(&[kind]).await.unwrap();
        let calls = (calls_run(&fleet, &old), calls_run(&fleet, &newer.version));
        println!(
            "{kind:?}s restarted, {:.1?} after the release: {calls:?} calls ran at v1 and v2",
            released.elapsed()
        );
        load.wait_rounds(&fleet, 2).await;
    }
    // The rollout must complete: after its last step no call runs at the old version.
    let check = || async {
        let before = (calls_run(&fleet, &old), calls_run(&fleet, &newer.version));
        load.wait_rounds(&fleet, 4).await;
        let after = (calls_run(&fleet, &old), calls_run(&fleet, &newer.version));
        let done = after.0 == before.0 && after.1 > before.1;
        if done { Ok(()) } else { Err(format!("calls by version {before:?}, then {after:?}")) }
    };
    fleet.wait_until("all calls run at the new version", WAIT_TIMEOUT, check).await.unwrap();
    let current = read_current(&fleet, name("gateway:0")).await.record;
    assert_eq!(
        (current.version, current.rollback),
        (BundleVersion(2), None),
        "rolled back without a regression"
    );
    load.stop_and_read_back(&fleet).await;
}
