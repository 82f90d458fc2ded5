//! Reads the state of a fleet through its nodes.

use std::time::Duration;

use futures::future::try_join_all;
use hooklug_fleet::caller::CallerError;
use hooklug_fleet::http::{HttpClient, HttpRequest};
use hooklug_fleet::{Caller, Fleet, ProcessKind, ProcessName};
use hooklug_types::{BundleVersion, UnixMillis, shard_of};
use serde_json::Value;

use super::{TENANT, WAIT_TIMEOUT};

/// Waits until a node has installed at least this version.
pub async fn wait_installed(fleet: &Fleet, name: ProcessName, version: u64) {
    let what = format!("{name} has installed version {version}");
    let check = || async move {
        match fleet.installed_bundle(name).await {
            Ok(installed) if installed >= BundleVersion(version) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    };
    fleet.wait_until(&what, WAIT_TIMEOUT, check).await.unwrap();
}

/// Reads the newest bundle, waiting until a quorum is reachable.
pub async fn read_current(fleet: &Fleet, at: ProcessName) -> hooklug_fleet::BundleWithRecord {
    let check =
        || async move { fleet.current_bundle(at).await.map(drop).map_err(|e| e.to_string()) };
    fleet.wait_until("the newest bundle is read", WAIT_TIMEOUT, check).await.unwrap();
    fleet.current_bundle(at).await.unwrap()
}

async fn get_admin(fleet: &Fleet, path: &str) -> Result<Value, String> {
    let request = HttpRequest::new(http::Method::GET, path);
    let response = HttpClient::default().send(fleet.gateway(0), &request).await;
    response.and_then(|response| response.json()).map_err(|error| error.to_string())
}

/// Returns the store that leads the shard of a program.
pub async fn shard_leader(fleet: &Fleet, program: &str) -> ProcessName {
    let group = shard_of(program).to_string();
    let found = std::sync::Mutex::new(None);
    let check = || async {
        let shards = get_admin(fleet, "/admin/v1/shards").await?;
        let members = get_admin(fleet, "/admin/v1/members").await?;
        let shard = array(&shards).iter().find(|shard| shard["group"] == group.as_str());
        let leader = shard.map(|shard| shard["leader"].clone()).unwrap_or_default();
        let member = array(&members).iter().find(|member| member["node"] == leader);
        let http = member.and_then(|member| member["http"].as_str());
        let mut stores = fleet.names(ProcessKind::Store).into_iter();
        let store =
            stores.find(|s| Some(fleet.http_address(*s).unwrap().to_string().as_str()) == http);
        *found.lock().unwrap() = store;
        store.map(drop).ok_or_else(|| format!("no leader of group {group} in {shards}, {members}"))
    };
    fleet.wait_until("a shard has a leader", WAIT_TIMEOUT, check).await.unwrap();
    found.into_inner().unwrap().unwrap()
}

fn array(value: &Value) -> &[Value] {
    value.as_array().map_or(&[], Vec::as_slice)
}

/// Returns program names that cover all shards, with a common prefix.
fn programs_of_all_shards(prefix: &str) -> Vec<String> {
    let mut found = std::collections::BTreeMap::new();
    for number in 0.. {
        let program = format!("{prefix}-{number}");
        found.entry(shard_of(&program)).or_insert(program);
        if found.len() as u64 == u64::from(hooklug_types::SHARD_COUNT) {
            break;
        }
    }
    found.into_values().collect()
}

/// Writes to every shard and reads the newest bundle; returns once all requests have succeeded.
pub async fn write_all_shards(fleet: &Fleet, prefix: &str) -> Result<(), CallerError> {
    let caller = Caller::new(fleet.gateways(), TENANT);
    let end = UnixMillis::now().plus(Duration::from_secs(600));
    let programs = programs_of_all_shards(prefix);
    let puts = programs.iter().map(|program| caller.put_program(0, program, 10, end.0));
    try_join_all(puts).await?;
    let gateway = fleet.names(ProcessKind::Gateway)[0];
    read_current(fleet, gateway).await;
    Ok(())
}
