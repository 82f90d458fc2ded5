//! The platform's list of back ends from a core to its followers.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use common::{Cluster, PATIENCE, SECRET, deadline};
use hooklug_control::backends::{BackendReader, BackendSource, SourceError};
use hooklug_control::{InstalledBundle, NodeContext};
use hooklug_protocol::backends::{
    BackendOutcomes, BackendsItem, ListedBackend, ReportOutcomes, WatchBackends,
};
use hooklug_rpc::{ItemStream, LocalIdentity, RpcServer};
use hooklug_types::{
    BundleVersion, EngineId, NodeId, NodeRole, ServiceName, ServiceVersion, ZoneName,
};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// A list of four back ends.
struct FourBackends;

#[async_trait]
impl BackendSource for FourBackends {
    async fn read(&self) -> Result<Vec<ListedBackend>, SourceError> {
        let backend = |number| ListedBackend {
            id: EngineId::new(format!("e{number}")).unwrap(),
            service: ServiceName::new("pool").unwrap(),
            version: ServiceVersion::new("v1").unwrap(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: ZoneName::new("z1").unwrap(),
            slots: 8,
            draining: false,
            ejected: false,
        };
        Ok((0..4).map(backend).collect())
    }
}

/// What gateways tell of their requests reaches all gateways by the list, without waiting for the next reading.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_back_end_that_fails_requests_of_several_gateways_is_ejected_for_all() {
    let cluster = Cluster::new(22).await;
    let follower = cluster.start(NodeRole::Gateway, &[]).await;
    let context = follower.context.clone();
    let mut core = read_once(&context, 22, FourBackends).await;
    let BackendsItem::Whole(listed) = core.next().await else { panic!("not the whole list") };
    let outcomes = |backend: &ListedBackend| {
        let failed = u32::from(backend.id == listed[0].id);
        BackendOutcomes { backend: backend.id.clone(), answered: 1, failed }
    };
    let report = ReportOutcomes { outcomes: listed.iter().map(outcomes).collect() };
    for _ in 0..4 {
        context.client.call(core.place, &report, deadline()).await.expect("it is taken");
    }
    let ejected = ListedBackend { ejected: true, ..listed[0].clone() };
    let expected = BackendsItem::Changes { changed: vec![ejected], gone: Vec::new() };
    assert_eq!(core.next().await, expected);
}

/// A list without back ends.
struct EmptyList;

#[async_trait]
impl BackendSource for EmptyList {
    async fn read(&self) -> Result<Vec<ListedBackend>, SourceError> {
        Ok(Vec::new())
    }
}

/// A core's reader that has read `source` once, and what a follower hears of it.
struct ReadOnce {
    place: SocketAddr,
    identity: LocalIdentity,
    bundle: watch::Sender<Option<Arc<InstalledBundle>>>,
    items: ItemStream<BackendsItem>,
}

async fn read_once(
    context: &NodeContext,
    network: u8,
    source: impl BackendSource + 'static,
) -> ReadOnce {
    let own: SocketAddr = format!("127.{network}.0.200:0").parse().expect("an address");
    let listener = RpcServer::bind(own).await.expect("loopback");
    let place: SocketAddr = listener.local_addr().expect("bound");
    let mut address = context.identity.address.clone();
    (address.node, address.rpc) = (NodeId(1), place);
    let identity = LocalIdentity::new(address, SECRET);
    let (bundle, installed) = watch::channel(None);
    let reader = BackendReader::default();
    let server = RpcServer::new(listener, identity.clone(), reader.rpc_router(installed));
    tokio::spawn(server.run(CancellationToken::new()));
    let reading = context.clone();
    // The next reading is an hour away.
    tokio::spawn(async move {
        reader.run(&reading, &source, Duration::from_secs(3_600)).await;
    });
    let request = WatchBackends { from: context.identity.address.clone() };
    let items = context.client.open(place, &request, deadline()).await.expect("it opens");
    ReadOnce { place, identity, bundle, items }
}

impl ReadOnce {
    async fn next(&mut self) -> BackendsItem {
        let item = timeout(PATIENCE, self.items.next()).await.expect("in time");
        item.expect("an item").expect("no end")
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_follower_hears_of_a_new_bundle_without_waiting_for_the_next_reading() {
    let cluster = Cluster::new(21).await;
    let follower = cluster.start(NodeRole::Core, &[]).await;
    let context = follower.context.clone();
    let mut core = read_once(&context, 21, EmptyList).await;
    assert_eq!(core.next().await, BackendsItem::Whole(Vec::new()));
    core.identity.bundles.set_installed(BundleVersion(7));
    core.bundle.send_replace(None);
    let nothing = BackendsItem::Changes { changed: Vec::new(), gone: Vec::new() };
    assert_eq!(core.next().await, nothing);
    assert_eq!(*context.identity.bundles.watch_newest().borrow(), BundleVersion(7));
}
