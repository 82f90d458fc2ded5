//! Reports the engine's state, load and readiness to the node agent.

use std::sync::Arc;
use std::time::Duration;

use hooklug_control::NodeReport;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Interval at which the state is checked; a change of readiness or draining is reported at the
/// next check.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between reports of which only the load changed. Gateways receive the current load
/// with each reply; these reports are for the cluster view.
const LOAD_INTERVAL: Duration = Duration::from_secs(1);

/// Name of the engine's component in the readiness report.
const COMPONENT: &str = "engine";

/// Runs the reporter until stopped.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let mut load_reported = Instant::now();
    loop {
        let report = NodeReport {
            engine: Some(shared.session_host_info()),
            load: Some(shared.load()),
            slot_usage: shared.slots.usage(),
        };
        let load_is_due = load_reported.elapsed() >= LOAD_INTERVAL;
        let reported = shared.node.report.send_if_modified(|known| {
            let changed = known.engine != report.engine || (load_is_due && *known != report);
            if changed {
                known.clone_from(&report);
            }
            changed
        });
        if reported {
            load_reported = Instant::now();
        }
        report_readiness(&shared);
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(CHECK_INTERVAL) => {}
        }
    }
}

fn report_readiness(shared: &Shared) {
    let stopping = shared.stopping.load(std::sync::atomic::Ordering::Acquire);
    let reason = if stopping { Some("stopping") } else { shared.unready_reason() };
    match reason {
        Some(reason) => shared.node.readiness.set_not_ready(COMPONENT, reason),
        None => shared.node.readiness.set_ready(COMPONENT),
    }
}
