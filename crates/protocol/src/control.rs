//! Every node to a core: discovery, heartbeats, the cluster view and bundle sections.

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

/// Asks any process which others it knows. The answer names it, the stores and cores, and a few others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Discover {
    /// The asking node, so that it is known in turn.
    pub from: NodeAddress,
}

/// A process and where it listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeAddress {
    /// Its node id.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: NodeRole,
    /// Its rpc address.
    pub rpc: SocketAddr,
    /// Its HTTP address.
    pub http: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

impl Request for Discover {
    type Reply = Vec<NodeAddress>;
    const METHOD: Method = Method::Discover;
}

/// A node that lives, as cores tell it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Who and where.
    pub address: NodeAddress,
    /// What the core leader thinks of it.
    pub health: MemberHealth,
    /// Bundle version that it has in force.
    pub bundle: BundleVersion,
    /// For session-host engines.
    pub engine: Option<HostedEngine>,
}

/// What the core leader thinks of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberHealth {
    /// Heard of in time.
    Alive,
    /// Not heard of for a while.
    Suspect,
    /// Given up; leaves the view soon.
    Dead,
}

/// What a session-host engine tells of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostedEngine {
    /// Its engine id (one a process).
    pub engine: EngineId,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Whether it can take work: lease fresh, model server answering.
    pub ready: bool,
    /// Whether it takes no new sessions.
    pub draining: bool,
    /// Turns that it can run at once.
    pub slots: u32,
}

/// An application engine, joined from the platform's list and its own word.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ApplicationEngine {
    /// Its engine id, as it tells itself.
    pub engine: EngineId,
    /// Its run, as it tells itself.
    pub incarnation: Incarnation,
    /// Service that it serves, as it tells itself.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone, from the platform's list.
    pub zone: ZoneName,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Whether its last probe was answered well.
    pub healthy: bool,
}

/// The whole cluster as a core sees it. Its parts are shared by all copies that did not change them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ClusterView {
    /// Grows with every change, across cores (higher half: fencing epoch of the core leader).
    pub revision: Revision,
    /// Nodes by id.
    pub members: MemberMap,
    /// Application engines by id.
    pub engines: CopyOnWrite<BTreeMap<EngineId, ApplicationEngine>>,
    /// Stores, placements, core leader, newest bundle's record.
    pub meta: CopyOnWrite<MetaState>,
}

/// Something that changed in the view.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A node came or changed.
    Member(SharedMember),
    /// Nodes of which only the installed bundle changed; a bundle change makes one of these, not a `Member` a node.
    Installed {
        /// The version that they have in force now.
        bundle: BundleVersion,
        /// The nodes.
        nodes: Vec<NodeId>,
    },
    /// A node left.
    MemberGone(NodeId),
    /// An application engine came or changed.
    Engine(ApplicationEngine),
    /// An application engine left.
    EngineGone(EngineId),
    /// Something in the meta state changed.
    Meta(CopyOnWrite<MetaState>),
}

/// Follows the view.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchView {
    /// Who follows.
    pub from: NodeAddress,
}

/// An item of the view's stream: first the whole, then batched changes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ViewItem {
    /// The whole view.
    Whole(Box<ClusterView>),
    /// Changes that lead to a revision.
    Changes {
        /// The revision before.
        from: Revision,
        /// The revision after.
        to: Revision,
        /// What changed.
        changes: Vec<ViewChange>,
    },
}

impl StreamRequest for WatchView {
    type Item = ViewItem;
    const METHOD: Method = Method::WatchView;
}

/// A node lives; once a second.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Who and where.
    pub from: NodeAddress,
    /// Bundle version that it has in force.
    pub bundle: BundleVersion,
    /// For session-host engines.
    pub engine: Option<HostedEngine>,
    /// For session-host engines: their load.
    pub load: Option<EngineLoad>,
    /// For gateways: statistics of watched versions since the last heartbeat that was answered.
    pub statistics: Vec<VersionStatistics>,
    /// For session-host engines: how their slots are used, by group.
    pub slot_uses: Vec<SlotUse>,
}

/// How one engine's slots are used by one group's turns. Left out for groups without slots kept and turns.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// The group; `None` for turns of no group.
    pub group: Option<WindowGroup>,
    /// Slots that open windows keep for it here.
    pub reserved: u32,
    /// Its turns that run.
    pub running: u32,
}

/// How a service's slots are used by one group's turns, over all engines, for operators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceSlotUse {
    /// The service.
    pub service: ServiceName,
    /// The group; `None` for turns of no group.
    pub group: Option<WindowGroup>,
    /// Engines that told of the group.
    pub engines: u32,
    /// Slots that open windows keep for it.
    pub reserved: u32,
    /// Its turns that run.
    pub used: u32,
    /// Those of them beyond what the engine that runs them keeps for the group: in slots that nobody keeps, or
    /// that are lent by other groups.
    pub borrowed: u32,
}

/// Asks the core leader how slots are used, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUseFigures;

impl Request for SlotUseFigures {
    type Reply = Vec<ServiceSlotUse>;
    const METHOD: Method = Method::SlotUseFigures;
}

/// Answer to a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// The core's newest revision.
    pub revision: Revision,
    /// The newest bundle that the core knows, when the sender has an older one in force.
    pub bundle: Option<BundleRecord>,
    /// Where the core leader is, if this core is not it.
    pub leader: Option<SocketAddr>,
}

impl Request for Heartbeat {
    type Reply = HeartbeatReply;
    const METHOD: Method = Method::Heartbeat;
}

/// Upper bounds of latency buckets, in milliseconds: powers of two from 1 ms; the last bucket is open.
pub const LATENCY_BUCKETS: usize = 20;

/// What a gateway saw of one version on one route in one interval. Adds up over gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionStatistics {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: ServiceVersion,
    /// The route.
    pub route: RouteName,
    /// Requests that ended well.
    pub successes: u64,
    /// Requests that ended badly by the back end's fault.
    pub failures: u64,
    /// Requests by latency (for sessions: time to first token): bucket `i` counts those below `2^i` ms.
    pub latency: [u64; LATENCY_BUCKETS],
}

/// Fetches a bundle section by digest from a core or store, or any node that has it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchSection {
    /// Digest of the section.
    pub digest: Digest,
}

impl Request for FetchSection {
    type Reply = Option<Vec<u8>>;
    const METHOD: Method = Method::FetchSection;
}

/// A gateway's own evidence of clear harm, told to the core leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportHarm {
    /// What was found.
    pub harm: HarmReport,
}

impl Request for ReportHarm {
    type Reply = ();
    const METHOD: Method = Method::ReportHarm;
}

/// Asks the core leader what gateways saw of each version over the last minute, for operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionFigures;

impl Request for VersionFigures {
    type Reply = Vec<VersionStatistics>;
    const METHOD: Method = Method::VersionFigures;
}

/// What a probe of an engine's address found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProbeFinding {
    /// An application engine answered.
    Engine(ProbedEngine),
    /// Something else answered, such as a model server.
    Other,
    /// Nobody listens there.
    Refused,
    /// No whole answer came in time.
    NoAnswer,
}

/// An application engine, as it tells itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbedEngine {
    /// Its engine id.
    pub engine: EngineId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its service.
    pub service: ServiceName,
    /// Its version.
    pub version: ServiceVersion,
    /// Whether it can take work.
    pub ready: bool,
    /// Whether it takes no new work.
    pub draining: bool,
}

/// The outcome of one probe.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeOutcome {
    /// The address asked.
    pub address: SocketAddr,
    /// What was found there.
    pub finding: ProbeFinding,
}

/// A core tells the core leader what its share of the probes found.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportProbes {
    /// The outcomes of one round.
    pub outcomes: Vec<ProbeOutcome>,
}

impl Request for ReportProbes {
    type Reply = ();
    const METHOD: Method = Method::ReportProbes;
}
