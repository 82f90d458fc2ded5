//! A hollow node: the real node agent, RPC server and lease keeper, without the work of its role.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use hooklug_control::{NodeAgent, NodeHandle};
use hooklug_engine::lease::LeaseKeeper;
use hooklug_protocol::control::{NodeAddress, SessionHostInfo};
use hooklug_rpc::{LocalIdentity, RpcClient, RpcServer, TrafficCounts};
use hooklug_store::StoreClient;
use hooklug_types::{
    BundleVersion, EngineId, EngineIncarnation, EngineLoad, Incarnation, NodeId, NodeRole,
    ServiceName, ServiceVersion, ZoneName,
};
use rand::RngExt;
use tokio_util::sync::CancellationToken;

use super::access::ClusterAccess;

/// Third octet of the first hollow node's address in `127.0.0.0/16`, which fleets never use.
const FIRST_OCTET: usize = 16;
/// Hollow nodes per /24 network.
const NODES_PER_NETWORK: usize = 250;
/// Number of zones that hollow nodes are spread over (requirement: 7).
const ZONES: usize = 7;
/// Number of services that hollow engines are spread over (requirement: 10 models).
const SERVICES: usize = 10;
/// Number of slots that a hollow engine reports.
const SLOTS: u32 = 64;

/// A running hollow node. Dropping it stops it without a drain, as a kill does.
#[derive(Debug)]
pub(crate) struct HollowNode {
    identity: LocalIdentity,
    /// Handle of the node's agent.
    pub(crate) handle: NodeHandle,
    shutdown: CancellationToken,
}

/// Number and role of a hollow node, which stay the same over its restarts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HollowNodeSpec {
    /// Number of the node among all hollow nodes.
    pub(crate) index: usize,
    /// Role of the node.
    pub(crate) role: NodeRole,
}

impl HollowNodeSpec {
    fn ip(self) -> IpAddr {
        let network = u8::try_from(FIRST_OCTET + self.index / NODES_PER_NETWORK);
        let host = u8::try_from(1 + self.index % NODES_PER_NETWORK);
        IpAddr::V4(Ipv4Addr::new(127, 0, network.unwrap_or(u8::MAX), host.unwrap_or(u8::MAX)))
    }

    fn engine(self) -> anyhow::Result<EngineId> {
        Ok(EngineId::new(format!("hollow-{}", self.index))?)
    }

    fn session_host_info(self) -> anyhow::Result<Option<SessionHostInfo>> {
        if self.role != NodeRole::Engine {
            return Ok(None);
        }
        Ok(Some(SessionHostInfo {
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
    /// Starts the node with a new node id and incarnation.
    pub(crate) async fn start(
        spec: HollowNodeSpec,
        access: &ClusterAccess,
    ) -> anyhow::Result<Self> {
        let listener = RpcServer::bind(SocketAddr::new(spec.ip(), 0)).await?;
        let rpc = listener.local_addr()?;
        let mut settings = access.settings.clone();
        settings.rpc = rpc;
        settings.http = SocketAddr::new(spec.ip(), 1);
        settings.zone = ZoneName::new(format!("z{}", 1 + spec.index % ZONES))?;
        settings.seeds = access.seeds(spec.index);
        let address = NodeAddress {
            node: NodeId(rand::rng().random()),
            incarnation: Incarnation::at_start(),
            role: spec.role,
            rpc,
            http: settings.http,
            zone: settings.zone.clone(),
        };
        let identity = LocalIdentity::new(address, settings.cluster_secret.reveal());
        let client = RpcClient::new(identity.clone());
        let (handle, channels) = NodeHandle::new();
        let state = Arc::new(StoreClient::new(client.clone(), handle.stores.clone()));
        let agent = NodeAgent::new(
            &settings,
            identity.clone(),
            client,
            state.clone(),
            channels,
            handle.statistics.clone(),
            handle.readiness.clone(),
        );
        let shutdown = CancellationToken::new();
        let node = Self { identity: identity.clone(), handle, shutdown: shutdown.clone() };
        tokio::spawn(RpcServer::new(listener, identity, agent.rpc_router()).run(shutdown.clone()));
        tokio::spawn(agent.run(shutdown.clone()));
        if let Some(host_info) = spec.session_host_info()? {
            node.report_engine(host_info, state);
        }
        Ok(node)
    }

    /// Reports an engine and renews its lease, as a real engine does.
    fn report_engine(&self, host_info: SessionHostInfo, state: Arc<StoreClient>) {
        let incarnation = self.identity.address.incarnation;
        let holder = EngineIncarnation { engine: host_info.engine.clone(), incarnation };
        let shutdown = self.shutdown.clone();
        tokio::spawn(async move { LeaseKeeper::new(state, holder).run(shutdown, || {}).await });
        self.handle.report.send_modify(|report| {
            report.engine = Some(host_info);
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

    /// Toggles the reported draining state of the engine, which changes the view.
    pub(crate) fn toggle_draining(&self) {
        self.handle.report.send_modify(|report| {
            if let Some(engine) = &mut report.engine {
                engine.draining = !engine.draining;
            }
        });
    }

    /// Returns the traffic of all RPC connections of the node, including its lease renewals.
    pub(crate) fn traffic(&self) -> TrafficCounts {
        self.identity.traffic.counts()
    }

    /// Returns the number of live members in the node's view.
    pub(crate) fn members_seen(&self) -> usize {
        self.handle.view.borrow().members.len()
    }

    /// Waits until this bundle version, or a newer one, is active on the node.
    pub(crate) async fn wait_installed(&self, version: BundleVersion) {
        let mut bundle = self.handle.bundle.clone();
        let is_installed = |b: &Option<Arc<hooklug_control::InstalledBundle>>| {
            b.as_ref().is_some_and(|b| b.record.version >= version)
        };
        // Cannot fail: the agent holds the sender until this node is dropped.
        let _ = bundle.wait_for(is_installed).await;
    }
}

impl Drop for HollowNode {
    fn drop(&mut self) {
        self.shutdown.cancel();
    }
}
