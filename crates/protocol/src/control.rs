//! Messages from nodes to cores: discovery, heartbeats, the cluster view and bundle sections.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_state::meta::{BundleRecord, HarmReport, MetaState};
use hooklug_types::{
    BundleVersion, Digest, EngineId, EngineLoad, Incarnation, NodeId, NodeRole, Revision,
    RouteName, ServiceName, ServiceVersion, WindowGroup, ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::copy_on_write::CopyOnWrite;
use crate::member_map::{MemberMap, SharedMember};
use crate::{Method, Request, StreamRequest};

/// Asks a process for the nodes that it knows. The reply lists that process, the stores and cores,
/// and a few other nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Discover {
    /// The requesting node, so that the recipient learns its address.
    pub from: NodeAddress,
}

/// A node's identity and addresses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Node id.
    pub node: NodeId,
    /// Run of the node's process.
    pub incarnation: Incarnation,
    /// Role of the node.
    pub role: NodeRole,
    /// RPC address.
    pub rpc: SocketAddr,
    /// HTTP address.
    pub http: SocketAddr,
    /// Zone of the node.
    pub zone: ZoneName,
}

impl Request for Discover {
    type Reply = Vec<NodeAddress>;
    const METHOD: Method = Method::Discover;
}

/// A node in the cluster view, as reported by cores.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The node's identity and addresses.
    pub address: NodeAddress,
    /// Health of the node, as judged by the core leader.
    pub health: MemberHealth,
    /// Bundle version installed at the node.
    pub bundle: BundleVersion,
    /// Engine details; set for session-host engines.
    pub engine: Option<SessionHostInfo>,
}

/// Health of a node, as judged by the core leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberHealth {
    /// Heartbeats arrive in time.
    Alive,
    /// Heartbeats are overdue.
    Suspect,
    /// The node is considered failed and is about to be removed from the view.
    Dead,
}

/// Details that a session-host engine reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionHostInfo {
    /// Engine id (one per process).
    pub engine: EngineId,
    /// Service that the engine serves.
    pub service: ServiceName,
    /// Version that the engine runs.
    pub version: ServiceVersion,
    /// Whether the engine can accept work: its lease is valid and its model server responds.
    pub ready: bool,
    /// Whether the engine is draining, that is, accepts no new sessions.
    pub draining: bool,
    /// Number of turns that the engine can run concurrently.
    pub slots: u32,
}

/// An application engine; combines its entry in the platform's list with its own report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationEngine {
    /// Engine id, as reported by the engine.
    pub engine: EngineId,
    /// Run of the engine's process, as reported by the engine.
    pub incarnation: Incarnation,
    /// Service that the engine serves, as reported by the engine.
    pub service: ServiceName,
    /// Version that the engine runs.
    pub version: ServiceVersion,
    /// Address on which the engine listens.
    pub address: SocketAddr,
    /// Zone of the engine, from the platform's list.
    pub zone: ZoneName,
    /// Whether the engine is draining, that is, accepts no new work.
    pub draining: bool,
    /// Whether the last probe of the engine succeeded.
    pub healthy: bool,
}

/// The state of the entire cluster, as seen by a core. Copies share the parts that none of them
/// changed.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterView {
    /// Revision of the view; grows with every change, also when the core leader changes (the upper
    /// half is the fencing epoch of the core leader).
    pub revision: Revision,
    /// Nodes, by id.
    pub members: MemberMap,
    /// Application engines, by id.
    pub engines: CopyOnWrite<BTreeMap<EngineId, ApplicationEngine>>,
    /// Stores, placements, the core leader and the record of the newest bundle.
    pub meta: CopyOnWrite<MetaState>,
}

/// A change of the cluster view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A node was added or changed.
    Member(SharedMember),
    /// Only the installed bundle of these nodes changed; one such item replaces a `Member` item per
    /// node.
    BundleInstalled {
        /// The bundle version that is now installed.
        bundle: BundleVersion,
        /// The nodes that installed it.
        nodes: Vec<NodeId>,
    },
    /// A node was removed.
    MemberRemoved(NodeId),
    /// An application engine was added or changed.
    Engine(ApplicationEngine),
    /// An application engine was removed.
    EngineRemoved(EngineId),
    /// The meta state changed.
    Meta(CopyOnWrite<MetaState>),
}

/// Subscribes to the cluster view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchView {
    /// The subscribing node.
    pub from: NodeAddress,
}

/// An item of the cluster view stream: first the full view, then batches of changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ViewItem {
    /// The full view.
    Full(Box<ClusterView>),
    /// Changes from one revision to a later one.
    Changes {
        /// The revision before the changes.
        from: Revision,
        /// The revision after the changes.
        to: Revision,
        /// The changes, in order.
        changes: Vec<ViewChange>,
    },
}

impl StreamRequest for WatchView {
    type Item = ViewItem;
    const METHOD: Method = Method::WatchView;
}

/// Heartbeat of a node, sent once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The node's identity and addresses.
    pub from: NodeAddress,
    /// Bundle version installed at the node.
    pub bundle: BundleVersion,
    /// Engine details; set for session-host engines.
    pub engine: Option<SessionHostInfo>,
    /// Load of the engine; set for session-host engines.
    pub load: Option<EngineLoad>,
    /// Statistics of the versions under observation since the last acknowledged heartbeat; sent by
    /// gateways.
    pub statistics: Vec<VersionStatistics>,
    /// Slot usage by window group; sent by session-host engines.
    pub slot_usage: Vec<SlotUsage>,
}

/// Slot usage of one window group at one engine. Omitted for groups that have neither reserved
/// slots nor turns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUsage {
    /// The window group; `None` for turns without a group.
    pub group: Option<WindowGroup>,
    /// Slots that open windows reserve for the group at this engine.
    pub reserved: u32,
    /// Running turns of the group.
    pub running: u32,
}

/// Slot usage of one window group of a service, summed over all engines; shown to operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSlotUsage {
    /// The service.
    pub service: ServiceName,
    /// The window group; `None` for turns without a group.
    pub group: Option<WindowGroup>,
    /// Number of engines that reported the group.
    pub engines: u32,
    /// Slots that open windows reserve for the group.
    pub reserved: u32,
    /// Running turns of the group.
    pub used: u32,
    /// Running turns of the group beyond its reservation at the engine that runs them: in
    /// unreserved slots or in slots reserved for other groups.
    pub borrowed: u32,
}

/// Asks the core leader for the slot usage of all services, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchSlotUsage;

impl Request for FetchSlotUsage {
    type Reply = Vec<ServiceSlotUsage>;
    const METHOD: Method = Method::FetchSlotUsage;
}

/// Reply to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The core's latest view revision.
    pub revision: Revision,
    /// The newest bundle that the core knows, if the sender has an older one installed.
    pub bundle: Option<BundleRecord>,
    /// Address of the core leader, if this core is not the leader.
    pub leader: Option<SocketAddr>,
}

impl Request for Heartbeat {
    type Reply = HeartbeatReply;
    const METHOD: Method = Method::Heartbeat;
}

/// Number of latency buckets. Their upper bounds are powers of two from 1 ms; the last bucket has
/// no upper bound.
pub const LATENCY_BUCKETS: usize = 20;

/// Request statistics of one version on one route, collected by a gateway in one interval.
/// Statistics of several gateways can be added up.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatistics {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: ServiceVersion,
    /// The route.
    pub route: RouteName,
    /// Number of successful requests.
    pub successes: u64,
    /// Number of requests that failed because of the backend.
    pub failures: u64,
    /// Number of requests by latency (for sessions, time to first token): bucket `i` counts those
    /// below `2^i` ms.
    pub latency: [u64; LATENCY_BUCKETS],
}

/// Fetches a bundle section by its digest from a core, a store, or any other node that has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchSection {
    /// Digest of the section.
    pub digest: Digest,
}

impl Request for FetchSection {
    type Reply = Option<Vec<u8>>;
    const METHOD: Method = Method::FetchSection;
}

/// Reports a clear regression of a version, observed by a gateway, to the core leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportHarm {
    /// The regression and its evidence.
    pub harm: HarmReport,
}

impl Request for ReportHarm {
    type Reply = ();
    const METHOD: Method = Method::ReportHarm;
}

/// Asks the core leader for the statistics of each version over the last minute, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchVersionStatistics;

impl Request for FetchVersionStatistics {
    type Reply = Vec<VersionStatistics>;
    const METHOD: Method = Method::FetchVersionStatistics;
}

/// The result of probing an engine's address.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeResult {
    /// An application engine responded.
    Engine(ProbedEngine),
    /// Some other server responded, such as a model server.
    Other,
    /// The connection was refused.
    Refused,
    /// No complete response arrived in time.
    NoAnswer,
}

/// An application engine, as described in its probe response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbedEngine {
    /// Engine id.
    pub engine: EngineId,
    /// Run of the engine's process.
    pub incarnation: Incarnation,
    /// Service that the engine serves.
    pub service: ServiceName,
    /// Version that the engine runs.
    pub version: ServiceVersion,
    /// Whether the engine can accept work.
    pub ready: bool,
    /// Whether the engine is draining, that is, accepts no new work.
    pub draining: bool,
}

/// A probed address and the result of its probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeOutcome {
    /// The probed address.
    pub address: SocketAddr,
    /// The result of the probe.
    pub result: ProbeResult,
}

/// Reports the results of a core's share of the probes to the core leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportProbes {
    /// The results of one round of probes.
    pub outcomes: Vec<ProbeOutcome>,
}

impl Request for ReportProbes {
    type Reply = ();
    const METHOD: Method = Method::ReportProbes;
}
