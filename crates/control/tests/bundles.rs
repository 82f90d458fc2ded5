//! How bundles come to nodes whose sources are silent, old or busy.

mod common;

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use common::{Cluster, SECRET, bundle, deadline, eventually};
use hooklug_bundle::{section_digests, tenant_section};
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
