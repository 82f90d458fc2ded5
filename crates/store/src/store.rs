//! The store process: opens its data folder, runs its groups and shuts them down.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hooklug_protocol::store::ReplicaStatus;
use hooklug_replication::{
    AddressBook, GroupFactory, ReplicaDigest, ReplicationSettings, Replicator, StartContext,
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
use crate::observations::Observations;
use crate::shared::{Formation, Shared, initial_view};
use crate::time_source::SystemClocks;
use crate::{StoreClient, StoreError, balance, bootstrap, cleanup, gossip, meta_watch, service};

/// Interval between checks whether the disk has failed.
const FAILURE_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Maximum number of closed log segments. The size of a segment is the configured log size divided
/// by this number.
const LOG_SEGMENTS: usize = 8;

/// One store process.
#[derive(Debug)]
pub struct Store {
    shared: Arc<Shared>,
}

/// Handle to a running store, for the process that runs it and for tests. Cheap to clone.
#[derive(Debug, Clone)]
pub struct StoreHandle {
    shared: Arc<Shared>,
}

impl Store {
    /// Opens the data folder and restores its contents. The node id of the identity must be that of
    /// the folder (see [`load_node_id`]). Must be called within a tokio runtime.
    ///
    /// # Errors
    /// [`StoreError`] if the store cannot serve.
    pub fn open(
        settings: Arc<Settings>,
        identity: LocalIdentity,
        client: RpcClient,
    ) -> Result<Self, StoreError> {
        Self::open_with(settings, identity, client, Arc::new(OsFiles))
    }

    /// Like [`Store::open`], but on a given file system implementation, for tests with failing
    /// disks.
    ///
    /// # Errors
    /// [`StoreError`] if the store cannot serve.
    pub fn open_with(
        settings: Arc<Settings>,
        identity: LocalIdentity,
        client: RpcClient,
        files: Arc<dyn Files>,
    ) -> Result<Self, StoreError> {
        let path = settings.data_folder.clone().ok_or(StoreError::NoDataFolder)?;
        let node = load_node_id(&path)?;
        if node != identity.address.node {
            return Err(StoreError::NodeMismatch { folder: node, identity: identity.address.node });
        }
        let folder = DataFolder::open(&path, files)?;
        let membership = load_membership(&folder, node)?;
        if membership.cluster() != 0 {
            identity.set_cluster(membership.cluster());
        }
        let builds = Arc::new(identity.clone());
        let observations = Observations::with_builds(Arc::new(SystemClocks), builds);
        let addresses = AddressBook::default();
        addresses.record(node, identity.address.incarnation, identity.address.rpc);
        for store in folder.known_stores() {
            addresses.record(store.node, store.incarnation, store.address);
        }
        let replicator =
            start_groups(&settings, &folder, &client, &addresses, &observations, node)?;
        let (stores, watch_stores) = watch::channel(initial_stores(&settings, &identity));
        let access = StoreClient::new(client.clone(), watch_stores);
        let formation = Mutex::new(Formation {
            membership,
            view: initial_view(&settings, &identity),
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
            observations,
            formation,
            meta,
            stores,
            access,
        };
        Ok(Self { shared: Arc::new(shared) })
    }

    /// Returns the handlers of requests to this store. They may be served before [`Store::run`] is
    /// called.
    #[must_use]
    pub fn rpc_router(&self) -> Router {
        service::router(&self.shared)
    }

    /// Returns a handle to the store.
    #[must_use]
    pub fn handle(&self) -> StoreHandle {
        StoreHandle { shared: self.shared.clone() }
    }

    /// Serves until stopped, then hands over its leaderships and closes its files.
    ///
    /// # Errors
    /// [`StoreError::DriverExited`] or [`StoreError::DiskFailed`]. The process must then exit,
    /// since the store can no longer serve requests.
    pub async fn run(self, stop: CancellationToken) -> Result<(), StoreError> {
        let shared = self.shared;
        let mut tasks = JoinSet::new();
        tasks.spawn(gossip::run(shared.clone()));
        tasks.spawn(bootstrap::run(shared.clone()));
        tasks.spawn(meta_watch::run(shared.clone()));
        tasks.spawn(balance::run(shared.clone()));
        tasks.spawn(cleanup::run(shared.clone()));
        let outcome = tokio::select! {
            () = stop.cancelled() => Ok(()),
            () = shared.replicator.wait_stopped() => Err(StoreError::DriverExited),
            reason = wait_for_failure(&shared) => Err(StoreError::DiskFailed(reason)),
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
    /// Returns this store's client, for the process that runs the store.
    #[must_use]
    pub fn client(&self) -> StoreClient {
        self.shared.access.clone()
    }

    /// Watches the newest meta state that this store knows. It is the default one until the cluster
    /// is formed.
    #[must_use]
    pub fn watch_meta(&self) -> watch::Receiver<Arc<MetaState>> {
        self.shared.meta.subscribe()
    }

    /// Watches the addresses of all stores that this one knows.
    #[must_use]
    pub fn watch_stores(&self) -> watch::Receiver<Vec<std::net::SocketAddr>> {
        self.shared.stores.subscribe()
    }

    /// Returns the id of the cluster, or 0 while the store is not a member of one.
    #[must_use]
    pub fn cluster(&self) -> u64 {
        self.shared.membership().cluster()
    }

    /// Returns the status of all replicas on this store.
    pub async fn replicas(&self) -> Vec<ReplicaStatus> {
        self.shared.replicator.status().await
    }

    /// Returns the digest of a replica's state, or `None` if this store has no replica of the
    /// group.
    pub async fn digest(&self, group: GroupId) -> Option<ReplicaDigest> {
        self.shared.replicator.digest(group).await
    }

    /// Returns why the store no longer acknowledges writes, or `None` while it works.
    #[must_use]
    pub fn failure(&self) -> Option<String> {
        self.shared.replicator.failure()
    }

    /// Returns whether the store can serve: it is a member, knows the cluster's state, its disk
    /// works, and all its replicas know a leader.
    pub async fn is_ready(&self) -> bool {
        let knows_cluster = self.shared.meta.borrow().cluster != 0;
        if self.failure().is_some() || !self.shared.is_member() || !knows_cluster {
            return false;
        }
        self.replicas().await.iter().all(|replica| replica.leader.is_some())
    }

    /// Stops all replicas immediately and closes their files, without handing over leaderships.
    pub async fn crash(&self) {
        self.shared.replicator.stop().await;
        self.shared.folder.unlock();
    }
}

/// Waits until the disk has failed, and returns the reason. Never returns unless the settings
/// request that the process ends then; a platform that restarts it may provide a working disk. Due
/// to the polling interval, pending replies that report the failure are usually sent before the
/// process ends.
async fn wait_for_failure(shared: &Shared) -> String {
    if !shared.settings.store.end_when_failed {
        return std::future::pending().await;
    }
    loop {
        tokio::time::sleep(FAILURE_POLL_INTERVAL).await;
        if let Some(reason) = shared.replicator.failure() {
            return reason;
        }
    }
}

/// Reads the membership from the disk. A coordinator that stopped before its decision drops its
/// plan here, which is safe since only the coordinator could have decided it.
fn load_membership(folder: &DataFolder, node: NodeId) -> Result<Membership, StoreError> {
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
    observations: &Observations,
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
    let retention = Duration::from_secs(settings.store.keep_seconds);
    let (machines, clocks) = (observations.clone(), observations.clone());
    let factory = GroupFactory {
        machine: Arc::new(move |group| machines.machine(group, retention)),
        clock: Arc::new(move |group| clocks.clock_source(group)),
    };
    let context = StartContext {
        client: client.clone(),
        addresses: addresses.clone(),
        runtime: tokio::runtime::Handle::current(),
        files: folder.files(),
    };
    Ok(Replicator::start(replication, factory, context)?)
}

fn initial_stores(settings: &Settings, identity: &LocalIdentity) -> Vec<std::net::SocketAddr> {
    let own = identity.address.rpc;
    let seeds = settings.seeds.iter().copied().filter(|seed| *seed != own);
    std::iter::once(own).chain(seeds).collect()
}
