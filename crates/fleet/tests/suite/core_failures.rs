//! Cores fail, are isolated and are partitioned: traffic continues, only one leader's writes take
//! effect, and all nodes show the right members afterwards.
//!
//! Detects a data plane that waits for a core, writes of a former leader that are accepted after
//! its isolation, and nodes that stay listed as failed or twice in the view of the next leader.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::support::bundles::submit_version;
use crate::support::load::Load;
use crate::support::{
    WAIT_TIMEOUT, control_topology, name, read_current, restart_all, running_nodes, start,
    wait_installed,
};
use hooklug_fleet::http::{HttpClient, HttpRequest};
use hooklug_fleet::{Fleet, ProcessKind, ProcessName};
use http::Method;
use serde::Deserialize;

/// Time for which the leader is isolated (requirement: at least 20 s).
const ISOLATION_TIME: Duration = Duration::from_secs(21);

#[derive(Debug, Deserialize)]
struct Member {
    http: SocketAddr,
    health: String,
    core_leader: bool,
}

async fn members(fleet: &Fleet, at: ProcessName) -> Result<Vec<Member>, String> {
    let request = HttpRequest::new(Method::GET, "/admin/v1/members");
    let response = HttpClient::default().send(fleet.http_address(at).unwrap(), &request).await;
    response.and_then(|response| response.json()).map_err(|e| e.to_string())
}

/// Checks that each node shows each running node exactly once as alive, and that all show the same
/// leader.
async fn check_members(fleet: &Fleet) -> Result<(), String> {
    let nodes = running_nodes(fleet);
    let mut leaders = BTreeMap::new();
    for observer in &nodes {
        let members_seen = members(fleet, *observer).await?;
        for node in &nodes {
            let http = fleet.http_address(*node).unwrap();
            let alive =
                members_seen.iter().filter(|m| m.http == http && m.health == "Alive").count();
            if alive != 1 {
                return Err(format!(
                    "{observer} sees {node} alive {alive} times: {members_seen:?}"
                ));
            }
        }
        for leader in members_seen.iter().filter(|m| m.core_leader) {
            *leaders.entry(leader.http).or_insert(0) += 1;
        }
    }
    let consistent = leaders.len() == 1 && leaders.values().all(|count| *count == nodes.len());
    if consistent { Ok(()) } else { Err(format!("number of observers by leader: {leaders:?}")) }
}

async fn wait_members_consistent(fleet: &Fleet) {
    let check = || check_members(fleet);
    fleet
        .wait_until("all nodes show the right members and leader", WAIT_TIMEOUT, check)
        .await
        .unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn turns_finish_despite_loss_of_all_cores_and_a_partitioned_leader() {
    let fleet = start(control_topology(3)).await;
    let load = Load::start(&fleet, 6).await;
    let cores = fleet.names(ProcessKind::Core);
    cores.iter().for_each(|core| fleet.kill(*core).unwrap());
    // Sessions, calls and bundles continue without any core.
    load.wait_rounds(&fleet, 5).await;
    submit_version(&fleet, name("gateway:0"), 2).await;
    for gateway in fleet.names(ProcessKind::Gateway) {
        wait_installed(&fleet, gateway, 2).await;
    }
    restart_all(&fleet, &cores).await.unwrap();
    wait_members_consistent(&fleet).await;
    load.wait_rounds(&fleet, 2).await;

    let former = fleet.core_leader().await.unwrap();
    let until = Instant::now() + ISOLATION_TIME;
    fleet.isolate(former).await.unwrap();
    submit_version(&fleet, name("gateway:0"), 3).await;
    let check = || async {
        let members_seen = members(&fleet, name("gateway:0")).await?;
        let at = fleet.http_address(former).unwrap();
        let has_new_leader = members_seen.iter().any(|m| m.core_leader && m.http != at);
        if has_new_leader { Ok(()) } else { Err(format!("{members_seen:?}")) }
    };
    fleet.wait_until("another core leads", WAIT_TIMEOUT, check).await.unwrap();
    while Instant::now() < until {
        load.wait_rounds(&fleet, 1).await;
    }
    fleet.heal().await.unwrap();
    wait_installed(&fleet, former, 3).await;
    wait_members_consistent(&fleet).await;
    submit_version(&fleet, name("gateway:0"), 4).await;
    // The former leader committed nothing: the newest bundle is that of the operators, not a
    // rollback.
    let current = read_current(&fleet, name("gateway:0")).await;
    assert_eq!((current.record.version.0, current.record.rollback), (4, None));
    println!("turns ended {:?}", load.turn_ends());
    assert_eq!(load.turn_ends().keys().collect::<Vec<_>>(), ["finished"], "turns ended early");
    load.stop_and_read_back(&fleet).await;
}
