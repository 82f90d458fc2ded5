//! Tells the cluster and the platform how the engine is.

use std::sync::Arc;
use std::time::Duration;

use hooklug_control::NodeReport;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// Time between looks (ours); a change of readiness or draining is told at the next one.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Time after which a changed load alone is told (ours): loads travel on replies, this is for the view.
const LOAD_EVERY: Duration = Duration::from_secs(1);

/// Name of the engine among the components of readiness.
const COMPONENT: &str = "engine";

/// Reports until stopped.
pub async fn run(shared: Arc<Shared>, stop: CancellationToken) {
    let mut load_told = Instant::now();
    loop {
        let report = NodeReport {
            engine: Some(shared.hosted_engine()),
            load: Some(shared.load()),
            slot_uses: shared.slots.uses(),
        };
        let load_is_due = load_told.elapsed() >= LOAD_EVERY;
        let told = shared.node.report.send_if_modified(|known| {
            let changed = known.engine != report.engine || (load_is_due && *known != report);
            if changed {
                known.clone_from(&report);
            }
            changed
        });
        if told {
            load_told = Instant::now();
        }
        report_readiness(&shared);
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(LOOK_EVERY) => {}
        }
    }
}

fn report_readiness(shared: &Shared) {
    let stopping = shared.stopping.load(std::sync::atomic::Ordering::Acquire);
    let reason = if stopping { Some("stopping") } else { shared.unready_reason() };
    match reason {
        Some(reason) => shared.node.readiness.unready(COMPONENT, reason),
        None => shared.node.readiness.ready(COMPONENT),
    }
}
