//! How bundles come to nodes whose sources are silent, old or busy.

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

/// How many silent sources are being asked for one section, and whether two ever were at once.
#[derive(Debug)]
struct Asked {
    section: Digest,
    under_way: AtomicUsize,
    twice: AtomicBool,
}

impl Asked {
    fn begin(self: Arc<Self>, digest: Digest) -> Option<Question> {
        if digest != self.section {
            return None;
        }
        if self.under_way.fetch_add(1, Ordering::SeqCst) > 0 {
            self.twice.store(true, Ordering::SeqCst);
        }
        Some(Question(self))
    }
}

/// A question that ends when its asker no longer waits.
struct Question(Arc<Asked>);

impl Drop for Question {
    fn drop(&mut self) {
        self.0.under_way.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A core that takes questions for sections and never answers.
async fn silent_core(ip: IpAddr, asked: &Arc<Asked>) -> NodeAddress {
    let listener = RpcServer::bind(SocketAddr::new(ip, 0)).await.expect("loopback");
    let address = NodeAddress {
        node: NodeId(rand::random()),
        incarnation: Incarnation::at_start(),
        role: NodeRole::Core,
        rpc: listener.local_addr().expect("bound"),
        http: SocketAddr::new(ip, 1),
        zone: ZoneName::new("z1").expect("valid"),
    };
    let asked = asked.clone();
    let router = Router::new().route(move |_peer, request: FetchSection| {
        let question = asked.clone().begin(request.digest);
        async move {
            let _question = question;
            std::future::pending::<Option<Vec<u8>>>().await
        }
    });
    let identity = LocalIdentity::new(address.clone(), SECRET);
    tokio::spawn(RpcServer::new(listener, identity, router).run(CancellationToken::new()));
    address
}

/// Guards against bundles that come into force late because nodes wait for one silent source after the other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_silent_source_of_sections_does_not_hold_a_bundle_up() {
    let cluster = Cluster::new(41).await;
    let node = cluster.start(NodeRole::Gateway, &[]).await;
    eventually("a quorum was asked", || node.context.node.reach.borrow().newest_bundle).await;
    let bundle = bundle(1, "tenant");
    let tenant = tenant_section(&TenantId::new("tenant").expect("valid"));
    let asked = Arc::new(Asked {
        section: section_digests(&bundle)[&tenant],
        under_way: AtomicUsize::new(0),
        twice: AtomicBool::new(false),
    });
    for last in 200..204 {
        let address = silent_core(IpAddr::V4(Ipv4Addr::new(127, 41, 0, last)), &asked).await;
        let discover = Discover { from: address };
        node.context.client.call(node.rpc(), &discover, deadline()).await.expect("an answer");
    }
    cluster.submit_accepted(&bundle).await;
    node.context.identity.bundles.saw(BundleVersion(1));
    eventually("in force", || node.installed() == BundleVersion(1)).await;
    assert!(asked.twice.load(Ordering::SeqCst), "the next source waited for the silent one's end");
}

/// Routes of a large deployment.
const ROUTES: u64 = 300;

/// A bundle of many routes with the operators' text, in which one route has another time limit in each version.
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

/// Guards against links that are filled by a whole configuration to each node for each change of one route.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_fetches_what_a_change_touched() {
    let cluster = Cluster::new(42).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    let node = cluster.start(NodeRole::Gateway, &[core.rpc()]).await;
    let received = || node.context.identity.traffic.counts().received_bytes;
    let whole = hooklug_bundle::canonical_bytes(&large_bundle(1)).len() as u64;
    cluster.submit_accepted(&large_bundle(1)).await;
    core.context.identity.bundles.saw(BundleVersion(1));
    eventually("the first is in force", || node.installed() == BundleVersion(1)).await;
    let before = received();
    cluster.submit_accepted(&large_bundle(2)).await;
    core.context.identity.bundles.saw(BundleVersion(2));
    eventually("the second is in force", || node.installed() == BundleVersion(2)).await;
    let bytes = received() - before;
    assert!(bytes < whole / 4, "{bytes} bytes for a change in {whole}");
    let installed = node.context.node.bundle.borrow().clone().expect("installed");
    let routes = &installed.bundle.http.as_ref().expect("routing").routes;
    assert_eq!(*routes, large_bundle(2).http.expect("routing").routes);
}

/// Guards against restarted nodes that act on an older bundle than their former run, since a core that lags told them of it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_node_that_starts_installs_nothing_before_a_quorum_has_told_it_the_newest() {
    let cluster = Cluster::new(43).await;
    let core = cluster.start(NodeRole::Core, &[]).await;
    cluster.submit_accepted(&bundle(1, "old")).await;
    core.context.identity.bundles.saw(BundleVersion(1));
    eventually("the core has it", || core.installed() == BundleVersion(1)).await;
    let node = cluster.start_cut_off_from_stores(NodeRole::Gateway, &[core.rpc()]).await;
    let told = |version| {
        let view = node.view();
        view.meta.bundle.as_ref().is_some_and(|record| record.version == BundleVersion(version))
    };
    eventually("the core tells of the first", || told(1)).await;
    let mut seen = node.context.node.bundle.clone();
    cluster.submit_accepted(&bundle(2, "new")).await;
    core.context.identity.bundles.saw(BundleVersion(2));
    eventually("the core tells of the second", || told(2)).await;
    assert_eq!(node.installed(), BundleVersion(0), "no quorum has said that it is the newest");
    node.state.set_cut(false);
    seen.changed().await.expect("the node runs");
    assert_eq!(node.installed(), BundleVersion(2));
}
