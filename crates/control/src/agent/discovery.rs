//! Finds the other processes: asks the seeds first, then goes on asking those that it has found.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hooklug_protocol::control::{Discover, NodeAddress};
use hooklug_rpc::RpcClient;
use hooklug_types::NodeRole;
use rand::seq::IndexedRandom;

use super::Shared;

/// Pause between rounds while no core or no store is known (ours).
const SEARCH_PAUSE: Duration = Duration::from_millis(200);

/// Pause between rounds from then on (ours).
const STEADY_PAUSE: Duration = Duration::from_secs(1);

/// Processes asked in a round while no core answers, beside seeds and stores (ours).
const ASKED_IN_A_ROUND: usize = 2;

pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        let targets = targets(&shared);
        let asked =
            join_all(targets.into_iter().map(|target| ask(&shared, &shared.client, target)));
        tokio::join!(asked, ask_others(&shared));
        shared.publish_stores();
        let pause = if found_enough(&shared) { STEADY_PAUSE } else { SEARCH_PAUSE };
        tokio::time::sleep(pause).await;
    }
}

fn found_enough(shared: &Shared) -> bool {
    let peers = shared.peers();
    let knows = |role| !peers.addresses(role).is_empty();
    knows(NodeRole::Core) && knows(NodeRole::Store)
}

/// Whom to ask in this round over connections that stay: seeds that are not known yet, a core leader that only the stores
/// told of, and a store, which tells that one is within reach; all stores while no core answers.
fn targets(shared: &Shared) -> Vec<SocketAddr> {
    let peers = shared.peers();
    let stores = peers.addresses(NodeRole::Store);
    let own = shared.identity.address.rpc;
    let mut rng = rand::rng();
    let unknown = |seed: &&SocketAddr| !peers.is_known(**seed);
    let mut targets: Vec<SocketAddr> = shared.seeds.iter().filter(unknown).copied().collect();
    targets.extend(shared.leader.borrow().iter().filter(unknown));
    let alone = !shared.reach.core_answers();
    let store_count = if alone { stores.len() } else { 1 };
    targets.extend(stores.sample(&mut rng, store_count));
    if stores.is_empty() {
        // A core that was asked before it knew a store will know one soon.
        targets.extend(peers.addresses(NodeRole::Core));
    }
    targets.retain(|target| *target != own);
    targets.sort_unstable();
    targets.dedup();
    targets
}

/// While no core answers, asks a few others at random. The connections end with the round: kept, all of a
/// cluster that has lost its cores would end with a connection from each node to each.
async fn ask_others(shared: &Shared) {
    if shared.reach.core_answers() {
        return;
    }
    let others = shared.peers().sample(ASKED_IN_A_ROUND, &mut rand::rng());
    let client = RpcClient::new(shared.identity.clone());
    join_all(others.into_iter().map(|other| ask(shared, &client, other))).await;
}

async fn ask(shared: &Shared, client: &RpcClient, target: SocketAddr) {
    let request = Discover { from: shared.identity.address.clone() };
    let Ok(answer) = client.call(target, &request, shared.deadline()).await else { return };
    let mut peers = shared.peers();
    let answering = answer.iter().find(|a| a.rpc == target).cloned();
    answer.into_iter().for_each(|address| peers.learn(address));
    drop(peers);
    note_answer(shared, answering.as_ref());
}

fn note_answer(shared: &Shared, answering: Option<&NodeAddress>) {
    if answering.is_some_and(|a| a.role == NodeRole::Store) {
        shared.reach.store_answered();
    }
}
