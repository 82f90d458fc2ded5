//! Starts fleets for tests, and limits how many run concurrently on the machine.

use std::ops::Deref;
use std::sync::LazyLock;
use std::time::Instant;

use futures::future::try_join_all;
use hooklug_fleet::{Fleet, FleetError, ProcessName, Topology};
use tokio::sync::{Semaphore, SemaphorePermit};

/// Processors reserved for a fleet of about fifteen processes. Measured average: 0.65 of a
/// processor; starts and elections need more.
const PROCESSORS_PER_FLEET: usize = 2;

/// Maximum number of fleets that run concurrently.
static MAX_FLEETS: LazyLock<usize> = LazyLock::new(|| {
    let processors = std::thread::available_parallelism().map_or(1, usize::from);
    (processors / PROCESSORS_PER_FLEET).max(1)
});
static FLEET_PERMITS: LazyLock<Semaphore> = LazyLock::new(|| Semaphore::new(*MAX_FLEETS));

/// A running fleet with its permit for a share of the machine.
#[derive(Debug)]
pub struct TestFleet {
    fleet: Fleet,
    started_at: Instant,
    // Declared last, so that the permit is released after the processes have exited.
    _permit: SemaphorePermit<'static>,
}

impl Deref for TestFleet {
    type Target = Fleet;

    fn deref(&self) -> &Fleet {
        &self.fleet
    }
}

impl Drop for TestFleet {
    /// Prints the duration of the test, without the wait for its permit.
    fn drop(&mut self) {
        let thread = std::thread::current();
        println!("{} took {:.1?}", thread.name().unwrap_or("a test"), self.started_at.elapsed());
    }
}

/// Waits until another fleet may run.
pub async fn acquire_fleet_permit() -> SemaphorePermit<'static> {
    FLEET_PERMITS.acquire().await.unwrap()
}

/// Starts a fleet once another one may run.
pub async fn start(topology: Topology) -> TestFleet {
    launch(topology, acquire_fleet_permit().await).await
}

/// Starts a fleet while no other one runs, for load that uses the complete machine.
pub async fn start_alone(topology: Topology) -> TestFleet {
    let all_permits = u32::try_from(*MAX_FLEETS).unwrap();
    launch(topology, FLEET_PERMITS.acquire_many(all_permits).await.unwrap()).await
}

async fn launch(topology: Topology, permit: SemaphorePermit<'static>) -> TestFleet {
    let started_at = Instant::now();
    TestFleet { fleet: Fleet::start(topology).await.unwrap(), started_at, _permit: permit }
}

/// Topology for faults of stores and cores: three cores, two gateways, two engines, and one
/// application service with two engines.
pub fn control_topology(stores: usize) -> Topology {
    let mut topology = Topology::small();
    topology.stores = stores;
    topology.gateways = 2;
    topology.models.truncate(1);
    topology.models[0].engines = 2;
    topology.applications.remove(0);
    topology
}

/// Topology for faults of backends, engines and gateways: three stores, one core, two gateways, and
/// one application service with non-repeatable calls.
pub fn data_topology(engines: usize, applications: usize) -> Topology {
    let mut topology = Topology::small();
    topology.stores = 3;
    topology.cores = 1;
    topology.gateways = 2;
    topology.models.truncate(1);
    topology.models[0].engines = engines;
    topology.applications.retain(|group| group.service.as_str() == "alarms");
    topology.applications[0].engines = applications;
    topology
}

/// Names of all running nodes.
pub fn running_nodes(fleet: &Fleet) -> Vec<ProcessName> {
    let nodes = fleet.all_names().into_iter().filter(|name| name.kind.is_node());
    nodes.filter(|name| fleet.is_running(*name).unwrap()).collect()
}

pub fn pid(fleet: &Fleet, name: ProcessName) -> Option<u32> {
    fleet.status().into_iter().find(|status| status.name == name)?.pid
}

/// Restarts processes concurrently.
pub async fn restart_all(fleet: &Fleet, names: &[ProcessName]) -> Result<(), FleetError> {
    try_join_all(names.iter().map(|name| fleet.restart(*name))).await.map(drop)
}
