//! Rolls back harmful versions: judges them by the gateways' statistics and the state of their
//! engines, and commits the rollback under the leader's fencing epoch.

use std::time::{Duration, Instant};

use hooklug_state::meta::{HarmReport, MetaCommand, MetaRefusal, MetaReply};
use tracing::{error, info, warn};

use super::Shared;
use super::leader::LeaderContext;
use crate::judge::{ReadinessMonitor, engine_counts};
use crate::metrics;

/// Time between judgements.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a request to the stores; a rollback that is not confirmed is judged and sent again.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

pub(super) async fn run(shared: &Shared, leader_ctx: &LeaderContext) {
    let bound = Duration::from_secs(shared.ctx.settings.core.version_ready_seconds);
    let mut readiness = ReadinessMonitor::new(bound);
    loop {
        for harm in judge(shared, leader_ctx, &mut readiness) {
            roll_back(shared, leader_ctx, harm).await;
        }
        tokio::time::sleep(JUDGE_INTERVAL).await;
    }
}

/// Returns the harmful versions of the bundle installed on this node.
fn judge(
    shared: &Shared,
    leader_ctx: &LeaderContext,
    readiness: &mut ReadinessMonitor,
) -> Vec<HarmReport> {
    let Some(installed) = shared.ctx.node.bundle.borrow().clone() else { return Vec::new() };
    let now = Instant::now();
    let lost = leader_ctx.recently_lost(now);
    let mut harm = shared.judge().evaluate(&installed.bundle, &lost, now);
    let engine_counts = engine_counts(&shared.published.view());
    harm.extend(readiness.evaluate(&installed.bundle, &engine_counts, now));
    harm
}

async fn roll_back(shared: &Shared, leader_ctx: &LeaderContext, harm: HarmReport) {
    let (service, version) = (harm.service.clone(), harm.version.clone());
    error!(%service, %version, route = ?harm.route, reason = %harm.reason, "new version is harmful; rolling it back");
    let command = MetaCommand::RollBack { epoch: leader_ctx.epoch, harm };
    let deadline = tokio::time::Instant::now() + COMMIT_TIMEOUT;
    match shared.ctx.state.execute_meta(&command, deadline).await {
        Ok(MetaReply::Bundle(record)) => {
            metrics::count_rollback();
            info!(%service, %version, bundle = %record.version, "version rolled back");
            shared.ctx.identity.bundles.observe(record.version);
        }
        Ok(MetaReply::Refused(MetaRefusal::NothingToRollBack { reason })) => {
            info!(%service, %version, %reason, "nothing to roll back");
        }
        Ok(reply) => warn!(%service, %version, ?reply, "rollback refused"),
        Err(error) => warn!(%service, %version, %error, "rollback not confirmed"),
    }
}
