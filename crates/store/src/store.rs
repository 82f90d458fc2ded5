//! The store process: opening its data folder, running its groups, stopping.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hooklug_protocol::store::ReplicaStatus;
use hooklug_replication::{
    AddressBook, MachineFactory, ReplicaDigest, ReplicationSettings, Replicator, StartContext,
};
use hooklug_rpc::{LocalIdentity, Router, RpcClient};
use hooklug_settings::Settings;
use hooklug_state::meta::MetaState;
use hooklug_types::{GroupId, NodeId};
use hooklug_wal::{Files, OsFiles, WalOptions};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use crate::data_folder::{DataFolder, Membership, load_node_id};
use crate::observed::Notes;
use crate::shared::{Formation, Shared, empty_view};
use crate::{
    StoreClient, StoreError, balance, begin, cleanup, clock_task, gossip, meta_watch, service,
};

/// Pause between looks at whether the store has failed (ours).
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Closed segments of the log when it has its full length (ours).
const LOG_SEGMENTS: usize = 8;

/// One store process.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
}

/// A view into a running store, for the process around it and for tests. Cheap to clone.
#[derive(Debug, Clone)]
pub struct StoreHandle {
    shared: Arc<Shared>,
}

impl Store {
    /// Opens the data folder and restores what it holds. The identity's node id must be the folder's
    /// (see [`load_node_id`]). Needs a tokio runtime.
    ///
    /// # Errors
    /// [`StoreError`]; the store must not serve then.
    pub fn open(
        settings: Arc<Settings>,
        identity: LocalIdentity,
        client: RpcClient,
    ) -> Result<Self, StoreError> {
        Self::open_with(settings, identity, client, Arc::new(OsFiles))
    }

    /// [`Store::open`] on other files, for tests of failing disks.
    ///
    /// # Errors
    /// [`StoreError`].
    pub fn open_with(
        settings: Arc<Settings>,
        identity: LocalIdentity,
        client: RpcClient,
        files: Arc<dyn Files>,
    ) -> Result<Self, StoreError> {
        let path = settings.data_folder.clone().ok_or(StoreError::NoDataFolder)?;
        let node = load_node_id(&path)?;
        if node != identity.address.node {
            return Err(StoreError::OtherNode { folder: node, identity: identity.address.node });
        }
        let folder = DataFolder::open(&path, files)?;
        let membership = opened_membership(&folder, node)?;
        if membership.cluster() != 0 {
            identity.set_cluster(membership.cluster());
        }
        let (addresses, notes) = (AddressBook::default(), Notes::new());
        addresses.note(node, identity.address.incarnation, identity.address.rpc);
        for store in folder.known_stores() {
            addresses.note(store.node, store.incarnation, store.address);
        }
        let replicator = start_groups(&settings, &folder, &client, &addresses, &notes, node)?;
        let (stores, watch_stores) = watch::channel(initial_stores(&settings, &identity));
        let access = StoreClient::new(client.clone(), watch_stores);
        let formation = Mutex::new(Formation {
            membership,
            view: empty_view(&settings, &identity),
            candidates: settings.seeds.clone(),
            other_roles: BTreeSet::new(),
        });
        let meta = watch::Sender::default();
        let shared = Shared {
            settings,
            identity,
            client,
            folder,
            addresses,
            replicator,
            notes,
            formation,
            meta,
            stores,
            access,
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Handlers of the requests to a store; they may be served before [`Store::run`].
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        service::router(&self.shared)
    }

    /// A view into the store.
    #[must_use]
    pub fn handle(&self) -> StoreHandle {
        StoreHandle { shared: self.shared.clone() }
    }

    /// Serves until stopped; then hands its leaderships over and closes its files.
    ///
    /// # Errors
    /// [`StoreError::DriverEnded`]: the process must end, since nothing would be answered any more.
    pub async fn run(self, stop: CancellationToken) -> Result<(), StoreError> {
        let shared = self.shared;
        let mut tasks = JoinSet::new();
        tasks.spawn(gossip::run(shared.clone()));
        tasks.spawn(begin::run(shared.clone()));
        tasks.spawn(meta_watch::run(shared.clone()));
        tasks.spawn(clock_task::run(shared.clone()));
        tasks.spawn(balance::run(shared.clone()));
        tasks.spawn(cleanup::run(shared.clone()));
        let outcome = tokio::select! {
            () = stop.cancelled() => Ok(()),
            () = shared.replicator.ended() => Err(StoreError::DriverEnded),
            reason = failed(&shared) => Err(StoreError::Failed(reason)),
        };
        tasks.shutdown().await;
        if outcome.is_ok() && shared.replicator.failure().is_none() {
            balance::hand_over_all(&shared).await;
        }
        shared.replicator.stop().await;
        shared.folder.unlock();
        outcome
    }
}

impl StoreHandle {
    /// This store's client, for the process around it.
    #[must_use]
    pub fn client(&self) -> StoreClient {
        self.shared.access.clone()
    }

    /// The newest meta state that this store knows; a default one before the cluster is formed.
    #[must_use]
    pub fn watch_meta(&self) -> watch::Receiver<Arc<MetaState>> {
        self.shared.meta.subscribe()
    }

    /// Addresses of all stores that this one knows.
    #[must_use]
    pub fn watch_stores(&self) -> watch::Receiver<Vec<std::net::SocketAddr>> {
        self.shared.stores.subscribe()
    }

    /// The cluster; 0 while the store is a member of none.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.shared.membership().cluster()
    }

    /// All replicas here.
    pub async fn replicas(&self) -> Vec<ReplicaStatus> {
        self.shared.replicator.status().await
    }

    /// Digest of a replica's state; `None` without a replica.
    pub async fn digest(&self, group: GroupId) -> Option<ReplicaDigest> {
        self.shared.replicator.digest(group).await
    }

    /// Why nothing is acknowledged any more; `None` while all is well.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.shared.replicator.failure()
    }

    /// Whether the store is of use: a member that knows the cluster, whose disk works and whose groups
    /// all know a leader.
    pub async fn is_ready(&self) -> bool {
        let knows_cluster = self.shared.meta.borrow().cluster != 0;
        if self.failure().is_some() || !self.shared.is_member() || !knows_cluster {
            return false;
        }
        self.replicas().await.iter().all(|replica| replica.leader.is_some())
    }

    /// Stops all replicas at once and closes their files, without handing anything over.
    pub async fn crash(&self) {
        self.shared.replicator.stop().await;
        self.shared.folder.unlock();
    }
}

/// Waits until the store has failed, if the process is to end then: a platform that starts it again may find the disk
/// sound. The pause lets answers that say so go out first.
async fn failed(shared: &Shared) -> String {
    if !shared.settings.store.end_when_failed {
        return std::future::pending().await;
    }
    loop {
        tokio::time::sleep(FAILURE_PAUSE).await;
        if let Some(reason) = shared.replicator.failure() {
            return reason;
        }
    }
}

/// The membership on the disk. A coordinator that stopped before it decided drops its plan: it alone
/// could have decided.
fn opened_membership(folder: &DataFolder, node: NodeId) -> Result<Membership, StoreError> {
    let membership = folder.membership()?;
    let undecided = matches!(&membership, Membership::Promised(plan) if plan.coordinator == node);
    if undecided {
        folder.set_membership(&Membership::Empty)?;
        return Ok(Membership::Empty);
    }
    Ok(membership)
}

fn start_groups(
    settings: &Settings,
    folder: &DataFolder,
    client: &RpcClient,
    addresses: &AddressBook,
    notes: &Notes,
    node: NodeId,
) -> Result<Replicator, StoreError> {
    let segment_bytes = (settings.store.log_megabytes << 20) / LOG_SEGMENTS as u64;
    let replication = ReplicationSettings {
        max_segments: LOG_SEGMENTS,
        wal: WalOptions { segment_bytes },
        tick: Duration::from_millis(settings.store.tick_ms),
        election_ticks: settings.store.election_ticks,
        snapshot_commands: settings.store.snapshot_commands,
        ..ReplicationSettings::new(node, folder.groups())
    };
    let keep = Duration::from_secs(settings.store.keep_seconds);
    let notes = notes.clone();
    let machines: MachineFactory = Arc::new(move |group| notes.machine(group, keep));
    let context = StartContext {
        client: client.clone(),
        addresses: addresses.clone(),
        runtime: tokio::runtime::Handle::current(),
        files: folder.files(),
    };
    Ok(Replicator::start(replication, machines, context)?)
}

fn initial_stores(settings: &Settings, identity: &LocalIdentity) -> Vec<std::net::SocketAddr> {
    let own = identity.address.rpc;
    let seeds = settings.seeds.iter().copied().filter(|seed| *seed != own);
    std::iter::once(own).chain(seeds).collect()
}
