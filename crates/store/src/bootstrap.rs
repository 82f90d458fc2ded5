//! One-time steps of a new cluster member: bootstraps the groups that the formation plan places on
//! this store, records the cluster in the meta group, and registers the store.

use std::sync::Arc;
use std::time::Duration;

use hooklug_protocol::store::FormationPlan;
use hooklug_raft::ConfState;
use hooklug_state::meta::{GroupPlacement, MetaCommand, MetaReply};
use tokio::time::Instant;
use tracing::{error, info, warn};

use crate::StateAccess;
use crate::data_folder::Membership;
use crate::shared::Shared;

/// Timeout of one command to the meta group before it is retried.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between checks whether the store has become a member, and between attempts of a command.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Runs until the store is registered under its current address.
pub(crate) async fn run(shared: Arc<Shared>) {
    let plan = loop {
        if let Membership::Member { plan, .. } = shared.membership() {
            break plan;
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    };
    if let Some(plan) = plan {
        carry_out_plan(&shared, &plan).await;
    }
    register(&shared).await;
}

/// Bootstraps this store's groups, records the cluster in the meta group, and then removes the plan
/// from the stored membership.
async fn carry_out_plan(shared: &Shared, plan: &FormationPlan) {
    for store in &plan.stores {
        shared.addresses.record(store.node, store.incarnation, store.address);
    }
    for (group, placement) in &plan.placements {
        if !placement.voters.contains(&shared.node()) {
            continue;
        }
        if let Err(error) = shared.replicator.bootstrap(*group, conf_state(placement)).await {
            error!(%group, %error, "failed to bootstrap a raft group");
            return;
        }
        // One voter campaigns immediately, so that a new cluster does not wait for election
        // timeouts.
        if placement.voters.first() == Some(&shared.node()) {
            shared.replicator.campaign(*group);
        }
    }
    let form = MetaCommand::Form {
        cluster: plan.cluster,
        stores: plan.stores.clone(),
        placements: plan.placements.clone(),
    };
    execute_with_retries(shared, &form).await;
    let mut formation = shared.formation();
    let member = Membership::Member { cluster: plan.cluster, plan: None };
    if let Err(error) = shared.set_membership(&mut formation, member) {
        // The next start carries out the plan again, which has no further effect.
        warn!(%error, "failed to remove the completed formation plan from the disk");
    }
}

fn conf_state(placement: &GroupPlacement) -> ConfState {
    ConfState {
        voters: placement.voters.iter().copied().collect(),
        learners: placement.learners.iter().copied().collect(),
    }
}

async fn register(shared: &Shared) {
    let started = Instant::now();
    if execute_with_retries(shared, &MetaCommand::RegisterStore(shared.record())).await {
        let took = started.elapsed();
        info!(node = %shared.node(), ?took, "registered the store with the cluster");
        metrics::histogram!("hooklug_store_registration_seconds").record(took.as_secs_f64());
    }
    if let Some(name) = shared.settings.store.name.clone() {
        execute_with_retries(shared, &MetaCommand::NameStore { node: shared.node(), name }).await;
    }
}

/// Retries a command until the meta group has applied it or refuses it permanently. Returns whether
/// it was applied.
async fn execute_with_retries(shared: &Shared, command: &MetaCommand) -> bool {
    loop {
        let deadline = Instant::now() + COMMAND_TIMEOUT;
        match shared.access.execute_meta(command, deadline).await {
            Ok(MetaReply::Refused(refusal)) if !is_retryable(&refusal) => {
                error!(%refusal, "the meta group refused a command of this store");
                return false;
            }
            Ok(MetaReply::Refused(_)) | Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
            Ok(_) => return true,
        }
    }
}

fn is_retryable(refusal: &hooklug_state::meta::MetaRefusal) -> bool {
    matches!(refusal, hooklug_state::meta::MetaRefusal::NotFormed)
}
