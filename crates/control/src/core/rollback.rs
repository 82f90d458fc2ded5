//! Rolls back harmful versions: judges them by the gateways' statistics and the state of their
//! engines, and commits the rollback under the leader's fencing epoch.

use std::time::{Duration, Instant};

use hooklug_state::meta::{HarmReport, MetaCommand, MetaRefusal, MetaReply};
use tracing::{error, info, warn};

use super::Shared;
use super::leader::Leading;
use crate::judge::{ReadinessWatch, standings};
use crate::metrics;

/// Time between judgements.
const JUDGE_PAUSE: Duration = Duration::from_millis(250);

/// Timeout of a request to the stores; a rollback that is not confirmed is judged and sent again.
const COMMIT_TIME: Duration = Duration::from_secs(2);

pub(super) async fn run(shared: &Shared, leading: &Leading) {
    let bound = Duration::from_secs(shared.ctx.settings.core.version_ready_seconds);
    let mut readiness = ReadinessWatch::new(bound);
    loop {
        for harm in judge(shared, leading, &mut readiness) {
            roll_back(shared, leading, harm).await;
        }
        tokio::time::sleep(JUDGE_PAUSE).await;
    }
}

/// Returns the harmful versions of the bundle installed on this node.
fn judge(shared: &Shared, leading: &Leading, readiness: &mut ReadinessWatch) -> Vec<HarmReport> {
    let Some(installed) = shared.ctx.node.bundle.borrow().clone() else { return Vec::new() };
    let now = Instant::now();
    let lost = leading.lost_lately(now);
    let mut harm = shared.judge().evaluate(&installed.bundle, &lost, now);
    let standings = standings(&shared.published.view());
    harm.extend(readiness.evaluate(&installed.bundle, &standings, now));
    harm
}

async fn roll_back(shared: &Shared, leading: &Leading, harm: HarmReport) {
    let (service, version) = (harm.service.clone(), harm.version.clone());
    error!(%service, %version, route = ?harm.route, reason = %harm.reason, "new version is harmful; rolling it back");
    let command = MetaCommand::RollBack { epoch: leading.epoch, harm };
    let deadline = tokio::time::Instant::now() + COMMIT_TIME;
    match shared.ctx.state.execute_meta(&command, deadline).await {
        Ok(MetaReply::Bundle(record)) => {
            metrics::rolled_back();
            info!(%service, %version, bundle = %record.version, "rolled back");
            shared.ctx.identity.bundles.saw(record.version);
        }
        Ok(MetaReply::Refused(MetaRefusal::NothingToRollBack { reason })) => {
            info!(%service, %version, %reason, "nothing to roll back");
        }
        Ok(reply) => warn!(%service, %version, ?reply, "rollback refused"),
        Err(error) => warn!(%service, %version, %error, "rollback not confirmed"),
    }
}
