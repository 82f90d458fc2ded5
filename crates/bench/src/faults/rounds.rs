//! Runs rounds of faults and measures the recovery after each.

use std::sync::Arc;
use std::time::Duration;

use hooklug_fleet::{Fleet, FleetError, ProcessKind, ProcessName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::fault::Fault;
use super::round_generator::{Draw, Shape, draw_round};
use super::{apply, harmful_release, probe, replication};
use crate::oracle::evidence::{Disturbance, DrainRecord};
use crate::workload::{Client, Profile, now};

/// Maximum time to wait until all groups are fully replicated, before another disk may be lost.
const WHOLE_TIME: Duration = Duration::from_secs(90);
/// Pause between two rounds.
const BETWEEN_ROUNDS: Duration = Duration::from_secs(2);

/// Duration and seed of a chaos run.
#[derive(Debug, Clone, Copy)]
pub struct ChaosOptions {
    /// Time within which rounds start.
    pub time: Duration,
    /// Seed of the faults.
    pub seed: u64,
}

/// Receives progress messages of a run.
pub trait ChaosProgress: Send + Sync {
    /// Reports one line of progress.
    fn say(&self, line: &str);
}

/// Injects faults round by round. Load and recording run in other tasks.
///
/// # Errors
/// If the fleet cannot perform a fault.
pub async fn run_rounds(
    fleet: &Arc<Fleet>,
    client: &Client,
    profile: &Profile,
    options: ChaosOptions,
    progress: &dyn ChaosProgress,
) -> Result<usize, FleetError> {
    let shape = Shape::of(fleet);
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let rounds = Rounds { fleet, client, profile, progress };
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < options.time {
        let draw = draw_round(&shape, &mut random);
        let times = if draw.twice { 2 } else { 1 };
        for _ in 0..times {
            number += 1;
            rounds.run(number, &draw).await?;
        }
        sleep(BETWEEN_ROUNDS).await;
    }
    Ok(number)
}

struct Rounds<'a> {
    fleet: &'a Arc<Fleet>,
    client: &'a Client,
    profile: &'a Profile,
    progress: &'a dyn ChaosProgress,
}

impl Rounds<'_> {
    async fn run(&self, number: usize, draw: &Draw) -> Result<(), FleetError> {
        let names: Vec<String> = draw.faults.iter().map(ToString::to_string).collect();
        let names = names.join(" + ");
        self.progress.say(&format!("round {number}: {names}"));
        if draw.faults.iter().any(Fault::loses_disk) {
            self.wait_whole().await?;
        }
        let mut released = None;
        let mut hold = Duration::ZERO;
        for fault in &draw.faults {
            self.note_beginning(fault);
            apply::begin(self.fleet, fault).await?;
            if *fault == Fault::HarmfulRelease {
                // Without a quorum no release is accepted, so there is none to check.
                released = harmful_release::begin(self.fleet, &self.client.recorder()).await.ok();
            }
            hold = hold.max(fault.hold(draw.long));
        }
        sleep(hold).await;
        self.end(draw, released).await?;
        let healed = now();
        self.client.recorder().lock().all_over(healed);
        let recovery = probe::recover(self.fleet, self.profile, names, healed).await;
        let took = recovery.served.map_or(-1.0, |at| at.saturating_sub(healed) as f64 / 1e3);
        self.progress.say(&format!("round {number}: served again after {took:.1} s"));
        self.client.recorder().lock().recoveries.push(recovery);
        Ok(())
    }

    async fn wait_whole(&self) -> Result<(), FleetError> {
        match replication::wait_whole(self.fleet, WHOLE_TIME).await {
            Some(took) => {
                self.progress.say(&format!("groups whole after {:.1} s", took.as_secs_f64()));
                Ok(())
            }
            None => {
                let seconds = WHOLE_TIME.as_secs();
                let what = "all groups are whole".to_owned();
                let last = "some replica is missing or behind".to_owned();
                Err(FleetError::TimedOut { what, seconds, last })
            }
        }
    }

    async fn end(&self, draw: &Draw, released: Option<ProcessName>) -> Result<(), FleetError> {
        // Resume frozen processes first, then heal all cuts, so that restarted nodes start without
        // cuts.
        for fault in draw.faults.iter().filter(|fault| matches!(fault, Fault::Freeze(_))) {
            apply::end(self.fleet, fault).await?;
        }
        self.fleet.heal().await?;
        for fault in draw.faults.iter().filter(|fault| !matches!(fault, Fault::Freeze(_))) {
            apply::end(self.fleet, fault).await?;
        }
        if let Some(engine) = released {
            harmful_release::end(self.fleet, engine).await?;
        }
        self.client.learn_gateways(self.fleet);
        Ok(())
    }

    fn note_beginning(&self, fault: &Fault) {
        let hit = match fault {
            Fault::RollingRestart(kind) => self.fleet.names(*kind),
            _ => fault.hit(),
        };
        let recorder = self.client.recorder();
        let mut evidence = recorder.lock();
        evidence.disturbances.push(Disturbance {
            fault: fault.to_string(),
            hit: hit.iter().map(ToString::to_string).collect(),
            from: now(),
            until: None,
        });
        if let Fault::Drain(name) = fault
            && matches!(name.kind, ProcessKind::Engine | ProcessKind::App)
        {
            let drain = DrainRecord { engine: name.word(), known: now(), until: None };
            evidence.drains.push(drain);
        }
    }
}
