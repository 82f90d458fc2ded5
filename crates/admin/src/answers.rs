//! Bodies of the operators' API, shared with the command line.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_bundle::Bundle;
use hooklug_protocol::control::{MemberHealth, ServiceSlotUse, VersionStatistics};
use hooklug_state::meta::{BundleOrigin, BundleRecord, GroupPlacement, HarmReport, StoreState};
use hooklug_types::{
    BundleVersion, EngineId, Incarnation, NodeId, NodeRole, OperatorName, Revision, RouteName,
    ServiceName, ServiceVersion, SessionEpoch, UnixMillis, WindowGroup, WindowName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// `GET /readyz`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyAnswer {
    /// Whether the node is ready.
    pub ready: bool,
    /// Why not, by component.
    pub reasons: BTreeMap<String, String>,
}

/// Body of `POST /admin/v1/bundles`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// The bundle.
    pub bundle: Bundle,
    /// Signatures on its digest, in hexadecimal.
    #[serde(default)]
    pub signatures: BTreeMap<OperatorName, String>,
}

/// A committed bundle without its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleAnswer {
    /// Its version.
    pub version: BundleVersion,
    /// The version that it was built on.
    pub base: BundleVersion,
    /// Digest of its canonical bytes, in hexadecimal.
    pub digest: String,
    /// Operators who signed it.
    pub signed_by: Vec<OperatorName>,
    /// Why the system made it, if it did.
    pub rollback: Option<HarmAnswer>,
    /// When it was committed, in milliseconds since 1970.
    pub committed_ms: UnixMillis,
}

/// Why a version was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HarmAnswer {
    /// The service.
    pub service: ServiceName,
    /// The harmful version.
    pub version: ServiceVersion,
    /// The route on which it showed.
    pub route: Option<RouteName>,
    /// The figures.
    pub reason: String,
}

impl From<&HarmReport> for HarmAnswer {
    fn from(harm: &HarmReport) -> Self {
        Self {
            service: harm.service.clone(),
            version: harm.version.clone(),
            route: harm.route.clone(),
            reason: harm.reason.clone(),
        }
    }
}

impl From<&BundleRecord> for BundleAnswer {
    fn from(record: &BundleRecord) -> Self {
        let (signed_by, rollback) = match &record.origin {
            BundleOrigin::Operators(names) => (names.clone(), None),
            BundleOrigin::Rollback(harm) => (Vec::new(), Some(HarmAnswer::from(harm))),
        };
        Self {
            version: record.version,
            base: record.base,
            digest: record.digest.to_string(),
            signed_by,
            rollback,
            committed_ms: record.committed,
        }
    }
}

/// Answer to `POST /admin/v1/bundles`, given after commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// The bundle as committed, now or before.
    pub bundle: BundleAnswer,
    /// Nodes that live, as this node's view shows them.
    pub live_nodes: usize,
    /// How many of them have it, or a newer one, in force.
    pub installed_nodes: usize,
}

/// `GET /admin/v1/bundles/{version}`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleContent {
    /// Its record.
    pub record: BundleAnswer,
    /// Its content.
    pub bundle: Bundle,
}

/// One node of `GET /admin/v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAnswer {
    /// Node id.
    pub node: NodeId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// What it does.
    pub role: NodeRole,
    /// Its rpc address.
    pub rpc: SocketAddr,
    /// Its HTTP address.
    pub http: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// What the core leader thinks of it.
    pub health: MemberHealth,
    /// Bundle version that it has in force.
    pub bundle: BundleVersion,
    /// Whether it is the core leader.
    pub core_leader: bool,
    /// Its state, for stores.
    pub store: Option<StoreState>,
}

/// One engine of `GET /admin/v1/engines`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAnswer {
    /// Engine id.
    pub engine: EngineId,
    /// Run of its process.
    pub incarnation: Incarnation,
    /// `session_host` or `application`.
    pub kind: EngineKind,
    /// Service that it serves.
    pub service: ServiceName,
    /// Version that it runs.
    pub version: ServiceVersion,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it can take work.
    pub ready: bool,
    /// Whether it takes no new work.
    pub draining: bool,
    /// Turns that it can run at once, for session hosts.
    pub slots: Option<u32>,
}

/// Kind of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineKind {
    /// A session-host engine beside a model server.
    SessionHost,
    /// An application engine.
    Application,
}

/// `GET /admin/v1/rollouts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsAnswer {
    /// Bundle that the services are of.
    pub bundle: Option<BundleVersion>,
    /// Each service's versions.
    pub services: Vec<ServiceRollout>,
    /// What gateways saw of each version over the last minute.
    pub figures: Vec<VersionFigure>,
    /// Roll-backs that the system made, newest last.
    pub rollbacks: Vec<RollbackAnswer>,
}

/// A service and its versions.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRollout {
    /// The service.
    pub service: ServiceName,
    /// Its newest sound version.
    pub newest: Option<ServiceVersion>,
    /// The sound version before it, that the newest is judged against.
    pub former: Option<ServiceVersion>,
    /// Versions that were rolled back.
    pub rolled_back: Vec<ServiceVersion>,
}

/// What gateways saw of a version on a route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionFigure {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: ServiceVersion,
    /// The route.
    pub route: RouteName,
    /// Requests that ended well.
    pub successes: u64,
    /// Requests that ended badly.
    pub failures: u64,
    /// 95th percentile of latency, in milliseconds, taken from wide buckets.
    pub p95_ms: Option<u64>,
}

impl From<&VersionStatistics> for VersionFigure {
    fn from(seen: &VersionStatistics) -> Self {
        let p95 = hooklug_control::judge::Counts::from(seen).p95();
        Self {
            service: seen.service.clone(),
            version: seen.version.clone(),
            route: seen.route.clone(),
            successes: seen.successes,
            failures: seen.failures,
            p95_ms: p95.map(|p| p.millis.round() as u64),
        }
    }
}

/// A roll-back that the system made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollbackAnswer {
    /// The bundle that carries it.
    pub bundle: BundleVersion,
    /// Why.
    pub harm: HarmAnswer,
    /// When, in milliseconds since 1970.
    pub committed_ms: UnixMillis,
}

/// One group of `GET /admin/v1/shards`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardAnswer {
    /// Name of the group.
    pub group: String,
    /// The store that leads it, as far as any store says.
    pub leader: Option<NodeId>,
    /// Its highest committed index.
    pub commit: u64,
    /// Its replicas: those that answer, and the members that do not.
    pub replicas: Vec<ReplicaAnswer>,
    /// Where its replicas should be.
    pub placement: GroupPlacement,
}

/// One replica of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAnswer {
    /// The store that holds it.
    pub store: NodeId,
    /// `voter`, `learner` or `none`, as the leader's configuration says.
    pub member: String,
    /// Entries behind the highest committed index; `None` when the store does not answer.
    pub lag: Option<u64>,
    /// Its term; `None` when the store does not answer.
    pub term: Option<u64>,
}

/// A session of `GET /admin/v1/sessions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionAnswer {
    /// Its program.
    pub program: String,
    /// Its name in the program.
    pub session: String,
    /// The engine that owns it.
    pub owner: Option<EngineId>,
    /// Run of the owner.
    pub incarnation: Option<Incarnation>,
    /// Epoch of the ownership.
    pub epoch: SessionEpoch,
    /// Service that it runs on.
    pub service: ServiceName,
    /// Version of its owner.
    pub version: ServiceVersion,
    /// The open turn.
    pub open_turn: Option<String>,
    /// The last ended turn.
    pub head: Option<String>,
    /// Whether it is closed.
    pub closed: bool,
}

/// `GET /admin/v1/sessions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionsAnswer {
    /// Open sessions.
    pub sessions: Vec<SessionAnswer>,
    /// Open sessions by owner, over all that were read.
    pub by_owner: BTreeMap<String, usize>,
    /// Groups that could not be read in time; their sessions are missing here.
    pub unread_groups: Vec<String>,
}

/// A window of `GET /admin/v1/windows`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowAnswer {
    /// Its name.
    pub window: WindowName,
    /// Programs that it is for.
    pub group: WindowGroup,
    /// Service whose slots it keeps.
    pub service: ServiceName,
    /// Slots kept.
    pub slots: u32,
    /// First instant, in milliseconds since 1970.
    pub start_ms: UnixMillis,
    /// First instant after it.
    pub end_ms: UnixMillis,
    /// Whether it is open now, by this node's clock.
    pub open: bool,
}

/// One service and group of `GET /admin/v1/slots`: how session hosts' slots are used, as they told last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUseAnswer {
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
    /// Those of them beyond the slots kept for it at their engine.
    pub borrowed: u32,
}

impl From<ServiceSlotUse> for SlotUseAnswer {
    fn from(told: ServiceSlotUse) -> Self {
        let ServiceSlotUse { service, group, engines, reserved, used, borrowed } = told;
        Self { service, group, engines, reserved, used, borrowed }
    }
}

/// Where the cluster stands, for `GET /admin/v1/view`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewAnswer {
    /// Revision of this node's view.
    pub revision: Revision,
    /// Cluster id.
    pub cluster: u64,
    /// The core leader.
    pub core_leader: Option<NodeId>,
    /// Bundle version in force at this node.
    pub installed_bundle: BundleVersion,
    /// Newest bundle version that this node has heard of.
    pub newest_bundle: BundleVersion,
    /// Nodes in the view.
    pub members: usize,
    /// Application engines in the view.
    pub engines: usize,
}
