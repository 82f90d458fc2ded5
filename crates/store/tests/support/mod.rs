//! Complete stores in one process, with real sockets and disks.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use hooklug_protocol::control::NodeAddress;
use hooklug_rpc::{LinkFault, LocalIdentity, RpcClient, RpcServer};
use hooklug_settings::{Secret, Settings, StoreSettings};
use hooklug_state::shard::{PutProgram, ShardCommand, ShardReply};
use hooklug_store::{StateAccess, Store, StoreClient, StoreError, StoreHandle, load_node_id};
use hooklug_types::{
    GroupId, Incarnation, NodeId, NodeRole, ProgramId, RegionName, TenantId, TokenCount,
    UnixMillis, ZoneName, shard_of,
};
use hooklug_wal::{Files, OsFiles};
use tempfile::TempDir;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub const SECRET: &str = "a secret of the tests";

/// How long a test waits for a condition before it fails; far longer than any condition should
/// need.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

pub struct Running {
    pub handle: StoreHandle,
    pub identity: LocalIdentity,
    stop: CancellationToken,
    server: JoinHandle<()>,
    pub store: JoinHandle<Result<(), StoreError>>,
}

pub struct TestStore {
    pub folder: TempDir,
    pub address: SocketAddr,
    pub zone: ZoneName,
    pub running: Option<Running>,
    pub files: Arc<dyn Files>,
}

pub struct TestCluster {
    pub stores: Vec<TestStore>,
    pub seeds: Vec<SocketAddr>,
    pub options: StoreSettings,
}

/// Returns an address that no other store of any test uses, since links are blocked by IP address
/// and the port must remain free while the store is down.
pub async fn free_address() -> SocketAddr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let number = TAKEN.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() % 200;
    let ip = Ipv4Addr::from(0x7f00_0000 + ((process + 2) << 16) + number + 1);
    let listener = RpcServer::bind(SocketAddr::new(ip.into(), 0)).await.unwrap();
    listener.local_addr().unwrap()
}

pub fn fast_options() -> StoreSettings {
    StoreSettings { tick_ms: 20, ..StoreSettings::default() }
}

impl TestCluster {
    /// Creates stores without starting them, each in a separate zone.
    pub async fn new(count: usize, options: StoreSettings) -> Self {
        let mut cluster = Self { stores: Vec::new(), seeds: Vec::new(), options };
        for _ in 0..count {
            cluster.add().await;
        }
        cluster.seeds = cluster.stores.iter().take(3).map(|s| s.address).collect();
        cluster
    }

    /// Adds a store without starting it; returns its number.
    pub async fn add(&mut self) -> usize {
        let number = self.stores.len();
        let zone = ZoneName::new(format!("zone-{number}")).unwrap();
        let folder = tempfile::tempdir().unwrap();
        let (address, files) = (free_address().await, Arc::new(OsFiles));
        self.stores.push(TestStore { folder, address, zone, running: None, files });
        number
    }

    /// Creates and starts stores, and waits until every group has a leader.
    pub async fn formed(count: usize, options: StoreSettings) -> Self {
        let mut cluster = Self::new(count, options).await;
        for number in 0..count {
            cluster.start(number).await;
        }
        cluster.until_formed().await;
        cluster
    }

    pub async fn until_formed(&self) {
        until("the cluster is formed", async || {
            let mut clusters = Vec::new();
            for store in self.stores.iter().filter_map(|s| s.running.as_ref()) {
                clusters.push(store.handle.cluster());
                if !store.handle.is_ready().await {
                    return false;
                }
            }
            clusters.iter().all(|cluster| *cluster != 0 && *cluster == clusters[0])
        })
        .await;
    }

    pub async fn start(&mut self, number: usize) {
        let settings = self.settings(number);
        let store = &mut self.stores[number];
        let listener = bind(store.address).await;
        let node = load_node_id(store.folder.path()).unwrap();
        let identity = LocalIdentity::new(address(node, store), SECRET);
        let client = RpcClient::new(identity.clone());
        let files = store.files.clone();
        let opened = Store::open_with(Arc::new(settings), identity.clone(), client, files).unwrap();
        let (handle, stop) = (opened.handle(), CancellationToken::new());
        let server = RpcServer::new(listener, identity.clone(), opened.rpc_router());
        let server = tokio::spawn(server.run(stop.clone()));
        let store_task = tokio::spawn(opened.run(stop.clone()));
        store.running = Some(Running { handle, identity, stop, server, store: store_task });
    }

    pub fn address_of(&self, number: usize, node: NodeId) -> NodeAddress {
        address(node, &self.stores[number])
    }

    pub fn settings(&self, number: usize) -> Settings {
        let store = &self.stores[number];
        Settings {
            rpc: store.address,
            http: store.address,
            zone: store.zone.clone(),
            region: RegionName::new("local").unwrap(),
            seeds: self.seeds.clone(),
            data_folder: Some(store.folder.path().to_owned()),
            cluster_secret: Secret::new(SECRET),
            grace_ms: 10_000,
            enable_faults: true,
            store: self.options.clone(),
            engine: None,
            gateway: Default::default(),
            core: Default::default(),
            operators: Default::default(),
        }
    }

    /// Stops a store immediately, as if its process were killed.
    pub async fn kill(&mut self, number: usize) {
        let running = self.stores[number].running.take().expect("the store runs");
        running.store.abort();
        running.handle.crash().await;
        running.stop.cancel();
        running.server.await.unwrap();
        let _ = running.store.await;
    }

    /// Shuts a store down gracefully.
    pub async fn stop(&mut self, number: usize) {
        let running = self.stores[number].running.take().expect("the store runs");
        running.stop.cancel();
        running.store.await.unwrap().unwrap();
        running.server.await.unwrap();
    }

    /// Replaces the disk of a store that is not running by an empty one.
    pub fn lose_disk(&mut self, number: usize) {
        assert!(self.stores[number].running.is_none());
        self.stores[number].folder = tempfile::tempdir().unwrap();
    }

    pub fn handle(&self, number: usize) -> &StoreHandle {
        &self.stores[number].running.as_ref().expect("the store runs").handle
    }

    pub fn node(&self, number: usize) -> NodeId {
        self.stores[number].running.as_ref().expect("the store runs").identity.address.node
    }

    /// Blocks or restores the traffic from one store to another.
    pub fn cut(&self, from: usize, to: usize, cut: bool) {
        let faults = &self.stores[from].running.as_ref().expect("the store runs").identity.faults;
        let mut links = faults.get();
        links.insert(self.stores[to].address.ip(), LinkFault { cut, delay_micros: 0 });
        faults.set(links);
    }

    /// Partitions a store from all others in both directions, or ends the partition.
    pub fn isolate(&self, number: usize, cut: bool) {
        for other in (0..self.stores.len()).filter(|other| *other != number) {
            if self.stores[other].running.is_some() {
                self.cut(number, other, cut);
                self.cut(other, number, cut);
            }
        }
    }

    /// Returns a client that is on no store's node and knows all stores.
    pub fn client(&self) -> StoreClient {
        self.client_of(&(0..self.stores.len()).collect::<Vec<_>>())
    }

    /// Returns a client that knows only the given stores.
    pub fn client_of(&self, numbers: &[usize]) -> StoreClient {
        let stores = numbers.iter().map(|number| self.stores[*number].address).collect();
        let (_, watch) = watch::channel(stores);
        StoreClient::new(rpc_client(), watch)
    }

    /// Returns the number of the store that leads a group, if exactly one running store claims to.
    pub async fn leader(&self, group: GroupId) -> Option<usize> {
        let mut leader = None;
        for (number, store) in self.stores.iter().enumerate() {
            let Some(running) = &store.running else { continue };
            let replicas = running.handle.replicas().await;
            if replicas.iter().any(|r| r.group == group && r.role == hooklug_raft::Role::Leader) {
                if leader.is_some() {
                    return None;
                }
                leader = Some(number);
            }
        }
        leader
    }

    pub async fn until_leader(&self, group: GroupId) -> usize {
        until("the group has a leader", async || self.leader(group).await.is_some()).await;
        self.leader(group).await.expect("just seen")
    }

    /// Waits until all replicas of a group have applied the same entries, and checks that their
    /// digests are equal.
    pub async fn assert_equal_digests(&self, group: GroupId) {
        until("all replicas have the same state", async || {
            let mut digests = Vec::new();
            for running in self.stores.iter().filter_map(|s| s.running.as_ref()) {
                digests.extend(running.handle.digest(group).await);
            }
            let newest = digests.iter().map(|d| d.applied).max();
            let all_applied = digests.iter().all(|d| Some(d.applied) == newest);
            if all_applied {
                assert!(digests.iter().all(|d| d.digest == digests[0].digest), "{digests:?}");
            }
            all_applied && digests.len() > 1
        })
        .await;
    }
}

/// Binds an address, with retries, since a former run may only just be releasing it.
async fn bind(address: SocketAddr) -> tokio::net::TcpListener {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        match RpcServer::bind(address).await {
            Ok(listener) => return listener,
            Err(error) => assert!(Instant::now() < deadline, "{address}: {error}"),
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

fn address(node: NodeId, store: &TestStore) -> NodeAddress {
    NodeAddress {
        node,
        incarnation: Incarnation::at_start(),
        role: NodeRole::Store,
        rpc: store.address,
        http: store.address,
        zone: store.zone.clone(),
    }
}

pub fn rpc_client() -> RpcClient {
    let own: SocketAddr = "127.0.0.1:1".parse().unwrap();
    let address = NodeAddress {
        node: NodeId(1),
        incarnation: Incarnation::at_start(),
        role: NodeRole::Gateway,
        rpc: own,
        http: own,
        zone: ZoneName::new("zone-0").unwrap(),
    };
    RpcClient::new(LocalIdentity::new(address, SECRET))
}

/// Waits until a condition holds.
pub async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds().await {
        assert!(Instant::now() < deadline, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Returns a deadline for requests that should succeed.
pub fn soon() -> Instant {
    Instant::now() + TEST_TIMEOUT
}

pub fn program(name: &str) -> ProgramId {
    ProgramId::new(name).unwrap()
}

pub fn put(name: &str) -> ShardCommand {
    ShardCommand::PutProgram(PutProgram {
        program: program(name),
        tenant: TenantId::new("tenant").unwrap(),
        group: None,
        token_budget: TokenCount(1_000),
        end_time: UnixMillis::now().plus(Duration::from_secs(86_400)),
    })
}

/// Puts a program and waits for the acknowledgement.
pub async fn put_program(client: &StoreClient, name: &str) {
    let reply = client.execute_shard(shard_of(name), &put(name), soon()).await;
    let reply = reply.unwrap_or_else(|error| panic!("{name}: {error}"));
    assert!(matches!(reply, ShardReply::Program(_)), "{reply:?}");
}

/// Returns whether a program exists, by a linearizable read.
pub async fn has_program(client: &StoreClient, name: &str) -> bool {
    use hooklug_state::shard::{ShardAnswer, ShardQuery};
    let query = ShardQuery::Program(program(name));
    let answer = client.query_shard(shard_of(name), &query, soon()).await.unwrap();
    matches!(answer, ShardAnswer::Program(Some(_)))
}
