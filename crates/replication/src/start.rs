//! Startup: opens the log, restores the replicas and starts the threads.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::mpsc::{Sender, channel};

use hooklug_rpc::RpcClient;
use hooklug_state::StateMachine;
use hooklug_types::GroupId;
use hooklug_wal::{Files, SnapshotStore, Wal};
use tokio::runtime::Handle;
use tokio::sync::watch;

use crate::applier::{Applier, GroupTask};
use crate::driver::{Driver, Workers};
use crate::snapshot_thread;
use crate::transport::Transport;
use crate::{AddressBook, ClockFactory, OpenError, ReplicationSettings, Replicator};

/// Number of applier threads. With two, a slow command of one group delays at most half of the
/// groups.
const APPLIERS: usize = 2;

/// Creates the empty state machine of a group.
pub type MachineFactory = Arc<dyn Fn(GroupId) -> Box<dyn StateMachine> + Send + Sync>;

/// Creates the parts of a replica that its owner provides.
#[derive(Clone)]
pub struct GroupFactory {
    /// Creates the state machine.
    pub machine: MachineFactory,
    /// Creates the source of the group's clock.
    pub clock: ClockFactory,
}

/// Resources that replication shares with the rest of the process.
#[derive(Debug, Clone)]
pub struct StartContext {
    /// Client for calls to other stores.
    pub client: RpcClient,
    /// Addresses of the other stores.
    pub addresses: AddressBook,
    /// Runtime of the tasks that send messages and snapshots.
    pub runtime: Handle,
    /// File system of the log and the snapshots.
    pub files: Arc<dyn Files>,
}

impl Replicator {
    /// Opens the log, restores all replicas in it and starts them.
    ///
    /// # Errors
    /// [`OpenError`] if the log or a snapshot can't be read or is corrupt, or a thread can't be
    /// started.
    pub fn start(
        settings: ReplicationSettings,
        factory: GroupFactory,
        context: StartContext,
    ) -> Result<Self, OpenError> {
        let files = context.files.clone();
        let (wal, recovered) =
            Wal::open(files.clone(), &settings.folder.join("log"), settings.wal.clone())?;
        let snapshots = SnapshotStore::open(files, &settings.folder.join("snapshots"))?;
        let (driver, inputs) = channel();
        let (snapshot_jobs, jobs) = channel();
        let appliers = start_appliers(&snapshot_jobs, &driver)?;
        let (store, sender) = (snapshots.clone(), driver.clone());
        spawn_watched("snapshots", &driver, move || snapshot_thread::run(&store, &jobs, &sender))?;
        let (failure, failed) = watch::channel(None);
        let (stopped, stopped_receiver) = watch::channel(());
        let groups = Arc::default();
        let handle = Self {
            node: settings.node,
            driver: driver.clone(),
            appliers: appliers.clone(),
            inbox: Arc::default(),
            snapshots: snapshots.clone(),
            failure: failed,
            stopped: stopped_receiver,
            groups: Arc::clone(&groups),
        };
        let transport = Transport::new(
            context.client.clone(),
            context.addresses.clone(),
            context.runtime.clone(),
        );
        let mut driver_state = Driver {
            settings,
            replicas: BTreeMap::new(),
            removed: BTreeMap::new(),
            wal,
            snapshot_store: snapshots,
            factory,
            context,
            transport,
            workers: Workers { appliers, snapshots: snapshot_jobs, driver },
            failure,
            dirty: Default::default(),
            groups,
            stopped,
        };
        for (group, state) in recovered.groups {
            driver_state.restore(group, state)?;
        }
        driver_state.publish_groups();
        spawn("raft-driver", move || driver_state.run(&inputs))?;
        Ok(handle)
    }
}

fn start_appliers(
    snapshots: &Sender<snapshot_thread::SnapshotJob>,
    driver: &Sender<crate::input::Input>,
) -> Result<Vec<Sender<GroupTask>>, OpenError> {
    let start = |number: usize| {
        let applier = Applier::new(snapshots.clone(), driver.clone());
        let (tasks, queue) = channel();
        spawn_watched(&format!("applier-{number}"), driver, move || applier.run(&queue))?;
        Ok(tasks)
    };
    (0..APPLIERS).map(start).collect()
}

/// Starts a thread whose panic is reported to the driver as a failure, since its groups can't
/// continue without it.
fn spawn_watched(
    name: &str,
    driver: &Sender<crate::input::Input>,
    run: impl FnOnce() + Send + 'static,
) -> Result<(), OpenError> {
    let (driver, reason) = (driver.clone(), format!("thread {name} panicked"));
    spawn(name, move || {
        if catch_unwind(AssertUnwindSafe(run)).is_err() {
            let _ = driver.send(crate::input::Input::Failed { reason });
        }
    })
}

fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> Result<(), OpenError> {
    std::thread::Builder::new().name(name.to_owned()).spawn(run)?;
    Ok(())
}
