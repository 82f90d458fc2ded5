//! State that is shared by the tasks of one store process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hooklug_protocol::store::{FormationOffer, StoreRequestError};
use hooklug_replication::{AddressBook, ReplicationError, Replicator};
use hooklug_rpc::{LocalIdentity, RpcClient};
use hooklug_settings::Settings;
use hooklug_state::meta::{MetaState, StoreRecord, StoreState};
use hooklug_types::{GroupId, NodeId, NodeRole};
use tokio::sync::watch;

use crate::data_folder::{DataFolder, Membership};
use crate::formation::FormationView;
use crate::observations::Observations;
use crate::{StoreClient, StoreError};

/// Timeout of a request from one store to another.
pub(crate) const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// State of one store process, shared by its tasks in an `Arc`.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) settings: Arc<Settings>,
    pub(crate) identity: LocalIdentity,
    pub(crate) client: RpcClient,
    pub(crate) folder: DataFolder,
    pub(crate) addresses: AddressBook,
    pub(crate) replicator: Replicator,
    pub(crate) observations: Observations,
    pub(crate) formation: Mutex<Formation>,
    /// Newest meta state that this store knows; the default one until the cluster is formed.
    pub(crate) meta: watch::Sender<Arc<MetaState>>,
    /// Addresses of the stores that the client may call.
    pub(crate) stores: watch::Sender<Vec<SocketAddr>>,
    pub(crate) access: StoreClient,
}

/// State of discovery and cluster formation.
#[derive(Debug)]
pub(crate) struct Formation {
    pub(crate) membership: Membership,
    pub(crate) view: FormationView,
    /// Addresses to query during discovery: seeds and addresses learned from other processes.
    pub(crate) candidates: Vec<SocketAddr>,
    /// Candidates at which a process that is not a store responds.
    pub(crate) other_roles: BTreeSet<SocketAddr>,
}

impl Shared {
    pub(crate) fn node(&self) -> NodeId {
        self.identity.address.node
    }

    /// Returns this store's record as it appears in the meta state.
    pub(crate) fn record(&self) -> StoreRecord {
        own_record(&self.identity)
    }

    pub(crate) fn formation(&self) -> MutexGuard<'_, Formation> {
        self.formation.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the store's cluster membership.
    pub(crate) fn membership(&self) -> Membership {
        self.formation().membership.clone()
    }

    pub(crate) fn is_member(&self) -> bool {
        matches!(self.formation().membership, Membership::Member { .. })
    }

    /// Changes the store's cluster membership, on disk first. The caller holds the lock during the
    /// disk sync, so that no offer is handled based on a membership that is not durable yet.
    pub(crate) fn set_membership(
        &self,
        formation: &mut Formation,
        membership: Membership,
    ) -> Result<(), StoreError> {
        self.folder.set_membership(&membership)?;
        if membership.cluster() != 0 {
            self.identity.set_cluster(membership.cluster());
        }
        formation.membership = membership;
        Ok(())
    }

    /// Adds an address to the candidates for discovery and for the client.
    pub(crate) fn add_candidate(&self, address: SocketAddr) {
        let mut formation = self.formation();
        if address != self.identity.address.rpc && !formation.candidates.contains(&address) {
            formation.candidates.push(address);
        }
    }

    /// Records whether a store or a process of another role responds at an address.
    pub(crate) fn record_role(&self, address: SocketAddr, role: NodeRole) {
        let mut formation = self.formation();
        match role {
            NodeRole::Store => formation.other_roles.remove(&address),
            _ => formation.other_roles.insert(address),
        };
    }

    /// Updates the list of stores that the client may call. This store is the first of the list.
    pub(crate) fn publish_stores(&self) {
        let mut stores: Vec<SocketAddr> = vec![self.identity.address.rpc];
        let known = self.addresses.all().into_iter().map(|(_, address)| address);
        let formation = self.formation();
        let candidates = formation.candidates.iter().copied();
        for address in known.chain(candidates) {
            if !stores.contains(&address) && !formation.other_roles.contains(&address) {
                stores.push(address);
            }
        }
        drop(formation);
        self.stores.send_if_modified(|known| {
            let differs = *known != stores;
            if differs {
                *known = stores;
            }
            differs
        });
    }

    /// Returns the formation offer that this store sends to others, without a plan.
    pub(crate) fn offer(&self) -> FormationOffer {
        let promised_cluster = match &self.formation().membership {
            Membership::Promised(plan) => Some(plan.cluster),
            Membership::Empty | Membership::Member { .. } => None,
        };
        let address = &self.identity.address;
        FormationOffer {
            node: address.node,
            address: address.rpc,
            zone: address.zone.clone(),
            promised_cluster,
            plan: None,
        }
    }

    /// Converts a replication error to the error that is returned to the caller.
    pub(crate) fn request_error(
        &self,
        group: GroupId,
        error: ReplicationError,
    ) -> StoreRequestError {
        match error {
            ReplicationError::NotLeader { leader } => {
                let leader = leader.and_then(|node| self.addresses.get(node));
                StoreRequestError::NotLeader { leader }
            }
            ReplicationError::NoReplica(_) => self.no_replica(group),
            ReplicationError::Uncertain => StoreRequestError::Uncertain,
            ReplicationError::Busy(_) => StoreRequestError::Busy,
            ReplicationError::Refused(reason) => StoreRequestError::Refused { reason },
            ReplicationError::Failed(reason) => StoreRequestError::DiskFailed { reason },
        }
    }

    fn no_replica(&self, group: GroupId) -> StoreRequestError {
        if !self.is_member() {
            return StoreRequestError::NotFormed;
        }
        let meta = self.meta.borrow().clone();
        let placement = meta.placements.get(&group);
        let voters = placement.into_iter().flat_map(|p| &p.voters);
        let replicas = voters.filter_map(|node| self.addresses.get(*node)).collect();
        StoreRequestError::NoReplica { replicas }
    }
}

/// Returns the record of the store with this identity as it appears in the meta state.
pub(crate) fn own_record(identity: &LocalIdentity) -> StoreRecord {
    let address = &identity.address;
    StoreRecord {
        node: address.node,
        incarnation: address.incarnation,
        address: address.rpc,
        zone: address.zone.clone(),
        state: StoreState::Active,
    }
}

/// Creates the view of cluster formation at the start, with no other stores known.
pub(crate) fn initial_view(settings: &Settings, identity: &LocalIdentity) -> FormationView {
    let expected = usize::try_from(settings.store.expect_stores).unwrap_or(usize::MAX);
    let voters = usize::try_from(settings.store.voters).unwrap_or(usize::MAX);
    FormationView::new(own_record(identity), expected, Instant::now())
        .with_voters(voters)
        .with_may_form(settings.store.may_form)
}
