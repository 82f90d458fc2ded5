//! Runs the demo with real processes, without a fault and with one process killed in the middle.

use crate::support::share_of_the_machine;
use hooklug_fleet::demo::run;
use hooklug_fleet::{FleetError, Topology};

async fn demo(kill: Option<&str>) {
    let _share = share_of_the_machine().await;
    let kill = kill.map(|target| target.parse().unwrap());
    let ended = run(Topology::small(), kill, &|line| println!("{line}")).await;
    if let Err(error) = ended {
        panic!("{error}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_ordinary_path() {
    demo(None).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_store_is_killed() {
    demo(Some("store:1")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_owner_is_killed() {
    demo(Some("engine:owner")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_is_killed() {
    demo(Some("gateway:0")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn the_core_leader_is_killed() {
    demo(Some("core:leader")).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_that_is_not_there_fails_the_demo() {
    let _share = share_of_the_machine().await;
    let kill = Some("store:99".parse().unwrap());
    let ended = run(Topology::small(), kill, &|_| {}).await;
    let missing = "store:99".parse().unwrap();
    assert!(
        matches!(ended, Err(hooklug_fleet::demo::DemoError::Fleet(FleetError::UnknownProcess(name))) if name == missing)
    );
}
