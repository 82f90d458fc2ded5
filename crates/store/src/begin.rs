//! What a member does once: begin the groups that a plan puts here, record the cluster, register.

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

/// Time for one command to the meta group before it is sent again.
const COMMAND_TIME: Duration = Duration::from_secs(5);
/// Pause between looks at whether the store has become a member, and between attempts.
const PAUSE: Duration = Duration::from_millis(50);

/// Runs until the store is registered under its present address.
pub(crate) async fn run(shared: Arc<Shared>) {
    let plan = loop {
        if let Membership::Member { plan, .. } = shared.membership() {
            break plan;
        }
        tokio::time::sleep(PAUSE).await;
    };
    if let Some(plan) = plan {
        carry_out(&shared, &plan).await;
    }
    register(&shared).await;
}

/// Begins this store's groups, records the cluster in the meta group, and lets the plan go.
async fn carry_out(shared: &Shared, plan: &FormationPlan) {
    for store in &plan.stores {
        shared.addresses.note(store.node, store.incarnation, store.address);
    }
    for (group, placement) in &plan.placements {
        if !placement.voters.contains(&shared.node()) {
            continue;
        }
        if let Err(error) = shared.replicator.bootstrap(*group, conf_of(placement)).await {
            error!(%group, %error, "a group cannot begin");
            return;
        }
        // One voter asks at once, so that a new cluster does not wait for the election timeouts.
        if placement.voters.first() == Some(&shared.node()) {
            shared.replicator.campaign(*group);
        }
    }
    let form = MetaCommand::Form {
        cluster: plan.cluster,
        stores: plan.stores.clone(),
        placements: plan.placements.clone(),
    };
    until_done(shared, &form).await;
    let mut formation = shared.formation();
    let member = Membership::Member { cluster: plan.cluster, plan: None };
    if let Err(error) = shared.set_membership(&mut formation, member) {
        // The plan is carried out again at the next start, which changes nothing.
        warn!(%error, "the carried out plan stays on the disk");
    }
}

fn conf_of(placement: &GroupPlacement) -> ConfState {
    ConfState {
        voters: placement.voters.iter().copied().collect(),
        learners: placement.learners.iter().copied().collect(),
    }
}

async fn register(shared: &Shared) {
    let began = Instant::now();
    if until_done(shared, &MetaCommand::RegisterStore(shared.record())).await {
        let took = began.elapsed();
        info!(node = %shared.node(), ?took, "registered with the cluster");
        metrics::histogram!("hooklug_store_registration_seconds").record(took.as_secs_f64());
    }
    if let Some(name) = shared.settings.store.name.clone() {
        until_done(shared, &MetaCommand::NameStore { node: shared.node(), name }).await;
    }
}

/// Sends a command until the meta group says that it is done, or refuses it for good.
async fn until_done(shared: &Shared, command: &MetaCommand) -> bool {
    loop {
        let deadline = Instant::now() + COMMAND_TIME;
        match shared.access.execute_meta(command, deadline).await {
            Ok(MetaReply::Refused(refusal)) if !may_pass(&refusal) => {
                error!(%refusal, "the cluster refuses this store");
                return false;
            }
            Ok(MetaReply::Refused(_)) | Err(_) => tokio::time::sleep(PAUSE).await,
            Ok(_) => return true,
        }
    }
}

fn may_pass(refusal: &hooklug_state::meta::MetaRefusal) -> bool {
    matches!(refusal, hooklug_state::meta::MetaRefusal::NotFormed)
}
