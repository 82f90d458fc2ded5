//! Rolls harmful versions back: judges what gateways saw, and commits the roll-back under the leader's
//! fencing epoch.

use std::time::{Duration, Instant};

use hooklug_state::meta::{HarmReport, MetaCommand, MetaRefusal, MetaReply};
use tracing::{error, info, warn};

use super::Shared;
use super::leader::Leading;
use crate::figures;

/// Pause between judgements (ours).
const JUDGE_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for one answer of the stores (ours); a roll-back that is not confirmed is judged and sent again.
const COMMIT_TIME: Duration = Duration::from_secs(2);

pub(super) async fn run(shared: &Shared, leading: &Leading) {
    loop {
        for harm in judge(shared, leading) {
            roll_back(shared, leading, harm).await;
        }
        tokio::time::sleep(JUDGE_PAUSE).await;
    }
}

/// Harm by the versions of the bundle that this node has in force.
fn judge(shared: &Shared, leading: &Leading) -> Vec<HarmReport> {
    let Some(installed) = shared.ctx.node.bundle.borrow().clone() else { return Vec::new() };
    let now = Instant::now();
    let lost = leading.lost_lately(now);
    shared.judge().evaluate(&installed.bundle, &lost, now)
}

async fn roll_back(shared: &Shared, leading: &Leading, harm: HarmReport) {
    let (service, version) = (harm.service.clone(), harm.version.clone());
    error!(%service, %version, route = ?harm.route, reason = %harm.reason, "harm by a new version");
    let command = MetaCommand::RollBack { epoch: leading.epoch, harm };
    let deadline = tokio::time::Instant::now() + COMMIT_TIME;
    match shared.ctx.state.execute_meta(&command, deadline).await {
        Ok(MetaReply::Bundle(record)) => {
            figures::rolled_back();
            info!(%service, %version, bundle = %record.version, "rolled back");
            shared.ctx.identity.bundles.saw(record.version);
        }
        Ok(MetaReply::Refused(MetaRefusal::NothingToRollBack { reason })) => {
            info!(%service, %version, %reason, "nothing to roll back");
        }
        Ok(reply) => warn!(%service, %version, ?reply, "roll-back refused"),
        Err(error) => warn!(%service, %version, %error, "roll-back not confirmed"),
    }
}
