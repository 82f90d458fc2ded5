//! Discovers other stores, forms or joins a cluster with them, and keeps their addresses up to
//! date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::future::join_all;
use hooklug_protocol::control::Discover;
use hooklug_protocol::store::{FormationOffer, FormationPlan, FormationReply};
use hooklug_rpc::Peer;
use hooklug_types::{Incarnation, NodeRole};
use rand::RngExt;
use tracing::{error, info, warn};

use crate::data_folder::Membership;
use crate::formation::{OfferDecision, PromiseState, decide_offer, promise_state};
use crate::shared::{PEER_CALL_TIMEOUT, Shared};

/// Interval between rounds while the store is not a member of a cluster.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between rounds of a cluster member, which only update addresses.
const MEMBER_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a coordinator requests promises before it drops its plan.
const PROMISE_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between requests for missing promises.
const PROMISE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A reply to a formation offer and the incarnation of its sender.
struct PeerReply {
    reply: FormationReply,
    incarnation: Incarnation,
}

/// Runs discovery and formation rounds until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let offer = shared.offer();
        let replies = query_peers(&shared, &offer).await;
        // Must precede `advance_membership`, since a store sends requests to the other stores as
        // soon as it has joined a cluster.
        shared.publish_stores();
        let outcome = advance_membership(&shared, offer.promised_cluster, &replies).await;
        if let Err(error) = outcome {
            error!(%error, "failed to write the cluster membership; cluster formation is stalled");
        }
        let pause = if shared.is_member() { MEMBER_INTERVAL } else { SEARCH_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

/// Sends the offer to all known stores, and requests store addresses from processes of other roles.
async fn query_peers(shared: &Arc<Shared>, offer: &FormationOffer) -> Vec<PeerReply> {
    let mut candidates = shared.formation().candidates.clone();
    for (_, address) in shared.addresses.all() {
        if address != shared.identity.address.rpc && !candidates.contains(&address) {
            candidates.push(address);
        }
    }
    let requests = candidates.into_iter().map(|address| query_peer(shared, address, offer));
    let replies: Vec<PeerReply> = join_all(requests).await.into_iter().flatten().collect();
    for PeerReply { reply, incarnation } in &replies {
        shared.addresses.record(reply.node, *incarnation, reply.address);
        shared.add_candidate(reply.address);
        reply.known_stores.iter().for_each(|address| shared.add_candidate(*address));
    }
    replies
}

/// Sends the offer to the process at an address. Returns `None` if it is not another store or does
/// not reply.
async fn query_peer(
    shared: &Shared,
    address: SocketAddr,
    offer: &FormationOffer,
) -> Option<PeerReply> {
    let deadline = tokio::time::Instant::now() + PEER_CALL_TIMEOUT;
    let peer = shared.client.peer(address, deadline).await.ok()?;
    shared.record_role(address, peer.role);
    if peer.role != NodeRole::Store {
        discover_stores(shared, address).await;
        return None;
    }
    let reply = shared.client.call(address, offer, deadline).await.ok()?;
    let is_own = reply.node == shared.node();
    (reply.node == peer.node && !is_own)
        .then_some(PeerReply { reply, incarnation: peer.incarnation })
}

/// Requests the addresses of stores from a process of another role.
async fn discover_stores(shared: &Shared, address: SocketAddr) {
    let deadline = tokio::time::Instant::now() + PEER_CALL_TIMEOUT;
    let request = Discover { from: shared.identity.address.clone() };
    let Ok(nodes) = shared.client.call(address, &request, deadline).await else { return };
    for node in nodes.into_iter().filter(|node| node.role == NodeRole::Store) {
        shared.add_candidate(node.rpc);
    }
}

/// Joins, forms or proposes a cluster, depending on the membership and the replies of this round.
async fn advance_membership(
    shared: &Arc<Shared>,
    requested_cluster: Option<u64>,
    replies: &[PeerReply],
) -> Result<(), crate::StoreError> {
    let membership = shared.membership();
    match membership {
        Membership::Member { .. } => Ok(()),
        Membership::Promised(plan) => resolve_promise(shared, &plan, requested_cluster, replies),
        Membership::Empty => match replies.iter().find(|peer| peer.reply.cluster != 0) {
            Some(member) => join(shared, member.reply.cluster),
            None => propose(shared, replies).await,
        },
    }
}

/// Joins an existing cluster as a new node, unless the membership has changed meanwhile.
fn join(shared: &Shared, cluster: u64) -> Result<(), crate::StoreError> {
    let mut formation = shared.formation();
    if formation.membership != Membership::Empty {
        return Ok(());
    }
    info!(cluster, "joining a cluster as a new node");
    shared.set_membership(&mut formation, Membership::Member { cluster, plan: None })
}

/// Becomes a member if the promised plan is decided, or withdraws the promise if the plan was
/// dropped.
fn resolve_promise(
    shared: &Shared,
    plan: &FormationPlan,
    requested_cluster: Option<u64>,
    replies: &[PeerReply],
) -> Result<(), crate::StoreError> {
    if plan.coordinator == shared.node() {
        return Ok(());
    }
    let states: Vec<_> =
        replies.iter().map(|peer| promise_state(plan, requested_cluster, &peer.reply)).collect();
    let mut formation = shared.formation();
    if formation.membership != Membership::Promised(plan.clone()) {
        return Ok(());
    }
    if states.contains(&PromiseState::Decided) {
        return shared.set_membership(&mut formation, decided_membership(plan));
    }
    if states.contains(&PromiseState::Dropped) {
        info!(cluster = plan.cluster, "the coordinator dropped the plan to form a cluster");
        return shared.set_membership(&mut formation, Membership::Empty);
    }
    Ok(())
}

fn decided_membership(plan: &FormationPlan) -> Membership {
    info!(cluster = plan.cluster, stores = plan.stores.len(), "the cluster is formed");
    Membership::Member { cluster: plan.cluster, plan: Some(plan.clone()) }
}

/// Proposes a plan if this store should coordinate, and decides it once all stores have promised.
async fn propose(shared: &Arc<Shared>, replies: &[PeerReply]) -> Result<(), crate::StoreError> {
    let plan = {
        let mut formation = shared.formation();
        let now = Instant::now();
        for PeerReply { reply, incarnation } in replies {
            formation.view.record_reply(reply, *incarnation, now);
        }
        formation.view.remove_unresponsive(now);
        let cluster = rand::rng().random_range(1..=u64::MAX);
        let Some(plan) = formation.view.plan(cluster, now) else { return Ok(()) };
        if formation.membership != Membership::Empty {
            return Ok(());
        }
        shared.set_membership(&mut formation, Membership::Promised(plan.clone()))?;
        plan
    };
    let all_promised = collect_promises(shared, &plan).await;
    let mut formation = shared.formation();
    if all_promised {
        shared.set_membership(&mut formation, decided_membership(&plan))
    } else {
        warn!(
            cluster = plan.cluster,
            "not all stores promised in time; dropping the plan to form a cluster"
        );
        shared.set_membership(&mut formation, Membership::Empty)
    }
}

/// Requests a promise from all stores of the plan. Returns whether all of them promised in time.
async fn collect_promises(shared: &Shared, plan: &FormationPlan) -> bool {
    let deadline = tokio::time::Instant::now() + PROMISE_TIMEOUT;
    let offer = FormationOffer { plan: Some(plan.clone()), ..shared.offer() };
    let mut missing: Vec<_> =
        plan.stores.iter().filter(|store| store.node != shared.node()).collect();
    while tokio::time::Instant::now() < deadline {
        let requests =
            missing.iter().map(|store| shared.client.call(store.address, &offer, deadline));
        let replies = join_all(requests).await;
        let promised = replies.into_iter().zip(&missing).map(|(reply, store)| {
            reply.is_ok_and(|reply| reply.node == store.node && reply.accepted)
        });
        let promised: Vec<bool> = promised.collect();
        let mut promises = promised.into_iter();
        missing.retain(|_| !promises.next().unwrap_or(false));
        if missing.is_empty() {
            return true;
        }
        tokio::time::sleep(PROMISE_RETRY_INTERVAL).await;
    }
    false
}

/// Handles a formation offer of another store. Blocks on a disk sync if it promises.
pub(crate) fn handle_offer(shared: &Shared, peer: &Peer, offer: &FormationOffer) -> FormationReply {
    if peer.node == offer.node && peer.role == NodeRole::Store {
        shared.addresses.record(offer.node, peer.incarnation, offer.address);
        shared.add_candidate(offer.address);
    }
    let mut formation = shared.formation();
    let accepted = match decide_offer(offer, &formation.membership, &formation.view) {
        OfferDecision::Reply { accepted } => accepted,
        OfferDecision::Promise(plan) => {
            let promised = shared.set_membership(&mut formation, Membership::Promised(plan));
            if let Err(error) = &promised {
                error!(%error, "failed to sync the promise to form a cluster; rejecting the offer");
            }
            promised.is_ok()
        }
    };
    let address = &shared.identity.address;
    FormationReply {
        node: address.node,
        address: address.rpc,
        zone: address.zone.clone(),
        cluster: formation.membership.cluster(),
        accepted,
        known_stores: formation.candidates.clone(),
    }
}
