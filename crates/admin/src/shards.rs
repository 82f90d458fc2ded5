//! Handlers that show groups with their replicas and retire a store.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use axum::Json;
use axum::extract::{Path, State};
use futures::future::join_all;
use hooklug_protocol::store::{GroupStatus, ReplicaStatus};
use hooklug_raft::Role;
use hooklug_state::meta::{
    MetaAnswer, MetaCommand, MetaQuery, MetaRefusal, MetaReply, MetaState, StoreState,
};
use hooklug_types::{GroupId, NodeId};
use http::StatusCode;
use tokio::time::Instant;

use crate::AdminContext;
use crate::answers::{ReplicaAnswer, ShardAnswer};
use crate::problem::Problem;

type AdminState = State<Arc<AdminContext>>;

/// Timeout of a status request to one store.
const STORE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for reading from and writing to the meta group.
const META_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) async fn shards(State(admin): AdminState) -> Json<Vec<ShardAnswer>> {
    let meta = admin.context.node.view.borrow().meta.clone();
    let statuses = query_stores(&admin, &meta).await;
    Json(GroupId::all().map(|group| shard_answer(group, &meta, &statuses)).collect())
}

type Statuses = BTreeMap<GroupId, Vec<(NodeId, ReplicaStatus)>>;

async fn query_stores(admin: &AdminContext, meta: &MetaState) -> Statuses {
    let stores = meta.stores.iter().filter(|s| s.state != StoreState::Removed);
    let requests = stores.map(|store| async move {
        let deadline = Instant::now() + STORE_TIMEOUT;
        let answer = admin.client().call(store.address, &GroupStatus, deadline).await;
        answer.unwrap_or_default().into_iter().map(|status| (store.node, status)).collect()
    });
    let answers: Vec<Vec<(NodeId, ReplicaStatus)>> = join_all(requests).await;
    let mut statuses = Statuses::new();
    for (store, status) in answers.into_iter().flatten() {
        statuses.entry(status.group).or_default().push((store, status));
    }
    statuses
}

fn shard_answer(group: GroupId, meta: &MetaState, statuses: &Statuses) -> ShardAnswer {
    let replicas = statuses.get(&group).map(Vec::as_slice).unwrap_or_default();
    let leader =
        replicas.iter().filter(|(_, s)| s.role == Role::Leader).max_by_key(|(_, s)| s.term);
    let commit = replicas.iter().map(|(_, s)| s.commit).max().unwrap_or(0);
    let members = leader.into_iter().flat_map(|(_, s)| s.conf.voters.union(&s.conf.learners));
    let stores: BTreeSet<NodeId> =
        replicas.iter().map(|(store, _)| *store).chain(members.copied()).collect();
    let answer = |store: NodeId| {
        let status = replicas.iter().find(|(reporting, _)| *reporting == store).map(|(_, s)| s);
        ReplicaAnswer {
            store,
            member: membership(leader.map(|(_, s)| s), store).to_owned(),
            lag: status.map(|s| commit.saturating_sub(s.applied)),
            term: status.map(|s| s.term),
        }
    };
    ShardAnswer {
        group: group.to_string(),
        leader: leader.map(|(store, _)| *store),
        commit,
        replicas: stores.into_iter().map(answer).collect(),
        placement: meta.placements.get(&group).cloned().unwrap_or_default(),
    }
}

/// Membership of a store in a group, according to the group's leader.
fn membership(leader: Option<&ReplicaStatus>, store: NodeId) -> &'static str {
    match leader {
        Some(status) if status.conf.voters.contains(&store) => "voter",
        Some(status) if status.conf.learners.contains(&store) => "learner",
        Some(_) => "none",
        None => "unknown",
    }
}

/// Marks a store as retiring; the core leader then moves its replicas to other stores.
pub(crate) async fn retire(
    State(admin): AdminState,
    Path(node): Path<String>,
) -> Result<StatusCode, Problem> {
    let node = node.parse().map(NodeId).map_err(|_| {
        Problem::bad_field("node", format!("is {node:?}, must be a store's node id"))
    })?;
    let deadline = Instant::now() + META_TIMEOUT;
    let answer = admin.context.state.query_meta(&MetaQuery::State, deadline).await?;
    let leader = match answer {
        MetaAnswer::State(state) => state.leader.filter(|l| !l.expired),
        _ => None,
    };
    let leader = leader.ok_or_else(no_core_leader)?;
    let command =
        MetaCommand::SetStoreState { epoch: leader.epoch, node, state: StoreState::Retiring };
    match admin.context.state.execute_meta(&command, deadline).await? {
        MetaReply::Refused(MetaRefusal::NoStore) => {
            Err(Problem::not_found("no_store", "there is no such store"))
        }
        MetaReply::Refused(MetaRefusal::StaleFencing { .. }) => Err(no_core_leader()),
        MetaReply::Refused(refusal) => {
            Err(Problem::new(StatusCode::CONFLICT, "refused", "the store cannot be retired")
                .detail(refusal.to_string()))
        }
        _ => Ok(StatusCode::ACCEPTED),
    }
}

fn no_core_leader() -> Problem {
    Problem::new(StatusCode::SERVICE_UNAVAILABLE, "try_again", "no core leads at the moment")
        .with("outcome", "try_again")
        .with("retry_after_ms", 1_000)
}
