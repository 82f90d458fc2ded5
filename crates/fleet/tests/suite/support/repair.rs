//! Waits until the replicas of a lost store have been replaced in all groups.

use std::collections::BTreeMap;

use hooklug_fleet::http::{HttpClient, HttpRequest};
use hooklug_fleet::{Fleet, ProcessName};
use http::Method;
use serde_json::Value;

use super::{WAIT_TIMEOUT, name};

/// Number of groups: `meta` and 16 shards.
const GROUPS: usize = 17;

async fn shards(fleet: &Fleet) -> BTreeMap<String, Value> {
    let gateway = fleet.http_address(name("gateway:0")).unwrap();
    let request = HttpRequest::new(Method::GET, "/admin/v1/shards");
    let response = HttpClient::default().send(gateway, &request).await;
    let Ok(Ok(Value::Array(shards))) = response.map(|response| response.json()) else {
        return BTreeMap::new();
    };
    shards
        .into_iter()
        .map(|shard| (shard["group"].as_str().unwrap_or_default().to_owned(), shard))
        .collect()
}

/// Node id of a store in the view of the first gateway.
pub async fn node_id(fleet: &Fleet, store: ProcessName) -> Option<u64> {
    let gateway = fleet.http_address(name("gateway:0")).unwrap();
    let request = HttpRequest::new(Method::GET, "/admin/v1/members");
    let response = HttpClient::default().send(gateway, &request).await.ok()?;
    let members: Vec<Value> = response.json().ok()?;
    let http = fleet.http_address(store).unwrap().to_string();
    members.iter().filter(|m| m["http"] == http.as_str()).find_map(|m| m["node"].as_u64())
}

/// Whether each group has a leader and three voters without lag, and the lost node is neither a
/// member nor in the placement.
fn is_repaired(shards: &BTreeMap<String, Value>, lost: u64) -> bool {
    let is_fully_replicated = |shard: &Value| {
        let replicas = shard["replicas"].as_array().cloned().unwrap_or_default();
        let voters: Vec<&Value> = replicas.iter().filter(|r| r["member"] == "voter").collect();
        let desired = shard["placement"]["voters"].as_array().cloned().unwrap_or_default();
        shard["leader"].is_u64()
            && voters.len() == 3
            && voters.iter().all(|v| v["lag"] == 0)
            && replicas.iter().all(|r| r["store"].as_u64() != Some(lost))
            && desired.iter().all(|v| v.as_u64() != Some(lost))
    };
    shards.len() == GROUPS && shards.values().all(is_fully_replicated)
}

/// Waits until all groups are fully replicated without the lost node.
pub async fn wait_repaired(fleet: &Fleet, lost: u64) {
    let check = || async {
        let current = shards(fleet).await;
        if is_repaired(&current, lost) { Ok(()) } else { Err(format!("{current:?}")) }
    };
    fleet.wait_until("the lost store is replaced", 2 * WAIT_TIMEOUT, check).await.unwrap();
}

/// Requests the retirement of a store until a core leader accepts it.
pub async fn retire(fleet: &Fleet, node: u64) {
    let gateway = fleet.http_address(name("gateway:0")).unwrap();
    let request = HttpRequest::new(Method::POST, format!("/admin/v1/stores/{node}/retire"));
    let check = || async {
        let response =
            HttpClient::default().send(gateway, &request).await.map_err(|e| e.to_string())?;
        if response.status.is_success() { Ok(()) } else { Err(response.status.to_string()) }
    };
    fleet.wait_until("the retirement is accepted", WAIT_TIMEOUT, check).await.unwrap();
}
