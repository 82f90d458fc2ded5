//! Runs the demo with real processes, without a fault and with one process killed in the middle.

use crate::support::acquire_fleet_permit;
use hooklug_fleet::demo::run;
use hooklug_fleet::{FleetError, Topology};

async fn demo(kill: Option<&str>) {
    let _permit = acquire_fleet_permit().await;
    let kill = kill.map(|target| target.parse().unwrap());
    let result = run(Topology::small(), kill, &|line| println!("{line}")).await;
    if let Err(error) = result {
        panic!("{error}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_succeeds_without_faults() {
    demo(None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_succeeds_with_a_killed_store() {
    demo(Some("store:1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_succeeds_with_a_killed_owner() {
    demo(Some("engine:owner")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_succeeds_with_a_killed_gateway() {
    demo(Some("gateway:0")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_succeeds_with_a_killed_core_leader() {
    demo(Some("core:leader")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_demo_fails_for_an_unknown_process() {
    let _permit = acquire_fleet_permit().await;
    let kill = Some("store:99".parse().unwrap());
    let result = run(Topology::small(), kill, &|_| {}).await;
    let missing = "store:99".parse().unwrap();
    assert!(
        matches!(result, Err(hooklug_fleet::demo::DemoError::Fleet(FleetError::UnknownProcess(name))) if name == missing)
    );
}
