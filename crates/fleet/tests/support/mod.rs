//! What the failure tests share: fleets, a load that remembers what was acknowledged, and its read-back.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod load;
pub mod repair;

use std::time::Duration;

use futures::future::try_join_all;
use hooklug_fleet::caller::CallerError;
use hooklug_fleet::{Caller, Fleet, FleetError, ProcessKind, ProcessName, Topology};
use hooklug_types::{BundleVersion, UnixMillis, shard_of};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Longest wait for a condition; generous, since it bounds no promise.
pub const PATIENCE: Duration = Duration::from_secs(60);
/// Bound on the way back after machines return (brief: about 12 s).
pub const RETURN_BOUND: Duration = Duration::from_secs(12);
/// Bound on an acknowledged bundle's way into force (brief: about 2 s).
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(2);
/// The tenant of all requests.
pub const TENANT: &str = "serra-verde";
/// The model that sessions ask for.
pub const MODEL: &str = "advisor-7b";

/// Fleets of a file that run at once, so that a small machine keeps up.
static FLEETS: Semaphore = Semaphore::const_new(1);

pub async fn turn_to_run() -> SemaphorePermit<'static> {
    FLEETS.acquire().await.unwrap()
}

pub fn name(text: &str) -> ProcessName {
    text.parse().unwrap()
}

/// A small fleet: one engine group of two engines, one application service of two, three cores.
pub fn topology(stores: usize) -> Topology {
    let mut topology = Topology::small();
    topology.stores = stores;
    topology.gateways = 2;
    topology.models.truncate(1);
    topology.models[0].engines = 2;
    topology.applications.remove(0);
    topology
}

/// All nodes that run.
pub fn running_nodes(fleet: &Fleet) -> Vec<ProcessName> {
    let nodes = fleet.all_names().into_iter().filter(|name| name.kind.is_node());
    nodes.filter(|name| fleet.is_running(*name).unwrap()).collect()
}

pub fn pid(fleet: &Fleet, name: ProcessName) -> Option<u32> {
    fleet.status().into_iter().find(|status| status.name == name)?.pid
}

/// Waits until a node has at least this version in force.
pub async fn wait_installed(fleet: &Fleet, name: ProcessName, version: u64) {
    let what = format!("{name} has version {version} in force");
    let look = || async move {
        match fleet.installed_bundle(name).await {
            Ok(installed) if installed >= BundleVersion(version) => Ok(()),
            other => Err(format!("{other:?}")),
        }
    };
    fleet.wait_until(&what, PATIENCE, look).await.unwrap();
}

/// The newest bundle, once a quorum answers.
pub async fn read_current(fleet: &Fleet, at: ProcessName) -> hooklug_fleet::ReadBundle {
    let look =
        || async move { fleet.current_bundle(at).await.map(drop).map_err(|e| e.to_string()) };
    fleet.wait_until("the newest bundle is read", PATIENCE, look).await.unwrap();
    fleet.current_bundle(at).await.unwrap()
}

/// Starts processes again, all at the same moment.
pub async fn restart_all(fleet: &Fleet, names: &[ProcessName]) -> Result<(), FleetError> {
    try_join_all(names.iter().map(|name| fleet.restart(*name))).await.map(drop)
}

/// One new program in each shard; unique by `word`.
fn programs_of_all_shards(word: &str) -> Vec<String> {
    let mut found = std::collections::BTreeMap::new();
    for number in 0.. {
        let program = format!("{word}-{number}");
        found.entry(shard_of(&program)).or_insert(program);
        if found.len() as u64 == u64::from(hooklug_types::SHARD_COUNT) {
            break;
        }
    }
    found.into_values().collect()
}

/// Writes to every shard and reads the newest bundle: returns once all have answered.
pub async fn whole_state_answers(fleet: &Fleet, word: &str) -> Result<(), CallerError> {
    let caller = Caller::new(fleet.gateways(), TENANT);
    let end = UnixMillis::now().plus(Duration::from_secs(600));
    let programs = programs_of_all_shards(word);
    let puts = programs.iter().map(|program| caller.put_program(0, program, 10, end.0));
    try_join_all(puts).await?;
    let gateway = fleet.names(ProcessKind::Gateway)[0];
    read_current(fleet, gateway).await;
    Ok(())
}
