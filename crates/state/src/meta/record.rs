//! Records of the meta group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_types::{
    BundleVersion, Digest, FencingEpoch, GroupId, Incarnation, NodeId, OperatorName, Renewal,
    RouteName, ServiceName, ServiceVersion, UnixMillis, ZoneName,
};
use serde::{Deserialize, Serialize};

use super::rollouts::RolloutRecord;

/// What a store is to the cluster.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreState {
    /// Holds replicas, may get more.
    Active,
    /// Is being emptied; gets no more.
    Retiring,
    /// Emptied or lost; its node id never comes back.
    Removed,
}

/// A store machine. Its node id lives in its data folder: an empty disk is a new store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreRecord {
    /// Its node id.
    pub node: NodeId,
    /// The run of its process that registered last.
    pub incarnation: Incarnation,
    /// Address of its rpc port.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// What it is to the cluster.
    pub state: StoreState,
}

/// Where a group's replicas should be; the replicas themselves follow by membership changes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupPlacement {
    /// Voters: three in three zones where there are so many.
    pub voters: Vec<NodeId>,
    /// Learners, kept up to date to replace a lost voter.
    pub learners: Vec<NodeId>,
}

/// The core leader: one lease, one fencing epoch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoreLeader {
    /// The core's node id.
    pub core: NodeId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// Address of its rpc port.
    pub address: SocketAddr,
    /// Epoch that its writes carry.
    pub epoch: FencingEpoch,
    /// Renewals under this epoch.
    pub renewal: Renewal,
    /// Whether the lease has expired.
    pub expired: bool,
}

/// Who made a bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleOrigin {
    /// Operators, who signed it.
    Operators(Vec<OperatorName>),
    /// The system, after harm.
    Rollback(HarmReport),
}

/// A committed bundle.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleRecord {
    /// Its version.
    pub version: BundleVersion,
    /// The version that it was built on.
    pub base: BundleVersion,
    /// Digest of its canonical bytes.
    pub digest: Digest,
    /// Digest of each section, by the section's name.
    pub sections: BTreeMap<String, Digest>,
    /// Who made it.
    pub origin: BundleOrigin,
    /// When it was committed, by the group's clock.
    pub committed: UnixMillis,
}

/// Why a version was rolled back, with the figures that showed it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HarmReport {
    /// The service.
    pub service: ServiceName,
    /// The harmful version.
    pub version: ServiceVersion,
    /// The route on which it showed; `None` when it could not be reached at all.
    pub route: Option<RouteName>,
    /// The figures, in words for operators.
    pub reason: String,
}

/// One roll-back that the system made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RollbackRecord {
    /// The bundle version that carries it.
    pub bundle: BundleVersion,
    /// Why.
    pub harm: HarmReport,
    /// When, by the group's clock.
    pub committed: UnixMillis,
}

/// What nodes need of the meta group, without the bundles' bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MetaState {
    /// Cluster id; 0 before the cluster is formed.
    pub cluster: u64,
    /// Store machines.
    pub stores: Vec<StoreRecord>,
    /// Wanted placement of each group.
    pub placements: BTreeMap<GroupId, GroupPlacement>,
    /// The core leader, present or last.
    pub leader: Option<CoreLeader>,
    /// The newest committed bundle.
    pub bundle: Option<BundleRecord>,
    /// Roll-backs that the system made, newest last, at most the last 64.
    pub rollbacks: Vec<RollbackRecord>,
    /// Stores by the name that operators know their machines by.
    pub store_names: BTreeMap<String, NodeId>,
    /// The last roll-out that was ordered of each service.
    pub rollouts: BTreeMap<ServiceName, RolloutRecord>,
    /// Number of the last order.
    pub last_rollout: u64,
}
