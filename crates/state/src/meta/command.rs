//! Commands and reads of the meta group.

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

/// A bundle that operators submit. Checked and its signatures verified by the node that forwards it,
/// and checked again by the machine as far as versions go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitBundle {
    /// Its version.
    pub version: BundleVersion,
    /// The version that it was built on; must be the newest committed one.
    pub base: BundleVersion,
    /// What it says.
    pub content: BundleContent,
    /// Operators whose signatures were verified.
    pub signed_by: Vec<OperatorName>,
}

/// What a submitted bundle says.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BundleContent {
    /// Canonical bytes (`hooklug_bundle` makes them).
    Whole(Vec<u8>),
    /// What differs from the bundle that it was built on.
    Changes {
        /// Digest of the canonical bytes of the whole.
        digest: Digest,
        /// Sections with other bytes; `None` for those that are gone.
        sections: BTreeMap<String, Option<Vec<u8>>>,
    },
}

impl BundleContent {
    /// Digest of the canonical bytes of the whole.
    #[must_use]
    pub fn digest(&self) -> Digest {
        match self {
            Self::Whole(bytes) => Digest::of(bytes),
            Self::Changes { digest, .. } => *digest,
        }
    }
}

impl SubmitBundle {
    /// Submits a bundle; when the sender holds the record of the one that it was built on, only what differs.
    #[must_use]
    pub fn new(bundle: &Bundle, held: Option<&BundleRecord>, signed_by: Vec<OperatorName>) -> Self {
        let held = held.filter(|record| record.version == bundle.base);
        let content = match held {
            Some(held) => changes(bundle, &held.sections),
            None => BundleContent::Whole(hooklug_bundle::canonical_bytes(bundle)),
        };
        Self { version: bundle.version, base: bundle.base, content, signed_by }
    }
}

fn changes(bundle: &Bundle, held: &BTreeMap<String, Digest>) -> BundleContent {
    let sections = hooklug_bundle::sections(bundle);
    let gone = held.keys().filter(|name| !sections.contains_key(*name));
    let gone: Vec<(String, Option<Vec<u8>>)> = gone.map(|name| (name.clone(), None)).collect();
    let differs = |(name, bytes): &(String, Vec<u8>)| held.get(name) != Some(&Digest::of(bytes));
    let changed = sections.into_iter().filter(differs).map(|(name, bytes)| (name, Some(bytes)));
    BundleContent::Changes {
        digest: hooklug_bundle::digest(bundle),
        sections: changed.chain(gone).collect(),
    }
}

/// A command of the meta group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaCommand {
    /// First command of a cluster: its id, stores and first placements.
    Form {
        /// The cluster id.
        cluster: u64,
        /// The stores that form it.
        stores: Vec<StoreRecord>,
        /// Placement of each group.
        placements: Vec<(GroupId, GroupPlacement)>,
    },
    /// A store tells its address and run; a new one is added as active, a removed one refused.
    RegisterStore(StoreRecord),
    /// Changes what a store is to the cluster.
    SetStoreState {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// The store.
        node: NodeId,
        /// Its new state.
        state: StoreState,
    },
    /// Changes a group's wanted placement.
    SetPlacement {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// The group.
        group: GroupId,
        /// What the sender saw; refused when it has changed.
        expected: GroupPlacement,
        /// The new placement.
        placement: GroupPlacement,
    },
    /// Takes the core leadership; refused while another's lease has not been expired.
    AcquireLeadership {
        /// The core.
        core: NodeId,
        /// The run of its process.
        incarnation: Incarnation,
        /// Address of its rpc port.
        address: SocketAddr,
        /// Epoch that it saw last (0 for none); refused when it has moved.
        seen: FencingEpoch,
    },
    /// Renews the core leader's lease.
    RenewLeadership {
        /// Its epoch.
        epoch: FencingEpoch,
    },
    /// Ends the core leader's lease, if no renewal came after the one named. Proposed only by the group's leader.
    ExpireLeadership {
        /// The epoch that was judged.
        epoch: FencingEpoch,
        /// The renewal that was judged.
        renewal: Renewal,
    },
    /// Commits a bundle.
    SubmitBundle(SubmitBundle),
    /// Marks a version as rolled back, in a new bundle built on the newest.
    RollBack {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// What was found.
        harm: HarmReport,
    },
    /// Moves the group's clock on. Proposed only by the group's leader.
    AdvanceClock {
        /// The new time.
        now: UnixMillis,
    },
    /// An operator orders that a service's requests move to a version.
    BeginRollout {
        /// The service.
        service: ServiceName,
        /// The version.
        target: ServiceVersion,
        /// Time in which it should be settled, in milliseconds.
        duration_ms: u64,
    },
    /// Moves a roll-out on.
    MoveRollout {
        /// Epoch of the core leader.
        epoch: FencingEpoch,
        /// The service.
        service: ServiceName,
        /// Number of the order that was judged.
        number: u64,
        /// How far it is now.
        phase: RolloutPhase,
    },
    /// A store tells the name that operators know its machine by.
    NameStore {
        /// The store.
        node: NodeId,
        /// The name.
        name: String,
    },
    /// An operator asks for a store to be emptied; refused when too few would be left.
    RetireStore {
        /// The store.
        node: NodeId,
        /// Stores that must be left.
        least_left: u32,
    },
}

/// Reply to a [`MetaCommand`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaReply {
    /// Done.
    Done,
    /// The core leader, after the command.
    Leader(CoreLeader),
    /// The bundle, as committed (now or before).
    Bundle(BundleRecord),
    /// Refused; nothing changed.
    Refused(MetaRefusal),
}

/// Why a meta command was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum MetaRefusal {
    /// The cluster exists already.
    #[error("the cluster is formed already, its id is {cluster}")]
    Formed {
        /// Its id.
        cluster: u64,
    },
    /// The cluster does not exist yet.
    #[error("the cluster is not formed yet")]
    NotFormed,
    /// The sender's fencing epoch is not in force.
    #[error("another core leads under epoch {current}")]
    StaleFencing {
        /// The epoch in force.
        current: FencingEpoch,
    },
    /// Another core's lease has not been expired.
    #[error("another core leads")]
    LeaderAlive {
        /// It.
        leader: CoreLeader,
    },
    /// The lease was renewed since.
    #[error("the leadership was renewed since")]
    Renewed,
    /// No such store, or it was removed.
    #[error("no such store")]
    NoStore,
    /// The placement is not what the sender saw.
    #[error("the placement has changed")]
    PlacementChanged,
    /// The same version was committed with other content.
    #[error("bundle {version} is committed with other content")]
    VersionTaken {
        /// The version.
        version: BundleVersion,
        /// Digest of the committed one.
        digest: Digest,
    },
    /// The base is not the newest version.
    #[error("the base is not the newest version, {newest}")]
    StaleBase {
        /// The newest.
        newest: BundleVersion,
    },
    /// The version is not higher than the base, or the bytes do not decode.
    #[error("the bundle is invalid: {reason}")]
    InvalidBundle {
        /// What is wrong.
        reason: String,
    },
    /// No such roll-out, or a later order took its place.
    #[error("no such roll-out")]
    NoRollout,
    /// Too few stores would be left.
    #[error("too few stores would be left: {left}")]
    TooFewStores {
        /// How many.
        left: usize,
    },
    /// Nothing to roll back: the version is not sound, or it is the only sound one.
    #[error("nothing to roll back: {reason}")]
    NothingToRollBack {
        /// Why.
        reason: String,
    },
}

/// A linearizable read of the meta group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaQuery {
    /// All but the bundles' bytes.
    State,
    /// The newest bundle's record.
    NewestBundle,
    /// A bundle's canonical bytes; `None` for the newest. The last 512 versions are kept.
    BundleBytes(Option<BundleVersion>),
    /// One section's bytes by digest, for nodes that hold the others.
    Section(Digest),
    /// Records of the last so many bundles, newest first.
    History(u32),
}

/// Answer to a [`MetaQuery`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MetaAnswer {
    /// The state.
    State(Box<MetaState>),
    /// The newest bundle.
    NewestBundle(Option<BundleRecord>),
    /// Bytes of a bundle, with its record.
    BundleBytes(Option<(BundleRecord, Vec<u8>)>),
    /// Bytes of a section.
    Section(Option<Vec<u8>>),
    /// Records.
    History(Vec<BundleRecord>),
}
