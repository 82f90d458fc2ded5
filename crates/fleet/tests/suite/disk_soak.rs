//! Disks are lost one after another, each after the groups have had time to catch up, while other
//! processes are killed, frozen or restarted.
//!
//! Detects a replica that is replaced only after the next disk may be lost, a group member that
//! forgets entries that its leader counts as replicated, and a group that no longer commits. The
//! records of the load show every loss.
//!
//! The seed is printed; `SOAK_SEEDS=7,8,9` runs other seeds.

use std::time::{Duration, Instant};

use hooklug_fleet::{Fleet, ProcessKind, ProcessName, SeedChoice};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};

use crate::soak::seeds;
use crate::store_failures::CATCH_UP_TIME;
use crate::support::load::Load;
use crate::support::repair::{node_id, retire, wait_repaired};
use crate::support::{control_topology, name, restart_all, running_nodes, start_alone};

/// Number of disks that are lost in a run.
const DISK_LOSSES: usize = 6;

/// Number of sessions of the load.
const SESSIONS: usize = 4;

/// Way in which a disk is lost.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// The machine returns with an empty disk at the same address.
    Disk,
    /// It is replaced by an empty machine at another address.
    Machine,
}

/// Fault of another process at the same time; none of them loses a disk.
#[derive(Debug, Clone, Copy)]
enum ConcurrentFault {
    Nothing,
    KillCore,
    FreezeCore,
    FreezeGateway,
    RestartAllCores,
}

const LOSS_KINDS: [Loss; 2] = [Loss::Disk, Loss::Machine];
const CONCURRENT_FAULTS: [ConcurrentFault; 5] = [
    ConcurrentFault::Nothing,
    ConcurrentFault::KillCore,
    ConcurrentFault::FreezeCore,
    ConcurrentFault::FreezeGateway,
    ConcurrentFault::RestartAllCores,
];

async fn lose_disk(fleet: &Fleet, store: ProcessName, loss: Loss) {
    match loss {
        Loss::Disk => fleet.lose_disk(store).await.unwrap(),
        Loss::Machine => fleet.replace(store).await.unwrap(),
    }
}

async fn apply_concurrent_fault(fleet: &Fleet, concurrent: ConcurrentFault, pause: Duration) {
    let (core, gateway) = (name("core:1"), name("gateway:1"));
    match concurrent {
        ConcurrentFault::Nothing => {}
        ConcurrentFault::KillCore => {
            fleet.kill(core).unwrap();
            tokio::time::sleep(pause).await;
            fleet.restart(core).await.unwrap();
        }
        ConcurrentFault::FreezeCore | ConcurrentFault::FreezeGateway => {
            let frozen =
                if matches!(concurrent, ConcurrentFault::FreezeCore) { core } else { gateway };
            fleet.freeze(frozen).unwrap();
            tokio::time::sleep(pause).await;
            fleet.resume(frozen).unwrap();
        }
        ConcurrentFault::RestartAllCores => {
            let cores = fleet.names(ProcessKind::Core);
            cores.iter().for_each(|core| fleet.kill(*core).unwrap());
            restart_all(fleet, &cores).await.unwrap();
        }
    }
}

async fn run_seed(seed: u64) {
    println!("disk soak, seed {seed}");
    let mut rng = StdRng::seed_from_u64(seed);
    let mut topology = control_topology(5);
    topology.seeds = SeedChoice::Cores;
    let fleet = start_alone(topology).await;
    let load = Load::start(&fleet, SESSIONS).await;
    let retired = node_id(&fleet, name("store:4")).await.expect("the store is in the view");
    let stores = ["store:0", "store:1", "store:2", "store:3"].map(name);
    let mut lost = Vec::new();
    for round in 0..DISK_LOSSES {
        if round == 1 {
            retire(&fleet, retired).await;
        }
        let store = *stores.choose(&mut rng).unwrap();
        let (loss, concurrent) = (LOSS_KINDS.choose(&mut rng), CONCURRENT_FAULTS.choose(&mut rng));
        let (loss, concurrent) = (*loss.unwrap(), *concurrent.unwrap());
        let pause = Duration::from_millis(rng.random_range(100..1_500));
        println!("{loss:?} of {store}, concurrent fault {concurrent:?} for {pause:?}");
        lost.push(node_id(&fleet, store).await.expect("the store is in the view"));
        tokio::join!(
            lose_disk(&fleet, store, loss),
            apply_concurrent_fault(&fleet, concurrent, pause)
        );
        let returned = Instant::now();
        wait_repaired(&fleet, lost[round]).await;
        println!("all groups fully replicated {:?} after the return", returned.elapsed());
        // The next disk may be lost after this time at the earliest.
        tokio::time::sleep(CATCH_UP_TIME.saturating_sub(returned.elapsed())).await;
    }
    load.wait_rounds(&fleet, 2).await;
    load.stop_and_read_back(&fleet).await;
    let nodes = running_nodes(&fleet);
    nodes.iter().for_each(|node| fleet.kill(*node).unwrap());
    restart_all(&fleet, &nodes).await.unwrap();
    for node in lost.into_iter().chain([retired]) {
        wait_repaired(&fleet, node).await;
    }
}

/// Guards against data and service lost with successive disks. Formerly nothing was served or read
/// back after the next loss, and turns were refused until the end, because a member of their group
/// had forgotten its log.
#[tokio::test(flavor = "multi_thread")]
async fn disks_lost_in_series_lose_nothing() {
    for seed in seeds() {
        run_seed(seed).await;
    }
}
