//! The platform's list of backends, served by a core to its followers.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use common::{Cluster, SECRET, WAIT_LIMIT, deadline};
use hooklug_control::backends::{BackendReader, BackendSource, SourceError};
use hooklug_protocol::backends::{BackendListItem, ListedBackend, WatchBackends};
use hooklug_rpc::{LocalIdentity, RpcServer};
use hooklug_types::{BundleVersion, NodeId, NodeRole};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// A source whose list is empty.
struct EmptyList;

#[async_trait]
impl BackendSource for EmptyList {
    async fn read(&self) -> Result<Vec<ListedBackend>, SourceError> {
        Ok(Vec::new())
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_backends_subscriber_learns_of_a_new_bundle_immediately() {
    let cluster = Cluster::new(21).await;
    let follower = cluster.start(NodeRole::Core, &[]).await;
    let context = follower.context.clone();
    let listener = RpcServer::bind("127.21.0.200:0".parse().unwrap()).await.expect("loopback");
    let rpc: SocketAddr = listener.local_addr().expect("bound");
    let mut address = context.identity.address.clone();
    (address.node, address.rpc) = (NodeId(1), rpc);
    let identity = LocalIdentity::new(address, SECRET);
    let (bundle, installed) = watch::channel(None);
    let reader = BackendReader::default();
    let server = RpcServer::new(listener, identity.clone(), reader.rpc_router(installed));
    tokio::spawn(server.run(CancellationToken::new()));
    let reader_context = context.clone();
    // The next read is an hour away.
    tokio::spawn(async move {
        reader.run(&reader_context, &EmptyList, Duration::from_secs(3_600)).await;
    });
    let request = WatchBackends { from: context.identity.address.clone() };
    let mut items = context.client.open(rpc, &request, deadline()).await.expect("it opens");
    let first = timeout(WAIT_LIMIT, items.next()).await.expect("in time").expect("an item");
    assert_eq!(first, Some(BackendListItem::Full(Vec::new())));
    identity.bundles.set_installed(BundleVersion(7));
    bundle.send_replace(None);
    let next = timeout(WAIT_LIMIT, items.next()).await.expect("in time").expect("an item");
    assert_eq!(next, Some(BackendListItem::Changes { changed: Vec::new(), removed: Vec::new() }));
    assert_eq!(*context.identity.bundles.watch_newest().borrow(), BundleVersion(7));
}
