//! Records the metrics of the node agent and the cores.

use std::time::Duration;

use hooklug_protocol::control::{ClusterView, MemberHealth};
use metrics::{counter, gauge, histogram};

use hooklug_rpc::TrafficCounts;

use crate::handle::Reachability;

fn gauge_value(on: bool) -> f64 {
    if on { 1.0 } else { 0.0 }
}

/// Sets whether the node is ready and which parts of the cluster it reaches.
pub(crate) fn set_node_state(ready: bool, reach: Reachability) {
    gauge!("hooklug_ready").set(gauge_value(ready));
    gauge!("hooklug_core_within_reach").set(gauge_value(reach.core));
    gauge!("hooklug_store_within_reach").set(gauge_value(reach.store));
}

/// Sets the RPC traffic of the process since its start.
pub(crate) fn set_rpc_traffic(counts: TrafficCounts) {
    counter!("hooklug_rpc_bytes_total", "direction" => "sent").absolute(counts.sent_bytes);
    counter!("hooklug_rpc_bytes_total", "direction" => "received").absolute(counts.received_bytes);
    counter!("hooklug_rpc_frames_total", "direction" => "sent").absolute(counts.sent_frames);
    counter!("hooklug_rpc_frames_total", "direction" => "received")
        .absolute(counts.received_frames);
}

/// Sets the version of the installed bundle.
pub(crate) fn set_bundle_version(version: u64) {
    gauge!("hooklug_bundle_version").set(version as f64);
}

/// Counts a failed fetch of a known bundle.
pub(crate) fn count_bundle_fetch_failure() {
    counter!("hooklug_bundle_fetch_failures_total").increment(1);
}

/// Sets whether this core is the leader.
pub(crate) fn set_core_leads(leads: bool) {
    gauge!("hooklug_core_leads").set(gauge_value(leads));
}

/// Sets the member and engine counts of the view that the core leader publishes.
pub(crate) fn set_view(view: &ClusterView) {
    let count = |health: MemberHealth| view.members.values().filter(|m| m.health == health).count();
    gauge!("hooklug_members", "health" => "alive").set(count(MemberHealth::Alive) as f64);
    gauge!("hooklug_members", "health" => "suspect").set(count(MemberHealth::Suspect) as f64);
    gauge!("hooklug_members", "health" => "dead").set(count(MemberHealth::Dead) as f64);
    let healthy = view.engines.values().filter(|e| e.healthy).count();
    gauge!("hooklug_application_engines", "state" => "healthy").set(healthy as f64);
    let unhealthy = view.engines.len() - healthy;
    gauge!("hooklug_application_engines", "state" => "unhealthy").set(unhealthy as f64);
}

/// Counts a failed read of the platform's list.
pub(crate) fn count_platform_list_failure() {
    counter!("hooklug_platform_list_failures_total").increment(1);
}

/// Counts a rollback of a version.
pub(crate) fn count_rollback() {
    counter!("hooklug_rollbacks_total").increment(1);
}

/// Sets the number of groups that lack replicas and of groups that commit nothing.
pub(crate) fn set_group_health(degraded: usize, stalled: usize) {
    gauge!("hooklug_groups_degraded").set(degraded as f64);
    gauge!("hooklug_groups_stalled").set(stalled as f64);
}

/// Records how long a group lacked replicas until it was repaired.
pub(crate) fn record_group_repair(degraded_for: Duration) {
    histogram!("hooklug_group_repair_seconds").record(degraded_for.as_secs_f64());
}

/// Counts a requested replica change by whether it was confirmed.
pub(crate) fn count_replica_change(confirmed: bool) {
    let outcome = if confirmed { "confirmed" } else { "unconfirmed" };
    counter!("hooklug_replica_changes_total", "outcome" => outcome).increment(1);
}
