//! An in-process test cluster: real RPC over loopback, with the stores' state in memory.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use hooklug_bundle::Bundle;
use hooklug_control::{Core, NodeAgent, NodeContext, NodeHandle};
use hooklug_protocol::control::{ClusterView, NodeAddress};
use hooklug_protocol::store::{LeaseStatus, LeaseSubject};
use hooklug_rpc::{LocalIdentity, RpcClient, RpcServer};
use hooklug_settings::{
    CoreSettings, GatewaySettings, OperatorSettings, Secret, Settings, StoreSettings,
};
use hooklug_state::meta::{
    BundleContent, BundleRecord, MetaAnswer, MetaCommand, MetaQuery, MetaReply, SubmitBundle,
};
use hooklug_state::shard::{ShardAnswer, ShardCommand, ShardQuery, ShardReply};
use hooklug_store::{MemoryState, StateAccess, Unavailable};
use hooklug_types::{
    BundleVersion, GroupId, Incarnation, NodeId, NodeRole, RegionName, TenantId, ZoneName,
};
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Longest wait for a condition; generous, since it checks no requirement.
pub const WAIT_LIMIT: Duration = Duration::from_secs(60);

pub const SECRET: &str = "a secret of the test cluster";

/// The stores' state as seen by one node; a test can make it unreachable.
#[derive(Debug, Clone)]
pub struct ReachableState {
    inner: MemoryState,
    unreachable: Arc<AtomicBool>,
}

impl ReachableState {
    pub fn new(inner: MemoryState) -> Self {
        Self { inner, unreachable: Arc::default() }
    }

    pub fn set_unreachable(&self, unreachable: bool) {
        self.unreachable.store(unreachable, Ordering::SeqCst);
    }

    async fn wait_reachable(&self, group: GroupId, deadline: Instant) -> Result<(), Unavailable> {
        while self.unreachable.load(Ordering::SeqCst) {
            if Instant::now() >= deadline {
                return Err(Unavailable {
                    group,
                    reason: "made unreachable by the test".to_owned(),
                });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(())
    }
}

#[async_trait]
impl StateAccess for ReachableState {
    async fn execute_shard(
        &self,
        group: GroupId,
        command: &ShardCommand,
        deadline: Instant,
    ) -> Result<ShardReply, Unavailable> {
        self.wait_reachable(group, deadline).await?;
        self.inner.execute_shard(group, command, deadline).await
    }

    async fn query_shard(
        &self,
        group: GroupId,
        query: &ShardQuery,
        deadline: Instant,
    ) -> Result<ShardAnswer, Unavailable> {
        self.wait_reachable(group, deadline).await?;
        self.inner.query_shard(group, query, deadline).await
    }

    async fn execute_meta(
        &self,
        command: &MetaCommand,
        deadline: Instant,
    ) -> Result<MetaReply, Unavailable> {
        self.wait_reachable(hooklug_types::META_GROUP, deadline).await?;
        self.inner.execute_meta(command, deadline).await
    }

    async fn query_meta(
        &self,
        query: &MetaQuery,
        deadline: Instant,
    ) -> Result<MetaAnswer, Unavailable> {
        self.wait_reachable(hooklug_types::META_GROUP, deadline).await?;
        self.inner.query_meta(query, deadline).await
    }

    async fn expire_lease(
        &self,
        group: GroupId,
        subject: LeaseSubject,
        deadline: Instant,
    ) -> Result<LeaseStatus, Unavailable> {
        self.wait_reachable(group, deadline).await?;
        self.inner.expire_lease(group, subject, deadline).await
    }
}

pub struct Node {
    pub context: NodeContext,
    pub state: ReachableState,
    halt: CancellationToken,
}

impl Node {
    pub fn id(&self) -> NodeId {
        self.context.identity.address.node
    }

    pub fn rpc(&self) -> SocketAddr {
        self.context.identity.address.rpc
    }

    pub fn ip(&self) -> IpAddr {
        self.rpc().ip()
    }

    pub fn view(&self) -> Arc<ClusterView> {
        self.context.node.view.borrow().clone()
    }

    pub fn installed(&self) -> BundleVersion {
        self.context.node.bundle.borrow().as_ref().map_or(BundleVersion(0), |b| b.record.version)
    }

    /// Stops the node like a kill, without notifying any other node.
    pub fn kill(&self) {
        self.context.stop.cancel();
        self.halt.cancel();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Cluster {
    pub state: MemoryState,
    next_ip: AtomicU8,
    /// Second octet of the IP addresses, so that the tests of one file use different ones.
    net: u8,
}

impl Cluster {
    /// Creates a formed cluster without nodes.
    pub async fn new(net: u8) -> Self {
        let state = MemoryState::default();
        let form = MetaCommand::Form { cluster: 77, stores: Vec::new(), placements: Vec::new() };
        let reply = state.execute_meta(&form, deadline()).await.expect("in memory");
        assert_eq!(reply, MetaReply::Done);
        Self { state, next_ip: AtomicU8::new(1), net }
    }

    pub async fn start(&self, role: NodeRole, seeds: &[SocketAddr]) -> Node {
        let last = self.next_ip.fetch_add(1, Ordering::SeqCst);
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.net, 0, last));
        let listener = RpcServer::bind(SocketAddr::new(ip, 0)).await.expect("loopback");
        self.start_on(role, seeds, listener, None)
    }

    /// Starts a node that cannot reach the stores until the test allows it.
    pub async fn start_without_stores(&self, role: NodeRole, seeds: &[SocketAddr]) -> Node {
        let last = self.next_ip.fetch_add(1, Ordering::SeqCst);
        let ip = IpAddr::V4(Ipv4Addr::new(127, self.net, 0, last));
        let listener = RpcServer::bind(SocketAddr::new(ip, 0)).await.expect("loopback");
        let state = ReachableState::new(self.state.clone());
        state.set_unreachable(true);
        self.launch(role, seeds, listener, None, state)
    }

    pub fn start_on(
        &self,
        role: NodeRole,
        seeds: &[SocketAddr],
        listener: TcpListener,
        platform_list: Option<String>,
    ) -> Node {
        self.launch(role, seeds, listener, platform_list, ReachableState::new(self.state.clone()))
    }

    fn launch(
        &self,
        role: NodeRole,
        seeds: &[SocketAddr],
        listener: TcpListener,
        platform_list: Option<String>,
        state: ReachableState,
    ) -> Node {
        let rpc = listener.local_addr().expect("bound");
        let settings = Arc::new(settings(rpc, seeds, platform_list));
        let address = NodeAddress {
            node: NodeId(rand::rng().random()),
            incarnation: Incarnation::at_start(),
            role,
            rpc,
            http: SocketAddr::new(rpc.ip(), 1),
            zone: settings.zone.clone(),
        };
        let identity = LocalIdentity::new(address, SECRET);
        let client = RpcClient::new(identity.clone());
        let (node, channels) = NodeHandle::new();
        let context = NodeContext {
            settings: settings.clone(),
            identity: identity.clone(),
            client: client.clone(),
            state: Arc::new(state.clone()),
            node: node.clone(),
            stop: CancellationToken::new(),
        };
        let agent = NodeAgent::new(
            &settings,
            identity.clone(),
            client,
            Arc::new(state.clone()),
            channels,
            node.statistics.clone(),
            node.readiness.clone(),
        );
        let mut router = agent.rpc_router();
        if role == NodeRole::Core {
            let core = Core::new(context.clone());
            router = router.merge(core.rpc_router());
            tokio::spawn(core.run());
        }
        let halt = CancellationToken::new();
        tokio::spawn(RpcServer::new(listener, identity, router).run(halt.clone()));
        tokio::spawn(agent.run(halt.clone()));
        Node { context, state, halt }
    }

    pub async fn submit(&self, bundle: &Bundle) -> MetaReply {
        let command = MetaCommand::SubmitBundle(SubmitBundle {
            version: bundle.version,
            base: bundle.base,
            content: BundleContent::Full(hooklug_bundle::canonical_bytes(bundle)),
            signed_by: Vec::new(),
        });
        self.state.execute_meta(&command, deadline()).await.expect("in memory")
    }

    pub async fn submit_accepted(&self, bundle: &Bundle) -> BundleRecord {
        match self.submit(bundle).await {
            MetaReply::Bundle(record) => record,
            other => panic!("bundle {} was not accepted: {other:?}", bundle.version),
        }
    }
}

pub fn deadline() -> Instant {
    Instant::now() + WAIT_LIMIT
}

/// Creates a bundle based on the previous version; the tenant's name distinguishes it from others.
pub fn bundle(version: u64, tenant: &str) -> Bundle {
    let mut bundle = Bundle {
        version: BundleVersion(version),
        base: BundleVersion(version - 1),
        ..Bundle::default()
    };
    let tenant_settings = serde_json::from_str("{}").expect("all defaults");
    bundle.tenants.insert(TenantId::new(tenant).expect("valid"), tenant_settings);
    bundle
}

fn settings(rpc: SocketAddr, seeds: &[SocketAddr], platform_list: Option<String>) -> Settings {
    Settings {
        rpc,
        http: SocketAddr::new(rpc.ip(), 1),
        zone: ZoneName::new("z1").expect("valid"),
        region: RegionName::new("local").expect("valid"),
        seeds: seeds.to_vec(),
        data_folder: None,
        cluster_secret: Secret::new(SECRET),
        grace_ms: 1_000,
        enable_faults: true,
        store: StoreSettings::default(),
        engine: None,
        gateway: GatewaySettings::default(),
        core: CoreSettings { platform_list, ..CoreSettings::default() },
        operators: OperatorSettings::default(),
    }
}

/// Waits until a condition holds; panics with `what` if it does not within [`WAIT_LIMIT`].
pub async fn eventually(what: &str, condition: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_LIMIT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out waiting for: {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
