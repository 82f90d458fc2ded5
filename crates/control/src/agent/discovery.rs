//! Discovers other processes: queries the seeds first, then the processes found so far.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::join_all;
use hooklug_protocol::control::{Discover, NodeAddress};
use hooklug_rpc::RpcClient;
use hooklug_types::NodeRole;
use rand::seq::IndexedRandom;

use super::Shared;

/// Time between rounds while no core or no store is known.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

/// Time between rounds once a core and a store are known.
const STEADY_INTERVAL: Duration = Duration::from_secs(1);

/// Other peers queried per round while no core replies, in addition to seeds and stores.
const RANDOM_PEERS_PER_ROUND: usize = 2;

pub(super) async fn run(shared: Arc<Shared>) {
    loop {
        let targets = targets(&shared);
        let queries =
            join_all(targets.into_iter().map(|target| query(&shared, &shared.client, target)));
        tokio::join!(queries, query_random_peers(&shared));
        shared.publish_stores();
        let pause = if knows_core_and_store(&shared) { STEADY_INTERVAL } else { SEARCH_INTERVAL };
        tokio::time::sleep(pause).await;
    }
}

fn knows_core_and_store(shared: &Shared) -> bool {
    let peers = shared.peers();
    let knows = |role| !peers.addresses(role).is_empty();
    knows(NodeRole::Core) && knows(NodeRole::Store)
}

/// Returns the peers to query in this round over persistent connections: seeds that are not known
/// yet, a core leader known only from the stores, and one store to check that it is reachable; all
/// stores while no core replies.
fn targets(shared: &Shared) -> Vec<SocketAddr> {
    let peers = shared.peers();
    let stores = peers.addresses(NodeRole::Store);
    let own = shared.identity.address.rpc;
    let mut rng = rand::rng();
    let unknown = |seed: &&SocketAddr| !peers.is_known(**seed);
    let mut targets: Vec<SocketAddr> = shared.seeds.iter().filter(unknown).copied().collect();
    targets.extend(shared.leader.borrow().iter().filter(unknown));
    let no_core_replies = !shared.reachability.core_is_reachable();
    let store_count = if no_core_replies { stores.len() } else { 1 };
    targets.extend(stores.sample(&mut rng, store_count));
    if stores.is_empty() {
        // A core that knew no store when it was first queried may know one by now.
        targets.extend(peers.addresses(NodeRole::Core));
    }
    targets.retain(|target| *target != own);
    targets.sort_unstable();
    targets.dedup();
    targets
}

/// Queries a few random peers while no core replies. The connections are closed after the round;
/// otherwise a cluster that has lost its cores would end up with a connection between every two
/// nodes.
async fn query_random_peers(shared: &Shared) {
    if shared.reachability.core_is_reachable() {
        return;
    }
    let others = shared.peers().sample(RANDOM_PEERS_PER_ROUND, &mut rand::rng());
    let client = RpcClient::new(shared.identity.clone());
    join_all(others.into_iter().map(|other| query(shared, &client, other))).await;
}

async fn query(shared: &Shared, client: &RpcClient, target: SocketAddr) {
    let request = Discover { from: shared.identity.address.clone() };
    let Ok(reply) = client.call(target, &request, shared.deadline()).await else { return };
    let mut peers = shared.peers();
    let sender = reply.iter().find(|a| a.rpc == target).cloned();
    reply.into_iter().for_each(|address| peers.learn(address));
    drop(peers);
    record_reply(shared, sender.as_ref());
}

fn record_reply(shared: &Shared, sender: Option<&NodeAddress>) {
    if sender.is_some_and(|a| a.role == NodeRole::Store) {
        shared.reachability.record_store_reply();
    }
}
