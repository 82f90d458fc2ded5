//! Records of the meta group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_types::{
    BundleVersion, Digest, FencingEpoch, GroupId, Incarnation, NodeId, OperatorName, Renewal,
    RouteName, ServiceName, ServiceVersion, UnixMillis, ZoneName,
};
use serde::{Deserialize, Serialize};

use super::rollouts::RolloutRecord;

/// Membership state of a store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// Holds replicas and may receive more.
    Active,
    /// Is being retired: its replicas are moved away and it receives no new ones.
    Retiring,
    /// Retired or lost; its node id is never used again.
    Removed,
}

/// A store machine. Its node id is stored in its data folder, so a machine with an empty disk is a
/// new store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Node id of the store.
    pub node: NodeId,
    /// The latest run of the store's process that registered.
    pub incarnation: Incarnation,
    /// RPC address.
    pub address: SocketAddr,
    /// Zone of the store.
    pub zone: ZoneName,
    /// Membership state of the store.
    pub state: StoreState,
}

/// Desired placement of a group's replicas. The actual replicas follow through membership changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlacement {
    /// Voters: three, in three zones if there are that many.
    pub voters: Vec<NodeId>,
    /// Learners, which are kept up to date so that they can replace a lost voter.
    pub learners: Vec<NodeId>,
}

/// A core leadership: one lease with one fencing epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreLeader {
    /// Node id of the core.
    pub core: NodeId,
    /// The run of the core's process.
    pub incarnation: Incarnation,
    /// RPC address.
    pub address: SocketAddr,
    /// Fencing epoch that the leader's writes carry.
    pub epoch: FencingEpoch,
    /// Number of renewals under this epoch.
    pub renewal: Renewal,
    /// Whether the lease has expired.
    pub expired: bool,
}

/// The origin of a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleOrigin {
    /// Submitted and signed by these operators.
    Operators(Vec<OperatorName>),
    /// Created by the system to roll back a version after a regression.
    Rollback(HarmReport),
}

/// A committed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// The version that the bundle is based on.
    pub base: BundleVersion,
    /// Digest of the bundle's canonical bytes.
    pub digest: Digest,
    /// Digest of each section, by section name.
    pub sections: BTreeMap<String, Digest>,
    /// Origin of the bundle.
    pub origin: BundleOrigin,
    /// Commit time, by the group's clock.
    pub committed: UnixMillis,
}

/// A regression of a service version, with the measurements that show it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HarmReport {
    /// The service.
    pub service: ServiceName,
    /// The version with the regression.
    pub version: ServiceVersion,
    /// The affected route; `None` if the version could not be reached at all.
    pub route: Option<RouteName>,
    /// Description of the measurements, for operators.
    pub reason: String,
}

/// A rollback made by the system.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollbackRecord {
    /// The bundle version that contains the rollback.
    pub bundle: BundleVersion,
    /// The regression that caused the rollback.
    pub harm: HarmReport,
    /// Commit time, by the group's clock.
    pub committed: UnixMillis,
}

/// The part of the meta group's state that nodes read: everything except the content of bundles.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetaState {
    /// Cluster id; 0 before the cluster is formed.
    pub cluster: u64,
    /// Store machines.
    pub stores: Vec<StoreRecord>,
    /// Desired placement of each group.
    pub placements: BTreeMap<GroupId, GroupPlacement>,
    /// The current or latest core leader.
    pub leader: Option<CoreLeader>,
    /// Record of the newest committed bundle.
    pub bundle: Option<BundleRecord>,
    /// The last rollbacks made by the system, at most 64, newest last.
    pub rollbacks: Vec<RollbackRecord>,
    /// Node ids of stores, by the name that operators use for their machines.
    pub store_names: BTreeMap<String, NodeId>,
    /// The latest rollout of each service.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// Number of the latest rollout.
    pub last_rollout: u64,
}
