//! Soak test: more than a hundred changes of the bundle, including concurrent and invalid ones,
//! under load over persistent connections, while processes are killed, stopped, frozen and sent
//! `SIGHUP` in series of overlapping faults.
//!
//! Detects a node that returns to an older bundle, a change that is installed late, lost, or read
//! back in an older state, an invalid or losing bundle that is accepted, and a resubmission that is
//! rejected. The records of the load show responses that are lost, duplicated or belong to another
//! request.
//!
//! The seed is printed; `SOAK_SEEDS=7,8,9` runs other seeds.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use futures::future::join_all;
use hooklug_bundle::Bundle;
use hooklug_fleet::{Fleet, ProcessKind, ProcessName, SubmitOutcome};
use hooklug_types::BundleVersion;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;

use crate::support::bundles::{Race, accepted, submit};
use crate::support::load::Load;
use crate::support::{
    IN_FORCE_BOUND, PATIENCE, TestFleet, VersionWatch, control_topology, name, read_current,
    restart_all, running_nodes, start, wait_installed,
};

/// Seeds run in CI.
const SEEDS: [u64; 1] = [19];

/// Environment variable with other seeds, separated by commas.
const SEEDS_VARIABLE: &str = "SOAK_SEEDS";

/// Number of fault series in a run.
const SERIES: usize = 8;

/// Number of changes during a series.
const CHANGES: usize = 14;

/// Number of sessions of the load.
const SESSIONS: usize = 4;

/// Fault of a process.
#[derive(Debug, Clone, Copy)]
enum Fault {
    Kill,
    Stop,
    Freeze,
    NewSettings,
}

const FAULTS: [Fault; 4] = [Fault::Kill, Fault::Stop, Fault::Freeze, Fault::NewSettings];

pub(crate) fn seeds() -> Vec<u64> {
    let Ok(given) = std::env::var(SEEDS_VARIABLE) else { return SEEDS.to_vec() };
    given.split(',').map(|seed| seed.trim().parse().expect("a seed is a number")).collect()
}

/// State of a run.
struct Day {
    fleet: Arc<TestFleet>,
    rng: StdRng,
    newest: Bundle,
    /// Processes with a fault in progress.
    disturbed: Arc<Mutex<BTreeSet<ProcessName>>>,
    faults: JoinSet<()>,
}

impl Day {
    async fn begin(fleet: Arc<TestFleet>, seed: u64) -> Self {
        let newest = read_current(&fleet, name("gateway:0")).await.bundle;
        Self {
            fleet,
            rng: StdRng::seed_from_u64(seed),
            newest,
            disturbed: Arc::default(),
            faults: JoinSet::new(),
        }
    }

    fn is_disturbed(&self, node: ProcessName) -> bool {
        self.disturbed.lock().unwrap().contains(&node)
    }

    /// Starts a random fault at a process of a kind, unless one is in progress at a process of that
    /// kind. The fault ends by itself.
    fn disturb(&mut self, kind: ProcessKind) {
        let names = self.fleet.names(kind);
        // The first gateway is spared, and only one store is disturbed at a time, so that changes
        // can be acknowledged.
        let names: Vec<_> = names.into_iter().filter(|n| *n != name("gateway:0")).collect();
        let (Some(&victim), Some(&fault)) =
            (names.choose(&mut self.rng), FAULTS.choose(&mut self.rng))
        else {
            return;
        };
        if names.iter().any(|other| self.is_disturbed(*other)) {
            return;
        }
        let pause = Duration::from_millis(self.rng.random_range(100..1_200));
        println!("{fault:?} {victim} for {pause:?}");
        self.disturbed.lock().unwrap().insert(victim);
        let (fleet, disturbed) = (self.fleet.clone(), self.disturbed.clone());
        self.faults.spawn(async move {
            carry_out(&fleet, victim, fault, pause).await;
            disturbed.lock().unwrap().remove(&victim);
        });
    }

    fn next_version(&mut self) -> u64 {
        self.newest.version.0 + 1
    }

    /// Makes one change: usually a valid one, sometimes two concurrent ones, an invalid one, or the
    /// last one again.
    async fn change(&mut self) {
        let version = self.next_version();
        match self.rng.random_range(0..10) {
            0 if !self.is_disturbed(name("gateway:1")) => self.race(version).await,
            1 => self.invalid(version).await,
            2 => drop(accepted(&self.fleet, name("gateway:0"), &self.newest).await),
            _ => {
                let marker = 10 + u32::try_from(version % 100).unwrap();
                let bundle = self.fleet.marked_bundle(version, marker).unwrap();
                accepted(&self.fleet, name("gateway:0"), &bundle).await;
                self.newest = bundle;
            }
        }
    }

    async fn race(&mut self, version: u64) {
        self.newest = Race::run(&self.fleet, version).await.winner;
    }

    async fn invalid(&mut self, version: u64) {
        let mut bundle = self.fleet.marked_bundle(version, 10).unwrap();
        bundle.base = BundleVersion(version);
        let verdict = submit(&self.fleet, name("gateway:0"), &bundle).await;
        assert!(
            matches!(verdict, SubmitOutcome::Refused { .. }),
            "an invalid bundle was accepted: {verdict:?}"
        );
    }

    /// Waits until all faults have ended; then a change must be installed at all nodes within the
    /// bound and read back as it was sent.
    async fn check_in_calm(&mut self) {
        while self.faults.join_next().await.is_some() {}
        self.fleet.wait_all_ready(PATIENCE).await.unwrap();
        let version = self.next_version();
        let bundle = self.fleet.marked_bundle(version, 9).unwrap();
        accepted(&self.fleet, name("gateway:0"), &bundle).await;
        let answered = Instant::now();
        let nodes = running_nodes(&self.fleet);
        join_all(nodes.iter().map(|node| wait_installed(&self.fleet, *node, version))).await;
        let took = answered.elapsed();
        println!("version {version}: installed at all nodes {took:?} after the response");
        assert!(took <= IN_FORCE_BOUND, "version {version} took {took:?}");
        self.newest = bundle;
        self.read_back().await;
    }

    async fn read_back(&self) {
        let read = read_current(&self.fleet, name("gateway:0")).await;
        assert_eq!((read.record.version, &read.bundle), (self.newest.version, &self.newest));
    }
}

async fn carry_out(fleet: &Fleet, victim: ProcessName, fault: Fault, pause: Duration) {
    match fault {
        Fault::Kill => {
            fleet.kill(victim).unwrap();
            tokio::time::sleep(pause).await;
            fleet.restart(victim).await.unwrap();
        }
        Fault::Stop => {
            fleet.stop(victim).await.unwrap();
            fleet.restart(victim).await.unwrap();
        }
        Fault::Freeze => {
            fleet.freeze(victim).unwrap();
            tokio::time::sleep(pause).await;
            fleet.wake(victim).unwrap();
        }
        Fault::NewSettings => {
            fleet.send_sighup(victim).unwrap();
            tokio::time::sleep(pause).await;
        }
    }
}

async fn play(seed: u64) {
    println!("soak, seed {seed}");
    let fleet = Arc::new(start(control_topology(3)).await);
    let watch = VersionWatch::start(fleet.clone());
    let load = Load::start(&fleet, SESSIONS).await;
    let mut day = Day::begin(fleet.clone(), seed).await;
    for _ in 0..SERIES {
        for number in 0..CHANGES {
            if number % 3 == 0 {
                day.disturb(ProcessKind::Store);
                day.disturb(ProcessKind::Core);
                day.disturb(ProcessKind::Gateway);
            }
            day.change().await;
        }
        day.check_in_calm().await;
    }
    load.stop_and_read_back(&fleet).await;
    watch.end().await;
    let nodes = running_nodes(&fleet);
    nodes.iter().for_each(|node| fleet.kill(*node).unwrap());
    restart_all(&fleet, &nodes).await.unwrap();
    day.read_back().await;
}

/// Guards against changes that are late, lost or undone during series of overlapping faults.
#[tokio::test(flavor = "multi_thread")]
async fn changes_hold_through_overlapping_faults() {
    for seed in seeds() {
        play(seed).await;
    }
}
