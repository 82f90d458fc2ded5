//! Discovers other stores, forms or joins a cluster with them, and keeps their addresses up to date.

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
use crate::formation::{OfferVerdict, PromiseFate, judge_offer, judge_promise};
use crate::shared::{PEER_CALL_TIME, Shared};

/// Interval between rounds while the store is not a member of a cluster.
const SEARCH_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between rounds of a cluster member, which only update addresses.
const MEMBER_INTERVAL: Duration = Duration::from_millis(1_000);
/// How long a coordinator requests promises before it drops its plan.
const PROMISE_TIME: Duration = Duration::from_secs(3);
/// Pause between requests for missing promises.
const PROMISE_PAUSE: Duration = Duration::from_millis(100);

/// A reply to a formation offer and the incarnation of its sender.
struct Heard {
    reply: FormationReply,
    incarnation: Incarnation,
}

/// Runs discovery and formation rounds until the task is aborted.
pub(crate) async fn run(shared: Arc<Shared>) {
    loop {
        let offer = shared.offer();
        let heard = ask_all(&shared, &offer).await;
        // Must precede `act`: as soon as it joins, a store sends requests to the other stores.
        shared.publish_stores();
        let outcome = act(&shared, offer.propose, &heard).await;
        if let Err(error) = outcome {
            error!(%error, "failed to write the cluster membership; cluster formation is stalled");
        }
        let pause = if shared.is_member() { MEMBER_INTERVAL } else { SEARCH_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

/// Sends the offer to all known stores, and requests store addresses from processes of other roles.
async fn ask_all(shared: &Arc<Shared>, offer: &FormationOffer) -> Vec<Heard> {
    let mut candidates = shared.formation().candidates.clone();
    for (_, address) in shared.addresses.all() {
        if address != shared.identity.address.rpc && !candidates.contains(&address) {
            candidates.push(address);
        }
    }
    let asked = candidates.into_iter().map(|address| ask(shared, address, offer));
    let heard: Vec<Heard> = join_all(asked).await.into_iter().flatten().collect();
    for Heard { reply, incarnation } in &heard {
        shared.addresses.note(reply.node, *incarnation, reply.address);
        shared.add_candidate(reply.address);
        reply.heard.iter().for_each(|address| shared.add_candidate(*address));
    }
    heard
}

async fn ask(shared: &Shared, address: SocketAddr, offer: &FormationOffer) -> Option<Heard> {
    let deadline = tokio::time::Instant::now() + PEER_CALL_TIME;
    let peer = shared.client.peer(address, deadline).await.ok()?;
    shared.note_role(address, peer.role);
    if peer.role != NodeRole::Store {
        discover(shared, address).await;
        return None;
    }
    let reply = shared.client.call(address, offer, deadline).await.ok()?;
    let is_own = reply.node == shared.node();
    (reply.node == peer.node && !is_own).then_some(Heard { reply, incarnation: peer.incarnation })
}

/// Requests the addresses of stores from a process of another role.
async fn discover(shared: &Shared, address: SocketAddr) {
    let deadline = tokio::time::Instant::now() + PEER_CALL_TIME;
    let request = Discover { from: shared.identity.address.clone() };
    let Ok(nodes) = shared.client.call(address, &request, deadline).await else { return };
    for node in nodes.into_iter().filter(|node| node.role == NodeRole::Store) {
        shared.add_candidate(node.rpc);
    }
}

async fn act(
    shared: &Arc<Shared>,
    asked: Option<u64>,
    heard: &[Heard],
) -> Result<(), crate::StoreError> {
    let membership = shared.membership();
    match membership {
        Membership::Member { .. } => Ok(()),
        Membership::Promised(plan) => settle_promise(shared, &plan, asked, heard),
        Membership::Empty => match heard.iter().find(|h| h.reply.cluster != 0) {
            Some(member) => join(shared, member.reply.cluster),
            None => propose(shared, heard).await,
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

fn settle_promise(
    shared: &Shared,
    plan: &FormationPlan,
    asked: Option<u64>,
    heard: &[Heard],
) -> Result<(), crate::StoreError> {
    if plan.coordinator == shared.node() {
        return Ok(());
    }
    let fates: Vec<_> =
        heard.iter().map(|heard| judge_promise(plan, asked, &heard.reply)).collect();
    let mut formation = shared.formation();
    if formation.membership != Membership::Promised(plan.clone()) {
        return Ok(());
    }
    if fates.contains(&PromiseFate::Decided) {
        return shared.set_membership(&mut formation, decided(plan));
    }
    if fates.contains(&PromiseFate::Dropped) {
        info!(cluster = plan.cluster, "the coordinator dropped the plan to form a cluster");
        return shared.set_membership(&mut formation, Membership::Empty);
    }
    Ok(())
}

fn decided(plan: &FormationPlan) -> Membership {
    info!(cluster = plan.cluster, stores = plan.stores.len(), "the cluster is formed");
    Membership::Member { cluster: plan.cluster, plan: Some(plan.clone()) }
}

/// Proposes a plan if this store should coordinate, and decides it once all stores have promised.
async fn propose(shared: &Arc<Shared>, heard: &[Heard]) -> Result<(), crate::StoreError> {
    let plan = {
        let mut formation = shared.formation();
        let now = Instant::now();
        for Heard { reply, incarnation } in heard {
            formation.view.note(reply, *incarnation, now);
        }
        formation.view.forget_silent(now);
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
        shared.set_membership(&mut formation, decided(&plan))
    } else {
        warn!(
            cluster = plan.cluster,
            "not all stores promised in time; dropping the plan to form a cluster"
        );
        shared.set_membership(&mut formation, Membership::Empty)
    }
}

async fn collect_promises(shared: &Shared, plan: &FormationPlan) -> bool {
    let deadline = tokio::time::Instant::now() + PROMISE_TIME;
    let offer = FormationOffer { plan: Some(plan.clone()), ..shared.offer() };
    let mut missing: Vec<_> =
        plan.stores.iter().filter(|store| store.node != shared.node()).collect();
    while tokio::time::Instant::now() < deadline {
        let asked = missing.iter().map(|store| shared.client.call(store.address, &offer, deadline));
        let replies = join_all(asked).await;
        let promised = replies.into_iter().zip(&missing).map(|(reply, store)| {
            reply.is_ok_and(|reply| reply.node == store.node && reply.accepted)
        });
        let promised: Vec<bool> = promised.collect();
        let mut promises = promised.into_iter();
        missing.retain(|_| !promises.next().unwrap_or(false));
        if missing.is_empty() {
            return true;
        }
        tokio::time::sleep(PROMISE_PAUSE).await;
    }
    false
}

/// Handles a formation offer of another store. Blocks on a disk sync if it promises.
pub(crate) fn answer(shared: &Shared, peer: &Peer, offer: &FormationOffer) -> FormationReply {
    if peer.node == offer.node && peer.role == NodeRole::Store {
        shared.addresses.note(offer.node, peer.incarnation, offer.address);
        shared.add_candidate(offer.address);
    }
    let mut formation = shared.formation();
    let accepted = match judge_offer(offer, &formation.membership, &formation.view) {
        OfferVerdict::Answer { accepted } => accepted,
        OfferVerdict::Promise(plan) => {
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
        heard: formation.candidates.clone(),
    }
}
