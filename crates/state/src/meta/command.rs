//! Commands and queries of the meta group.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use hooklug_bundle::Bundle;
use hooklug_types::{
    BundleVersion, Digest, FencingEpoch, GroupId, Incarnation, NodeId, OperatorName, Renewal,
    ServiceName, ServiceVersion, UnixMillis,
};
use serde::{Deserialize, Serialize};

use super::record::{
    BundleRecord, CoreLeader, GroupPlacement, HarmReport, MetaState, StoreRecord, StoreState,
};
use super::rollouts::RolloutPhase;

/// A bundle submitted by operators. The node that forwards it validates the bundle and verifies its
/// signatures; the state machine checks the versions again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitBundle {
    /// Version of the bundle.
    pub version: BundleVersion,
    /// The version that the bundle is based on; must be the newest committed version.
    pub base: BundleVersion,
    /// Content of the bundle.
    pub content: BundleContent,
    /// Operators whose signatures were verified.
    pub signed_by: Vec<OperatorName>,
}

/// Content of a submitted bundle: complete, or relative to its base.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleContent {
    /// The complete bundle as canonical bytes, encoded by `hooklug_bundle`.
    Full(Vec<u8>),
    /// The sections that differ from the base version.
    Changes {
        /// Digest of the canonical bytes of the complete bundle.
        digest: Digest,
        /// New bytes of changed sections, by name; `None` for removed sections.
        sections: BTreeMap<String, Option<Vec<u8>>>,
    },
}

impl BundleContent {
    /// Returns the digest of the canonical bytes of the complete bundle.
    #[must_use]
    pub fn digest(&self) -> Digest {
        match self {
            Self::Full(bytes) => Digest::of(bytes),
            Self::Changes { digest, .. } => *digest,
        }
    }
}

impl SubmitBundle {
    /// Creates a submission of a bundle. It carries only the changed sections if `held` is the
    /// record of the bundle's base version.
    #[must_use]
    pub fn new(bundle: &Bundle, held: Option<&BundleRecord>, signed_by: Vec<OperatorName>) -> Self {
        let held = held.filter(|record| record.version == bundle.base);
        let content = match held {
            Some(held) => changed_content(bundle, &held.sections),
            None => BundleContent::Full(hooklug_bundle::canonical_bytes(bundle)),
        };
        Self { version: bundle.version, base: bundle.base, content, signed_by }
    }
}

fn changed_content(bundle: &Bundle, held: &BTreeMap<String, Digest>) -> BundleContent {
    let sections = hooklug_bundle::sections(bundle);
    let removed = held.keys().filter(|name| !sections.contains_key(*name));
    let removed: Vec<(String, Option<Vec<u8>>)> =
        removed.map(|name| (name.clone(), None)).collect();
    let differs = |(name, bytes): &(String, Vec<u8>)| held.get(name) != Some(&Digest::of(bytes));
    let changed = sections.into_iter().filter(differs).map(|(name, bytes)| (name, Some(bytes)));
    BundleContent::Changes {
        digest: hooklug_bundle::digest(bundle),
        sections: changed.chain(removed).collect(),
    }
}

/// A command of the meta group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaCommand {
    /// Forms the cluster; the first command of the group.
    Form {
        /// Id of the cluster.
        cluster: u64,
        /// The stores that form the cluster.
        stores: Vec<StoreRecord>,
        /// Initial placement of each group.
        placements: Vec<(GroupId, GroupPlacement)>,
    },
    /// Registers a store's address and run. A new store is added as active; a removed one is
    /// refused.
    RegisterStore(StoreRecord),
    /// Changes the membership state of a store.
    SetStoreState {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// The store.
        node: NodeId,
        /// New state of the store.
        state: StoreState,
    },
    /// Changes the desired placement of a group.
    SetPlacement {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// The group.
        group: GroupId,
        /// The placement that the sender read; the command is refused if it has changed.
        expected: GroupPlacement,
        /// The new placement.
        placement: GroupPlacement,
    },
    /// Acquires the core leadership; refused until the lease of any other leader has been expired.
    AcquireLeadership {
        /// Node id of the core.
        core: NodeId,
        /// The run of the core's process.
        incarnation: Incarnation,
        /// RPC address of the core.
        address: SocketAddr,
        /// The last epoch that the core has seen (0 for none); the command is refused if the epoch
        /// has changed.
        seen: FencingEpoch,
    },
    /// Renews the core leader's lease.
    RenewLeadership {
        /// Epoch of the lease.
        epoch: FencingEpoch,
    },
    /// Expires the core leader's lease, unless it was renewed after the given renewal. Proposed
    /// only by the group's leader.
    ExpireLeadership {
        /// Epoch of the lease.
        epoch: FencingEpoch,
        /// The last renewal that the decision is based on.
        renewal: Renewal,
    },
    /// Commits a bundle.
    SubmitBundle(SubmitBundle),
    /// Marks a service version as rolled back, in a new bundle based on the newest.
    RollBack {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// The regression that caused the rollback.
        harm: HarmReport,
    },
    /// Advances the group's clock. Proposed only by the group's leader.
    AdvanceClock {
        /// The new time.
        now: UnixMillis,
    },
    /// Starts a rollout: an operator moves a service's requests to a version.
    BeginRollout {
        /// The service.
        service: ServiceName,
        /// The target version.
        target: ServiceVersion,
        /// Time within which the rollout should be complete, in milliseconds.
        duration_ms: u64,
    },
    /// Moves a rollout to another phase.
    MoveRollout {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// The service.
        service: ServiceName,
        /// Number of the rollout that the decision is based on.
        number: u64,
        /// New phase of the rollout.
        phase: RolloutPhase,
    },
    /// Records the name by which operators refer to a store's machine.
    NameStore {
        /// The store.
        node: NodeId,
        /// Name of the machine.
        name: String,
    },
    /// Starts to retire a store at an operator's request, which moves its replicas to other stores;
    /// refused if too few active stores would remain.
    RetireStore {
        /// The store.
        node: NodeId,
        /// Number of active stores that must remain.
        min_remaining: u32,
    },
}

/// Reply to a [`MetaCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaReply {
    /// The command was applied; it returns no data.
    Done,
    /// The core leader after the command.
    Leader(CoreLeader),
    /// Record of the committed bundle, whether this command or an earlier one committed it.
    Bundle(BundleRecord),
    /// The command was refused and changed nothing.
    Refused(MetaRefusal),
}

/// The reason why a meta command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum MetaRefusal {
    /// The cluster has already been formed.
    #[error("the cluster is already formed with id {cluster}")]
    AlreadyFormed {
        /// Id of the cluster.
        cluster: u64,
    },
    /// The cluster has not been formed yet.
    #[error("the cluster is not formed yet")]
    NotFormed,
    /// The sender's fencing epoch is not the current one.
    #[error("another core leads under epoch {current}")]
    StaleFencing {
        /// The current epoch.
        current: FencingEpoch,
    },
    /// The lease of another core has not been expired.
    #[error("another core holds the leadership")]
    LeaderAlive {
        /// The current leader.
        leader: CoreLeader,
    },
    /// The lease was renewed after the renewal that the command names.
    #[error("the core leader's lease has been renewed in the meantime")]
    Renewed,
    /// The store does not exist, or it was removed.
    #[error("no such store")]
    NoStore,
    /// The placement differs from the one that the sender read.
    #[error("the placement has changed")]
    PlacementChanged,
    /// The same version was already committed with different content.
    #[error("bundle {version} is already committed with different content")]
    VersionTaken {
        /// The version.
        version: BundleVersion,
        /// Digest of the committed bundle.
        digest: Digest,
    },
    /// The base is not the newest version.
    #[error("the base is not the newest version, {newest}")]
    StaleBase {
        /// The newest version.
        newest: BundleVersion,
    },
    /// The version is not higher than the base, or the bytes do not decode.
    #[error("the bundle is invalid: {reason}")]
    InvalidBundle {
        /// What is invalid.
        reason: String,
    },
    /// The rollout does not exist, or a later one has replaced it.
    #[error("no such rollout")]
    NoRollout,
    /// Too few active stores would remain.
    #[error("too few active stores would remain: {left}")]
    TooFewStores {
        /// Number of active stores that would remain.
        left: usize,
    },
    /// There is nothing to roll back: the version is not in state `Sound`, or it is the only one
    /// that is.
    #[error("nothing to roll back: {reason}")]
    NothingToRollBack {
        /// The reason.
        reason: String,
    },
}

/// A linearizable read of the meta group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaQuery {
    /// The full state, without the content of bundles.
    State,
    /// The record of the newest bundle.
    NewestBundle,
    /// A bundle's record and canonical bytes; `None` stands for the newest version. The records of
    /// the last 512 versions are retained, and the content of as many of them as fit.
    BundleBytes(Option<BundleVersion>),
    /// The bytes of one section, by digest, for nodes that already have the other sections.
    Section(Digest),
    /// The records of the given number of latest bundles, newest first.
    History(u32),
}

/// Answer to a [`MetaQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaAnswer {
    /// The full state, without the content of bundles.
    State(Box<MetaState>),
    /// Record of the newest bundle, if there is one.
    NewestBundle(Option<BundleRecord>),
    /// Record and canonical bytes of a bundle, if its content is retained.
    BundleBytes(Option<(BundleRecord, Vec<u8>)>),
    /// Bytes of a section, if it is retained.
    Section(Option<Vec<u8>>),
    /// Records of the latest bundles, newest first.
    History(Vec<BundleRecord>),
}
