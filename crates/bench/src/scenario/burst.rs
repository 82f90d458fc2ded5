//! Runs a scenario of two phases: a steady load, then a burst in which all users of a zone arrive
//! within one second while engines are replaced.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use hooklug_bundle::Bundle;
use hooklug_fleet::{Fleet, FleetError, FleetOptions, ProcessKind, Topology};
use hooklug_types::BundleVersion;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::Outcome;
use super::specification::{Load, Specification};
use crate::faults::{RunProgress, measure_recovery};
use crate::oracle::evidence::{DrainRecord, InjectedFault};
use crate::workload::{
    CallStream, Client, Profile, Recorder, now, poll_versions, read_final_state, run_operator,
    run_programs,
};

/// Time for late work to finish before the results are read.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Time within which all users of a zone arrive (requirement: 1 s).
const BURST_RAMP_TIME: Duration = Duration::from_secs(1);
/// Pause between two kills.
const KILL_INTERVAL: Duration = Duration::from_secs(6);
/// Time for which a killed node stays down.
const DOWNTIME: Duration = Duration::from_secs(3);
/// Requests per second and concurrent requests that a tenant may make at one gateway. Effectively
/// unlimited, because these scenarios measure capacity rather than tenant limits.
const TENANT_LIMIT: u32 = 100_000;

/// A burst scenario and the parameters of its run.
#[derive(Debug, Clone)]
pub struct BurstRun {
    /// The scenario, the gateway mode and the scale.
    pub specification: Specification,
    /// Topology of the fleet.
    pub topology: Topology,
    /// Length of the steady phase and of the burst phase, each.
    pub phase_time: Duration,
    /// Seed of load, operators and kills.
    pub seed: u64,
    /// Data folder of the fleet. If `None`, a temporary one is used.
    pub data: Option<PathBuf>,
}

impl BurstRun {
    /// Runs the scenario and checks its evidence.
    ///
    /// # Errors
    /// If the fleet cannot be started or a node cannot be killed or restarted.
    pub async fn run(&self, progress: &dyn RunProgress) -> Result<Outcome, FleetError> {
        let mut topology = self.topology.clone();
        topology.gateway_mode = self.specification.mode;
        let load = self.specification.scenario.load();
        for group in &mut topology.applications {
            (group.run_ms, group.slots) =
                (load.run_time.as_millis() as u64, load.application_slots);
        }
        let options = FleetOptions { data: self.data.clone() };
        let fleet = Arc::new(Fleet::start_with(topology, options).await?);
        lift_tenant_limits(&fleet).await?;
        let name = self.specification.to_string();
        progress.report_line(&format!("{name}: {} processes are running", fleet.all_names().len()));
        let running = RunningBurst::new(self, fleet);
        let from = now();
        let burst = running.run_phases(progress).await?;
        let to = now();
        running.stop().await?;
        sleep(SETTLE_TIME).await;
        read_final_state(&running.fleet, &running.client).await?;
        let evidence = running.client.recorder().snapshot();
        let parts = [("steady".to_owned(), from, burst), ("burst".to_owned(), burst, to)];
        Ok(Outcome::of(&name, &evidence, (from, to), &parts))
    }
}

/// Submits the topology's bundle again with tenant limits that the load does not reach.
///
/// # Errors
/// If no node accepts the bundle.
pub async fn lift_tenant_limits(fleet: &Fleet) -> Result<(), FleetError> {
    let bundle_result = fleet.topology().bundle(BundleVersion(2), BundleVersion(1));
    let mut bundle: Bundle = bundle_result.map_err(|e| FleetError::Unexpected(e.to_string()))?;
    for tenant in bundle.tenants.values_mut() {
        tenant.limits.requests_per_second = f64::from(TENANT_LIMIT);
        tenant.limits.concurrency = TENANT_LIMIT;
    }
    fleet.submit_bundle(&bundle).await.map(drop)
}

/// A scenario that is being run.
struct RunningBurst {
    fleet: Arc<Fleet>,
    client: Client,
    profile: Profile,
    load: Load,
    slots: f64,
    scale: f64,
    phase_time: Duration,
    seed: u64,
    stop: CancellationToken,
    tasks: tokio::sync::Mutex<JoinSet<()>>,
    /// Whether engines are being replaced one after another.
    replacing: AtomicBool,
}

impl RunningBurst {
    fn new(run: &BurstRun, fleet: Arc<Fleet>) -> Self {
        let load = run.specification.scenario.load();
        let client = Client::new(&fleet, Recorder::default());
        let slots: usize = run.topology.models.iter().map(|g| g.engines * g.slots as usize).sum();
        let profile = Profile {
            turn_tokens: load.turn_tokens,
            max_calls: load.max_calls,
            non_repeatable_share: load.non_repeatable_share,
            max_turns: load.max_turns,
            max_think_time: load.max_think_time,
            small_budget_share: 0.1,
            ..Profile::of(&run.topology)
        };
        Self {
            fleet,
            client,
            profile,
            load,
            slots: slots as f64 * run.specification.scale,
            scale: run.specification.scale,
            phase_time: run.phase_time,
            seed: run.seed,
            stop: CancellationToken::new(),
            tasks: tokio::sync::Mutex::default(),
            replacing: AtomicBool::new(false),
        }
    }

    /// Runs both phases and returns the start time of the burst.
    async fn run_phases(&self, progress: &dyn RunProgress) -> Result<u64, FleetError> {
        let recorder = self.client.recorder();
        {
            let mut tasks = self.tasks.lock().await;
            tasks.spawn(run_operator(
                self.fleet.clone(),
                recorder.clone(),
                self.seed,
                self.stop.clone(),
            ));
            tasks.spawn(poll_versions(self.fleet.clone(), recorder, self.stop.clone()));
        }
        self.add_programs(self.load.steady, self.phase_time / 4, 1).await;
        self.add_device_calls(self.load.device_calls.0, 1).await;
        let kills = self.kill_nodes_until(Instant::now() + self.phase_time * 2, progress);
        let parts = async {
            sleep(self.phase_time).await;
            let burst = now();
            progress.report_line("burst starts: all users of a zone arrive");
            self.add_programs(self.load.burst, BURST_RAMP_TIME, 2).await;
            self.add_device_calls(self.load.device_calls.1, 2).await;
            let end = Instant::now() + self.phase_time;
            if self.load.replace_engines {
                self.replacing.store(true, Ordering::SeqCst);
                self.restart_engines(end, progress).await?;
                self.replacing.store(false, Ordering::SeqCst);
            }
            tokio::time::sleep_until(end).await;
            Ok::<u64, FleetError>(burst)
        };
        let (killed, burst) = tokio::join!(kills, parts);
        killed?;
        burst
    }

    async fn add_programs(&self, programs_per_slot: f64, ramp: Duration, part: u64) {
        let count = (self.slots * programs_per_slot).round().max(1.0) as usize;
        let (client, profile, stop) =
            (self.client.clone(), self.profile.clone(), self.stop.clone());
        let seed = self.seed.wrapping_mul(31).wrapping_add(part);
        self.tasks.lock().await.spawn(async move {
            run_programs(&client, &profile, count, ramp, seed, &stop).await;
        });
    }

    /// Adds device calls at `share` of the call rate that each service's engines can serve, times
    /// the scale.
    async fn add_device_calls(&self, share: f64, part: u64) {
        for (index, group) in self.fleet.topology().applications.iter().enumerate() {
            let concurrency = group.engines as f64 * f64::from(group.slots);
            let capacity = concurrency / self.load.run_time.as_secs_f64();
            let stream = CallStream {
                name: format!("devices-{part}-{}", group.service),
                tools: group.tools.clone(),
                per_second: capacity * share * self.scale,
            };
            let seed = self.seed.wrapping_mul(37).wrapping_add(part * 100 + index as u64);
            let running = stream.run(self.client.clone(), seed, self.stop.clone());
            self.tasks.lock().await.spawn(running);
        }
    }

    /// Restarts engines one after another, as the platform does to replace them.
    async fn restart_engines(
        &self,
        end: Instant,
        progress: &dyn RunProgress,
    ) -> Result<(), FleetError> {
        for name in self.fleet.names(ProcessKind::Engine) {
            if Instant::now() >= end {
                break;
            }
            progress.report_line(&format!("replacing {name}"));
            self.record_start(format!("replace {name}"), vec![name.to_string()]);
            let drain = DrainRecord { engine: name.id(), started_at: now(), ended_at: None };
            self.client.recorder().lock().drains.push(drain);
            self.fleet.restart(name).await?;
            self.record_end(&format!("replace {name}"), &name.id());
        }
        Ok(())
    }

    /// Kills random nodes, one at a time, and restarts them.
    async fn kill_nodes_until(
        &self,
        end: Instant,
        progress: &dyn RunProgress,
    ) -> Result<(), FleetError> {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        use ProcessKind::{Core, Engine, Gateway, Store};
        let kinds = [Store, Core, Gateway, Engine];
        while self.load.kills && Instant::now() + KILL_INTERVAL + DOWNTIME < end {
            sleep(KILL_INTERVAL).await;
            let kind = *kinds.choose(&mut random).unwrap_or(&Core);
            if kind == Engine && self.replacing.load(Ordering::SeqCst) {
                // The replacement of an engine waits for its exit and restart, which a kill would
                // disturb.
                continue;
            }
            let names = self.fleet.names(kind);
            let Some(name) = names.choose(&mut random).copied() else { continue };
            progress.report_line(&format!("killing {name}"));
            self.record_start(format!("kill {name}"), vec![name.to_string()]);
            self.fleet.kill(name)?;
            sleep(DOWNTIME).await;
            self.fleet.restart(name).await?;
            self.record_end(&format!("kill {name}"), "");
            let recovery =
                measure_recovery(&self.fleet, &self.profile, format!("kill {name}"), now()).await;
            self.client.recorder().lock().recoveries.push(recovery);
        }
        Ok(())
    }

    fn record_start(&self, description: String, targets: Vec<String>) {
        let injected = InjectedFault { description, targets, started_at: now(), ended_at: None };
        self.client.recorder().lock().injected_faults.push(injected);
    }

    fn record_end(&self, description: &str, drained_engine: &str) {
        let recorder = self.client.recorder();
        let mut evidence = recorder.lock();
        for injected in evidence
            .injected_faults
            .iter_mut()
            .filter(|injected| injected.description == description)
        {
            injected.ended_at.get_or_insert(now());
        }
        for drain in evidence.drains.iter_mut().filter(|drain| drain.engine == drained_engine) {
            drain.ended_at.get_or_insert(now());
        }
    }

    async fn stop(&self) -> Result<(), FleetError> {
        self.stop.cancel();
        let mut tasks = self.tasks.lock().await;
        while let Some(joined) = tasks.join_next().await {
            // A panic in one of these tasks is a bug of the load tool.
            joined.map_err(|e| FleetError::Unexpected(e.to_string()))?;
        }
        Ok(())
    }
}
