//! Reports harmful versions that this node detected itself to the core leader.

use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::control::ReportHarm;
use hooklug_state::meta::HarmReport;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tracing::warn;

use super::{Shared, heartbeat};

/// Time after which an undelivered report is dropped.
const REPORT_LIFETIME: Duration = Duration::from_secs(30);

const RETRY_DELAY: Duration = Duration::from_millis(250);

pub(super) async fn run(shared: Arc<Shared>, mut harm: mpsc::Receiver<HarmReport>) {
    while let Some(report) = harm.recv().await {
        send_report(&shared, report).await;
    }
    // All senders are dropped, so no report can arrive; the agent's other tasks keep running.
    std::future::pending::<()>().await;
}

async fn send_report(shared: &Shared, harm: HarmReport) {
    let until = Instant::now() + REPORT_LIFETIME;
    let request = ReportHarm { harm };
    while Instant::now() < until {
        for core in heartbeat::cores_in_order(shared) {
            if shared.client.call(core, &request, shared.deadline()).await.is_ok() {
                return;
            }
        }
        tokio::time::sleep(RETRY_DELAY).await;
    }
    warn!(service = %request.harm.service, version = %request.harm.version, "report of a harmful version dropped: no core accepted it in time");
}
