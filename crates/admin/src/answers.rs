//! Request and response bodies of the operators' API, shared with the command line.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_bundle::Bundle;
use hooklug_protocol::control::{MemberHealth, ServiceSlotUsage, VersionStatistics};
use hooklug_state::meta::{BundleOrigin, BundleRecord, GroupPlacement, HarmReport, StoreState};
use hooklug_types::{
    BundleVersion, EngineId, Incarnation, NodeId, NodeRole, OperatorName, Revision, RouteName,
    ServiceName, ServiceVersion, SessionEpoch, UnixMillis, WindowGroup, WindowName, ZoneName,
};
use serde::{Deserialize, Serialize};

/// Response of `GET /readyz`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadyAnswer {
    /// Whether the node is ready.
    pub ready: bool,
    /// Reasons why the node is not ready, by component.
    pub reasons: BTreeMap<String, String>,
}

/// Request body of `POST /admin/v1/bundles`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Submission {
    /// Bundle to commit.
    pub bundle: Bundle,
    /// Signatures on the bundle's digest by operator, in hexadecimal.
    #[serde(default)]
    pub signatures: BTreeMap<OperatorName, String>,
}

/// Metadata of a committed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleAnswer {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// Version that the bundle is based on.
    pub base: BundleVersion,
    /// Digest of the bundle's canonical bytes, in hexadecimal.
    pub digest: String,
    /// Operators who signed the bundle.
    pub signed_by: Vec<OperatorName>,
    /// Reason for the rollback, if the system created this bundle to roll a version back.
    pub rollback: Option<HarmAnswer>,
    /// Time of the commit, in milliseconds since 1970.
    pub committed_ms: UnixMillis,
}

/// Reason why a version was rolled back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HarmAnswer {
    /// Service of the version.
    pub service: ServiceName,
    /// Version that was rolled back.
    pub version: ServiceVersion,
    /// Route on which the regression was observed.
    pub route: Option<RouteName>,
    /// Description of the regression, with its measurements.
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

/// Response of `POST /admin/v1/bundles`, sent after the commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitAnswer {
    /// The committed bundle; a resubmission gets the record of the first commit.
    pub bundle: BundleAnswer,
    /// Number of live nodes in this node's view.
    pub live_nodes: usize,
    /// Number of live nodes that have installed this version or a newer one.
    pub installed_nodes: usize,
}

/// Response of `GET /admin/v1/bundles/{version}`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BundleContent {
    /// Metadata of the bundle.
    pub record: BundleAnswer,
    /// Content of the bundle.
    pub bundle: Bundle,
}

/// One node in the response of `GET /admin/v1/members`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberAnswer {
    /// Node id.
    pub node: NodeId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Role of the node.
    pub role: NodeRole,
    /// RPC address.
    pub rpc: SocketAddr,
    /// HTTP address.
    pub http: SocketAddr,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Health as determined by the core leader.
    pub health: MemberHealth,
    /// Installed bundle version.
    pub bundle: BundleVersion,
    /// Whether the node is the core leader.
    pub core_leader: bool,
    /// Membership state, for stores.
    pub store: Option<StoreState>,
}

/// One engine in the response of `GET /admin/v1/engines`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineAnswer {
    /// Engine id.
    pub engine: EngineId,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// `session_host` or `application`.
    pub kind: EngineKind,
    /// Service that the engine belongs to.
    pub service: ServiceName,
    /// Version that the engine runs.
    pub version: ServiceVersion,
    /// Address that the engine listens on.
    pub address: SocketAddr,
    /// Zone of the engine.
    pub zone: ZoneName,
    /// Whether the engine is ready to accept work.
    pub ready: bool,
    /// Whether the engine is draining and accepts no new work.
    pub draining: bool,
    /// Number of turns that a session host runs concurrently.
    pub slots: Option<u32>,
}

/// Kind of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineKind {
    /// A session-host engine with a model server.
    SessionHost,
    /// An application engine.
    Application,
}

/// Response of `GET /admin/v1/rollouts`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutsAnswer {
    /// Installed bundle that defines the services.
    pub bundle: Option<BundleVersion>,
    /// Versions of each service.
    pub services: Vec<ServiceRollout>,
    /// Statistics of each version and route over the last minute, as measured by the gateways.
    pub figures: Vec<VersionMetrics>,
    /// Rollbacks initiated by the system, newest last.
    pub rollbacks: Vec<RollbackAnswer>,
}

/// Rollout state of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceRollout {
    /// Name of the service.
    pub service: ServiceName,
    /// Newest version that is not rolled back.
    pub newest: Option<ServiceVersion>,
    /// Previous version that is not rolled back: the baseline for judging the newest.
    pub former: Option<ServiceVersion>,
    /// Versions that were rolled back.
    pub rolled_back: Vec<ServiceVersion>,
}

/// Statistics of a version on a route, as measured by the gateways.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionMetrics {
    /// Service of the version.
    pub service: ServiceName,
    /// Version that the requests were sent to.
    pub version: ServiceVersion,
    /// Route of the requests.
    pub route: RouteName,
    /// Number of successful requests.
    pub successes: u64,
    /// Number of failed requests.
    pub failures: u64,
    /// 95th percentile of the latency in milliseconds, approximated from wide histogram buckets.
    pub p95_ms: Option<u64>,
}

impl From<&VersionStatistics> for VersionMetrics {
    fn from(statistics: &VersionStatistics) -> Self {
        let p95 = hooklug_control::judge::Counts::from(statistics).p95();
        Self {
            service: statistics.service.clone(),
            version: statistics.version.clone(),
            route: statistics.route.clone(),
            successes: statistics.successes,
            failures: statistics.failures,
            p95_ms: p95.map(|p| p.millis.round() as u64),
        }
    }
}

/// A rollback initiated by the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollbackAnswer {
    /// Bundle version that marks the version as rolled back.
    pub bundle: BundleVersion,
    /// Reason for the rollback.
    pub harm: HarmAnswer,
    /// Time of the commit, in milliseconds since 1970.
    pub committed_ms: UnixMillis,
}

/// One group in the response of `GET /admin/v1/shards`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardAnswer {
    /// Name of the group.
    pub group: String,
    /// Store that leads the group, if a store reports itself as the leader.
    pub leader: Option<NodeId>,
    /// Highest committed index that any replica reports.
    pub commit: u64,
    /// Replicas that responded, and members of the group that did not.
    pub replicas: Vec<ReplicaAnswer>,
    /// Desired placement of the replicas.
    pub placement: GroupPlacement,
}

/// One replica of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaAnswer {
    /// Store that holds the replica.
    pub store: NodeId,
    /// `voter`, `learner` or `none` in the leader's configuration; `unknown` without a leader.
    pub member: String,
    /// Entries behind the highest committed index; `None` if the store did not respond.
    pub lag: Option<u64>,
    /// Raft term of the replica; `None` if the store did not respond.
    pub term: Option<u64>,
}

/// A session in the response of `GET /admin/v1/sessions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionAnswer {
    /// Program of the session.
    pub program: String,
    /// Session id within the program.
    pub session: String,
    /// Engine that owns the session.
    pub owner: Option<EngineId>,
    /// Incarnation of the owner.
    pub incarnation: Option<Incarnation>,
    /// Epoch of the ownership.
    pub epoch: SessionEpoch,
    /// Service that runs the session.
    pub service: ServiceName,
    /// Service version of the owner.
    pub version: ServiceVersion,
    /// Turn that is currently open.
    pub open_turn: Option<String>,
    /// Last turn that ended.
    pub head: Option<String>,
    /// Whether the session is closed.
    pub closed: bool,
}

/// Response of `GET /admin/v1/sessions`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SessionsAnswer {
    /// Open sessions, up to the requested limit.
    pub sessions: Vec<SessionAnswer>,
    /// Number of open sessions by owner, over all groups that were read.
    pub by_owner: BTreeMap<String, usize>,
    /// Groups that could not be read in time; their sessions are not included.
    pub unread_groups: Vec<String>,
}

/// A window in the response of `GET /admin/v1/windows`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowAnswer {
    /// Name of the window.
    pub window: WindowName,
    /// Group of programs that the slots are reserved for.
    pub group: WindowGroup,
    /// Service whose slots are reserved.
    pub service: ServiceName,
    /// Number of reserved slots.
    pub slots: u32,
    /// Start of the window (inclusive), in milliseconds since 1970.
    pub start_ms: UnixMillis,
    /// End of the window (exclusive), in milliseconds since 1970.
    pub end_ms: UnixMillis,
    /// Whether the window is open now, by this node's clock.
    pub open: bool,
}

/// Slot usage of one service and window group in the response of `GET /admin/v1/slots`, from the
/// last reports of the session hosts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUsageAnswer {
    /// Name of the service.
    pub service: ServiceName,
    /// Window group; `None` for turns without a group.
    pub group: Option<WindowGroup>,
    /// Number of engines that reported the group.
    pub engines: u32,
    /// Number of slots that open windows reserve for the group.
    pub reserved: u32,
    /// Number of running turns of the group.
    pub used: u32,
    /// Number of running turns in excess of the slots reserved for the group at their engine.
    pub borrowed: u32,
}

impl From<ServiceSlotUsage> for SlotUsageAnswer {
    fn from(usage: ServiceSlotUsage) -> Self {
        let ServiceSlotUsage { service, group, engines, reserved, used, borrowed } = usage;
        Self { service, group, engines, reserved, used, borrowed }
    }
}

/// Response of `GET /admin/v1/view`: summary of this node's view of the cluster.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewAnswer {
    /// Revision of this node's view.
    pub revision: Revision,
    /// Cluster id.
    pub cluster: u64,
    /// Node id of the core leader.
    pub core_leader: Option<NodeId>,
    /// Bundle version installed at this node.
    pub installed_bundle: BundleVersion,
    /// Newest bundle version known to this node.
    pub newest_bundle: BundleVersion,
    /// Number of nodes in the view.
    pub members: usize,
    /// Number of application engines in the view.
    pub engines: usize,
}
