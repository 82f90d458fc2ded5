//! Sends a heartbeat to a core each second, and at once after a change.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::control::{Heartbeat, HeartbeatReply};
use hooklug_types::NodeRole;
use rand::seq::SliceRandom;
use tokio::sync::watch;

use super::{RecordSource, Shared};
use crate::handle::NodeReport;

/// Time between heartbeats (design document, section 4: 1 s).
const INTERVAL: Duration = Duration::from_secs(1);

/// Time between heartbeats while a service is in the last steps of a rollout, which end soon after the
/// gateways have seen harm.
const ROLLOUT_INTERVAL: Duration = Duration::from_millis(200);

/// Minimum time between two heartbeats, however often the report changes.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

pub(super) async fn run(shared: Arc<Shared>, mut report: watch::Receiver<NodeReport>) {
    loop {
        let current = report.borrow_and_update().clone();
        send_heartbeat(&shared, current).await;
        tokio::time::sleep(MIN_INTERVAL).await;
        tokio::select! {
            () = tokio::time::sleep(interval(&shared) - MIN_INTERVAL) => {}
            () = shared.heartbeat_due.notified() => {}
            Ok(()) = report.changed() => {}
        }
    }
}

fn interval(shared: &Shared) -> Duration {
    let view = shared.view.borrow();
    let is_urgent = view.meta.rollouts.values().any(|rollout| rollout.phase.is_heavy());
    if is_urgent { ROLLOUT_INTERVAL } else { INTERVAL }
}

async fn send_heartbeat(shared: &Shared, report: NodeReport) {
    let mut heartbeat = Heartbeat {
        from: shared.identity.address.clone(),
        bundle: shared.identity.bundles.installed(),
        engine: report.engine,
        load: report.load,
        statistics: shared.statistics.take(),
        slot_usage: report.slot_usage,
    };
    for core in cores_in_order(shared) {
        match shared.client.call(core, &heartbeat, shared.deadline()).await {
            Ok(reply) => {
                handle_reply(shared, core, &reply);
                return;
            }
            // This core may have counted the statistics; sending them to another could count them
            // twice.
            Err(error) if !error.is_not_sent() => heartbeat.statistics.clear(),
            Err(_) => {}
        }
    }
    shared.statistics.restore(&heartbeat.statistics);
}

fn handle_reply(shared: &Shared, core: SocketAddr, reply: &HeartbeatReply) {
    shared.reachability.record_core_reply();
    shared.set_leader(Some(reply.leader.unwrap_or(core)));
    if let Some(record) = &reply.bundle {
        shared.learn_record(record, RecordSource::Heartbeat);
    }
}

/// Returns the cores to try: the leader first, the others in random order.
pub(super) fn cores_in_order(shared: &Shared) -> Vec<SocketAddr> {
    let leader = *shared.leader.borrow();
    let mut cores = shared.peers().addresses(NodeRole::Core);
    cores.retain(|core| Some(*core) != leader);
    cores.shuffle(&mut rand::rng());
    leader.into_iter().chain(cores).collect()
}
