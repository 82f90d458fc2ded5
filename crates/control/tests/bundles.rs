//! Distribution of bundles to nodes whose sources are unresponsive, outdated or busy.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use common::{Cluster, SECRET, bundle, deadline, eventually};
use hooklug_bundle::{Bundle, section_digests, tenant_section};
use hooklug_protocol::control::{Discover, FetchSection, NodeAddress};
use hooklug_rpc::{LocalIdentity, Router, RpcServer};
use hooklug_types::{BundleVersion, Digest, Incarnation, NodeId, NodeRole, TenantId, ZoneName};
use tokio_util::sync::CancellationToken;

/// Counts the requests in flight for one section, and records whether there ever were two.
#[derive(Debug)]
struct RequestCounter {
    section: Digest,
    in_flight: AtomicUsize,
    overlapped: AtomicBool,
}

impl RequestCounter {
    fn start(self: Arc<Self>, digest: Digest) -> Option<InFlight> {
        if digest != self.section {
            return None;
        }
        if self.in_flight.fetch_add(1, Ordering::SeqCst) > 0 {
            self.overlapped.store(true, Ordering::SeqCst);
        }
        Some(InFlight(self))
    }
}

/// A request that ends when the requester no longer waits.
struct InFlight(Arc<RequestCounter>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Starts a fake core that accepts requests for sections and never replies.
async fn unresponsive_core(ip: IpAddr, counter: &Arc<RequestCounter>) -> NodeAddress {
    let listener = RpcServer::bind(SocketAddr::new(ip, 0)).await.expect("loopback");
    let address = NodeAddress {
        node: NodeId(rand::random()),
        incarnation: Incarnation::at_start(),
        role: NodeRole::Core,
        rpc: listener.local_addr().expect("bound"),
        http: SocketAddr::new(ip, 1),
        zone: ZoneName::new("z1").expect("valid"),
    };
    let counter = counter.clone();
    let router = Router::new().route(move |_peer, request: FetchSection| {
        let in_flight_request = counter.clone().start(request.digest);
        async move {
            let _guard = in_flight_request;
            std::future::pending::<Option<Vec<u8>>>().await
        }
    });
    let identity = LocalIdentity::new(address.clone(), SECRET);
    tokio::spawn(RpcServer::new(listener, identity, router).run(CancellationToken::new()));
    address
}

/// Guards against bundles that are installed late because nodes wait for one unresponsive source
/// after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn an_unresponsive_section_source_does_not_delay_a_bundle() {
    let cluster = Cluster::new(41).await;
    let node = cluster.start(NodeRole::Gateway, &[]).await;
    eventually("a quorum has replied", || node.context.node.reach.borrow().newest_bundle).await;
    let bundle = bundle(1, "tenant");
    let tenant = tenant_section(&TenantId::new("tenant").expect("valid"));
    let counter = Arc::new(RequestCounter {
        section: section_digests(&bundle)[&tenant],
        in_flight: AtomicUsize::new(0),
        overlapped: AtomicBool::new(false),
    });
    for last in 200..204 {
        let address =
            unresponsive_core(IpAddr::V4(Ipv4Addr::new(127, 41, 0, last)), &counter).await;
        let discover = Discover { from: address };
        node.context.client.call(node.rpc(), &discover, deadline()).await.expect("a reply");
    }
    cluster.submit_accepted(&bundle).await;
    node.context.identity.bundles.observe(BundleVersion(1));
    eventually("installed", || node.installed() == BundleVersion(1)).await;
    assert!(
        counter.overlapped.load(Ordering::SeqCst),
        "the next source was queried only after the unresponsive one"
    );
}

/// Number of routes of a large deployment.
const ROUTES: u64 = 300;

/// Creates a bundle of many routes with the operators' source text, in which one route has a
/// different timeout in each version.
fn large_bundle(version: u64) -> Bundle {
    let route = |number: u64| {
        let timeout_ms = if number == 7 { 1_000 + version } else { 1_000 };
        serde_json::json!({
            "host": format!("host-{number}.example"), "path_prefix": "/", "repeat": "once", "streaming": false,
            "keep_ms": null, "timeout_ms": timeout_ms, "target_latency_ms": 200, "priority": 1,
            "max_attempts": 1, "sticky": false, "backends": [{"service": "alarms", "weight": 1}]
        })
    };
    let routes: serde_json::Map<String, serde_json::Value> =
        (0..ROUTES).map(|number| (format!("route-{number}"), route(number))).collect();
    let document = serde_json::to_string(&routes).expect("plain data");
    let http = serde_json::json!({ "routes": routes, "services": {}, "document": document });
    Bundle {
        version: BundleVersion(version),
        base: BundleVersion(version - 1),
        http: Some(serde_json::from_value(http).expect("routing")),
        ..Bundle::default()
    }
}

/// Guards against links saturated by sending the full configuration to each node for each change of
/// one route.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_fetches_only_changed_sections() {
    let cluster = Cluster::new(42).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    let node = cluster.start(NodeRole::Gateway, &[core.rpc()]).await;
    let received = || node.context.identity.traffic.counts().received_bytes;
    let full_size = hooklug_bundle::canonical_bytes(&large_bundle(1)).len() as u64;
    cluster.submit_accepted(&large_bundle(1)).await;
    core.context.identity.bundles.observe(BundleVersion(1));
    eventually("the first is installed", || node.installed() == BundleVersion(1)).await;
    let before = received();
    cluster.submit_accepted(&large_bundle(2)).await;
    core.context.identity.bundles.observe(BundleVersion(2));
    eventually("the second is installed", || node.installed() == BundleVersion(2)).await;
    let bytes = received() - before;
    assert!(bytes < full_size / 4, "{bytes} bytes for a change in {full_size}");
    let installed = node.context.node.bundle.borrow().clone().expect("installed");
    let routes = &installed.bundle.http.as_ref().expect("routing").routes;
    assert_eq!(*routes, large_bundle(2).http.expect("routing").routes);
}

/// Guards against restarted nodes that install an older bundle than their previous run had, because
/// a lagging core reported it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_starting_node_installs_no_bundle_before_a_quorum_confirms_the_newest() {
    let cluster = Cluster::new(43).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    cluster.submit_accepted(&bundle(1, "old")).await;
    core.context.identity.bundles.observe(BundleVersion(1));
    eventually("the core has it", || core.installed() == BundleVersion(1)).await;
    let node = cluster.start_without_stores(NodeRole::Gateway, &[core.rpc()]).await;
    let reported = |version| {
        let view = node.view();
        view.meta.bundle.as_ref().is_some_and(|record| record.version == BundleVersion(version))
    };
    eventually("the core reports the first", || reported(1)).await;
    let mut installed = node.context.node.bundle.clone();
    cluster.submit_accepted(&bundle(2, "new")).await;
    core.context.identity.bundles.observe(BundleVersion(2));
    eventually("the core reports the second", || reported(2)).await;
    assert_eq!(node.installed(), BundleVersion(0), "no quorum has confirmed that it is the newest");
    node.state.set_unreachable(false);
    installed.changed().await.expect("the node runs");
    assert_eq!(node.installed(), BundleVersion(2));
}
