//! One hollow node: the real node agent, rpc server and lease keeper, without a role's work.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use hooklug_control::{NodeAgent, NodeHandle};
use hooklug_engine::lease::LeaseKeeper;
use hooklug_protocol::control::{HostedEngine, NodeAddress};
use hooklug_rpc::{LocalIdentity, RpcClient, RpcServer, TrafficCounts};
use hooklug_store::StoreClient;
use hooklug_types::{
    BundleVersion, EngineId, EngineIncarnation, EngineLoad, Incarnation, NodeId, NodeRole,
    ServiceName, ServiceVersion, ZoneName,
};
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use super::access::Access;

/// Second half of the addresses of hollow nodes begins here; fleets never use `127.0.*`.
const FIRST_NETWORK: usize = 16;
/// Hollow nodes in one network of 256 addresses.
const NODES_A_NETWORK: usize = 250;
/// Zones that hollow nodes are spread over (letter: 7).
const ZONES: usize = 7;
/// Services that hollow engines are spread over (letter: 10 models).
const SERVICES: usize = 10;
/// Slots that a hollow engine tells of.
const SLOTS: u32 = 64;

/// A hollow node. Dropping it ends it as a kill does.
#[derive(Debug)]
pub(crate) struct HollowNode {
    identity: LocalIdentity,
    /// What its agent feeds.
    pub(crate) handle: NodeHandle,
    halt: CancellationToken,
}

/// Place and role of a hollow node, the same over its restarts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HollowPlace {
    /// Its number among all hollow nodes.
    pub(crate) index: usize,
    /// Its role.
    pub(crate) role: NodeRole,
}

impl HollowPlace {
    fn ip(self) -> IpAddr {
        let network = u8::try_from(FIRST_NETWORK + self.index / NODES_A_NETWORK);
        let host = u8::try_from(1 + self.index % NODES_A_NETWORK);
        IpAddr::V4(Ipv4Addr::new(127, 0, network.unwrap_or(u8::MAX), host.unwrap_or(u8::MAX)))
    }

    fn engine(self) -> anyhow::Result<EngineId> {
        Ok(EngineId::new(format!("hollow-{}", self.index))?)
    }

    fn hosted(self) -> anyhow::Result<Option<HostedEngine>> {
        if self.role != NodeRole::Engine {
            return Ok(None);
        }
        Ok(Some(HostedEngine {
            engine: self.engine()?,
            service: ServiceName::new(format!("model-{}", self.index % SERVICES))?,
            version: ServiceVersion::new("v1")?,
            ready: true,
            draining: false,
            slots: SLOTS,
        }))
    }
}

impl HollowNode {
    /// Starts a node with a new node id and incarnation.
    pub(crate) async fn start(place: HollowPlace, access: &Access) -> anyhow::Result<Self> {
        let listener = RpcServer::bind(SocketAddr::new(place.ip(), 0)).await?;
        let rpc = listener.local_addr()?;
        let mut settings = access.settings.clone();
        settings.rpc = rpc;
        settings.http = SocketAddr::new(place.ip(), 1);
        settings.zone = ZoneName::new(format!("z{}", 1 + place.index % ZONES))?;
        settings.seeds = access.seeds(place.index);
        let address = NodeAddress {
            node: NodeId(rand::rng().random()),
            incarnation: Incarnation::at_start(),
            role: place.role,
            rpc,
            http: settings.http,
            zone: settings.zone.clone(),
        };
        let identity = LocalIdentity::new(address, settings.cluster_secret.reveal());
        let client = RpcClient::new(identity.clone());
        let (handle, feeds) = NodeHandle::new();
        let state = Arc::new(StoreClient::new(client.clone(), handle.stores.clone()));
        let agent = NodeAgent::new(
            &settings,
            identity.clone(),
            client,
            state.clone(),
            feeds,
            handle.statistics.clone(),
            handle.readiness.clone(),
        );
        let halt = CancellationToken::new();
        let node = Self { identity: identity.clone(), handle, halt: halt.clone() };
        tokio::spawn(RpcServer::new(listener, identity, agent.rpc_router()).run(halt.clone()));
        tokio::spawn(agent.run(halt.clone()));
        if let Some(hosted) = place.hosted()? {
            node.host(hosted, state);
        }
        Ok(node)
    }

    /// Tells of an engine and keeps its lease, as a real one does.
    fn host(&self, hosted: HostedEngine, state: Arc<StoreClient>) {
        let incarnation = self.identity.address.incarnation;
        let holder = EngineIncarnation { engine: hosted.engine.clone(), incarnation };
        let halt = self.halt.clone();
        tokio::spawn(async move { LeaseKeeper::new(state, holder).run(halt, || {}).await });
        self.handle.report.send_modify(|report| {
            report.engine = Some(hosted);
            report.load = Some(EngineLoad {
                slots: SLOTS,
                running: 0,
                queued: 0,
                sessions: 0,
                draining: false,
                bundle: BundleVersion(0),
            });
        });
    }

    /// Changes what the node tells of its engine, so that the view changes.
    pub(crate) fn turn_draining(&self) {
        self.handle.report.send_modify(|report| {
            if let Some(engine) = &mut report.engine {
                engine.draining = !engine.draining;
            }
        });
    }

    /// What its rpc connections carried, its lease included.
    pub(crate) fn traffic(&self) -> TrafficCounts {
        self.identity.traffic.counts()
    }

    /// Living members in its view.
    pub(crate) fn members_seen(&self) -> usize {
        self.handle.view.borrow().members.len()
    }

    /// Waits until a bundle version, or a newer one, is in force here.
    pub(crate) async fn installed(&self, version: BundleVersion) {
        let mut bundle = self.handle.bundle.clone();
        let there = |b: &Option<Arc<hooklug_control::InstalledBundle>>| {
            b.as_ref().is_some_and(|b| b.record.version >= version)
        };
        // The agent holds the sender until this node is dropped.
        let _ = bundle.wait_for(there).await;
    }
}

impl Drop for HollowNode {
    fn drop(&mut self) {
        self.halt.cancel();
    }
}
