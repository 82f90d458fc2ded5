//! Runs rounds of faults and measures the recovery after each.

use std::sync::Arc;
use std::time::Duration;

use hooklug_fleet::{Fleet, FleetError, ProcessKind, ProcessName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::fault::Fault;
use super::round_generator::{FaultRound, FaultTargets, generate_round};
use super::{apply, harmful_release, probe, replication};
use crate::oracle::evidence::{DrainRecord, InjectedFault};
use crate::workload::{Client, Profile, now};

/// Maximum time to wait until all groups are fully replicated, before another disk may be lost.
const REPLICATION_TIMEOUT: Duration = Duration::from_secs(90);
/// Pause between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_secs(2);

/// Duration and seed of a chaos run.
#[derive(Debug, Clone, Copy)]
pub struct ChaosOptions {
    /// Time within which rounds start.
    pub time: Duration,
    /// Seed of the faults.
    pub seed: u64,
}

/// Receives progress messages of a run.
pub trait RunProgress: Send + Sync {
    /// Reports one line of progress.
    fn report_line(&self, line: &str);
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
    progress: &dyn RunProgress,
) -> Result<usize, FleetError> {
    let fault_targets = FaultTargets::of(fleet);
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let runner = RoundRunner { fleet, client, profile, progress };
    let start_time = Instant::now();
    let mut number = 0;
    while start_time.elapsed() < options.time {
        let round = generate_round(&fault_targets, &mut random);
        let times = if round.repeated { 2 } else { 1 };
        for _ in 0..times {
            number += 1;
            runner.run(number, &round).await?;
        }
        sleep(ROUND_INTERVAL).await;
    }
    Ok(number)
}

struct RoundRunner<'a> {
    fleet: &'a Arc<Fleet>,
    client: &'a Client,
    profile: &'a Profile,
    progress: &'a dyn RunProgress,
}

impl RoundRunner<'_> {
    async fn run(&self, number: usize, round: &FaultRound) -> Result<(), FleetError> {
        let names: Vec<String> = round.faults.iter().map(ToString::to_string).collect();
        let names = names.join(" + ");
        self.progress.report_line(&format!("round {number}: {names}"));
        if round.faults.iter().any(Fault::loses_disk) {
            self.wait_fully_replicated().await?;
        }
        let mut released_engine = None;
        let mut duration = Duration::ZERO;
        for fault in &round.faults {
            self.record_start(fault);
            apply::start(self.fleet, fault).await?;
            if *fault == Fault::HarmfulRelease {
                // Without a quorum no release is accepted, so there is none to check.
                released_engine =
                    harmful_release::start(self.fleet, &self.client.recorder()).await.ok();
            }
            duration = duration.max(fault.duration(round.long_outages));
        }
        sleep(duration).await;
        self.end(round, released_engine).await?;
        let fault_ended_at = now();
        self.client.recorder().lock().end_open_faults(fault_ended_at);
        let recovery =
            probe::measure_recovery(self.fleet, self.profile, names, fault_ended_at).await;
        let recovery_seconds =
            recovery.served_at.map_or(-1.0, |at| at.saturating_sub(fault_ended_at) as f64 / 1e3);
        self.progress.report_line(&format!(
            "round {number}: service recovered after {recovery_seconds:.1} s"
        ));
        self.client.recorder().lock().recoveries.push(recovery);
        Ok(())
    }

    async fn wait_fully_replicated(&self) -> Result<(), FleetError> {
        match replication::wait_fully_replicated(self.fleet, REPLICATION_TIMEOUT).await {
            Some(wait) => {
                self.progress.report_line(&format!(
                    "groups fully replicated after {:.1} s",
                    wait.as_secs_f64()
                ));
                Ok(())
            }
            None => {
                let seconds = REPLICATION_TIMEOUT.as_secs();
                let what = "all groups are fully replicated".to_owned();
                let last = "a replica is missing or lags behind".to_owned();
                Err(FleetError::TimedOut { what, seconds, last })
            }
        }
    }

    async fn end(
        &self,
        round: &FaultRound,
        released_engine: Option<ProcessName>,
    ) -> Result<(), FleetError> {
        // All machines return together. Frozen processes resume first; then all links are unblocked,
        // so that restarted nodes reach each other at once.
        for fault in round.faults.iter().filter(|fault| matches!(fault, Fault::Freeze(_))) {
            apply::end(self.fleet, fault).await?;
        }
        self.fleet.heal().await?;
        for fault in round.faults.iter().filter(|fault| !matches!(fault, Fault::Freeze(_))) {
            apply::end(self.fleet, fault).await?;
        }
        if let Some(engine) = released_engine {
            harmful_release::end(self.fleet, engine).await?;
        }
        self.client.refresh_gateways(self.fleet);
        Ok(())
    }

    fn record_start(&self, fault: &Fault) {
        let targets = match fault {
            Fault::RollingRestart(kind) => self.fleet.names(*kind),
            _ => fault.targets(),
        };
        let recorder = self.client.recorder();
        let mut evidence = recorder.lock();
        evidence.injected_faults.push(InjectedFault {
            description: fault.to_string(),
            targets: targets.iter().map(ToString::to_string).collect(),
            started_at: now(),
            ended_at: None,
        });
        if let Fault::Drain(name) = fault
            && matches!(name.kind, ProcessKind::Engine | ProcessKind::App)
        {
            let drain = DrainRecord { engine: name.id(), started_at: now(), ended_at: None };
            evidence.drains.push(drain);
        }
    }
}
