//! Acknowledged bundles through races, resends, restarts and losses of real processes.

mod common;

use std::collections::BTreeSet;

use common::{Fleet, ask, bundle, eventually};
use http::{Method, StatusCode};
use serde_json::Value;

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn of_two_racing_bundles_one_wins_and_its_resend_at_another_node_gets_the_same_answer() {
    let fleet = Fleet::started(61, 3, 1, 2);
    let gateways = fleet.of("gateway");
    fleet.wait_for_members(gateways[0], 6).await;
    assert_eq!(fleet.submit(gateways[0], &bundle(1, 10)).await.0, StatusCode::OK);
    for version in 2..=6 {
        let (ours, theirs) = (bundle(version, 20), bundle(version, 30));
        let (first, second) =
            tokio::join!(fleet.submit(gateways[0], &ours), fleet.submit(gateways[1], &theirs));
        let statuses = BTreeSet::from([first.0, second.0]);
        assert_eq!(statuses, BTreeSet::from([StatusCode::OK, StatusCode::CONFLICT]));
        let (winner, answer) =
            if first.0 == StatusCode::OK { (&ours, &first.1) } else { (&theirs, &second.1) };
        for index in 0..fleet.processes.len() {
            let (status, resent) = fleet.submit(index, winner).await;
            assert_eq!(status, StatusCode::OK, "{resent}");
            assert_eq!(resent["bundle"], answer["bundle"], "at process {index}");
        }
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_newest_acknowledged_bundle_is_read_back_after_a_restart_of_all() {
    let mut fleet = Fleet::started(62, 3, 1, 1);
    let gateway = fleet.of("gateway")[0];
    fleet.wait_for_members(gateway, 5).await;
    const CHANGES: u64 = 200;
    for version in 1..=CHANGES {
        let (status, body) = fleet.submit(gateway, &bundle(version, 10 + version)).await;
        assert_eq!(status, StatusCode::OK, "{body}");
    }
    fleet.processes.iter_mut().for_each(common::Process::kill);
    fleet.processes.iter_mut().for_each(common::Process::start);
    eventually("the newest is read back", async || fleet.current_version(gateway).await.is_some())
        .await;
    assert_eq!(fleet.current_version(gateway).await, Some(CHANGES));
    for index in 0..fleet.processes.len() {
        eventually("each node has it in force", async || {
            fleet.installed_version(index).await == Some(CHANGES)
        })
        .await;
    }
}

/// Whether each group has three voters, all caught up, and the given store is no member any more.
fn is_repaired(shards: &std::collections::BTreeMap<String, Value>, without: u64) -> bool {
    let whole = |shard: &Value| {
        let replicas = shard["replicas"].as_array().cloned().unwrap_or_default();
        let voters: Vec<&Value> = replicas.iter().filter(|r| r["member"] == "voter").collect();
        let wanted = shard["placement"]["voters"].as_array().cloned().unwrap_or_default();
        shard["leader"].is_u64()
            && voters.len() == 3
            && voters.iter().all(|v| v["lag"] == 0)
            && replicas.iter().all(|r| r["store"].as_u64() != Some(without))
            && wanted.iter().all(|v| v.as_u64() != Some(without))
    };
    shards.len() == 17 && shards.values().all(whole)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_loss_right_after_a_repair_loses_no_acknowledged_bundle() {
    let mut fleet = Fleet::started(63, 4, 2, 1);
    let gateway = fleet.of("gateway")[0];
    fleet.wait_for_members(gateway, 7).await;
    for version in 1..=20 {
        assert_eq!(fleet.submit(gateway, &bundle(version, 10)).await.0, StatusCode::OK);
    }
    let lost = fleet.node_id(gateway, 0).await.expect("in the view");
    fleet.processes[0].kill();
    eventually("the lost store is replaced", async || {
        is_repaired(&fleet.shards(gateway).await, lost)
    })
    .await;
    assert_eq!(fleet.submit(gateway, &bundle(21, 10)).await.0, StatusCode::OK);
    fleet.processes[1].kill();
    eventually("a quorum answers", async || fleet.current_version(gateway).await.is_some()).await;
    assert_eq!(fleet.current_version(gateway).await, Some(21));
    assert_eq!(fleet.submit(gateway, &bundle(22, 10)).await.0, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bundles_are_accepted_while_machines_are_restarted_in_turn() {
    let mut fleet = Fleet::started(64, 3, 2, 2);
    let gateways = fleet.of("gateway");
    fleet.wait_for_members(gateways[0], 7).await;
    let mut version = 0;
    for index in 0..fleet.processes.len() {
        let other = if index == gateways[0] { gateways[1] } else { gateways[0] };
        fleet.processes[index].kill();
        version += 1;
        assert_eq!(fleet.submit(other, &bundle(version, 10)).await.0, StatusCode::OK);
        fleet.processes[index].start();
        version += 1;
        assert_eq!(fleet.submit(other, &bundle(version, 10)).await.0, StatusCode::OK);
        eventually("the restarted node is ready with the newest", async || {
            let ready = ask(fleet.http(index), Method::GET, "/readyz", "").await;
            ready.is_some_and(|(status, _)| status == StatusCode::OK)
                && fleet.installed_version(index).await == Some(version)
        })
        .await;
    }
}
