//! Measures how long sessions are without an owner while engines are killed, frozen and drained one
//! after another.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hooklug_fleet::{Fleet, FleetError, FleetOptions, ProcessKind, ProcessName, Topology};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::Outcome;
use super::burst::lift_tenant_limits;
use crate::faults::{RunProgress, measure_recovery};
use crate::oracle::evidence::{
    DrainRecord, Evidence, InjectedFault, Millis, SessionName, SessionRecord, TurnClaim,
};
use crate::report::{Goal, Measure, Section};
use crate::statistics::Percentiles;
use crate::workload::{
    Client, Profile, Recorder, now, poll_versions, read_final_state, run_programs,
};

/// Maximum median takeover time, in milliseconds. The promise is less than 6 s for each takeover.
const MEDIAN_TAKEOVER_GOAL_MS: f64 = 5_000.0;
/// Time for which a killed or frozen engine stays down. Must exceed the lease time.
const DOWNTIME: Duration = Duration::from_secs(8);
/// Pause between two faults.
const FAULT_INTERVAL: Duration = Duration::from_secs(2);
/// Time over which the starts of sessions are spread.
const RAMP_TIME: Duration = Duration::from_secs(2);
/// Time for late work to finish before the results are read.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A fault of an engine that causes takeovers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum EngineFault {
    Kill,
    Freeze,
    Drain,
}

impl EngineFault {
    const ALL: [Self; 3] = [Self::Kill, Self::Freeze, Self::Drain];

    fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Freeze => "freeze",
            Self::Drain => "drain",
        }
    }
}

/// A run in which engines fail one after another.
#[derive(Debug, Clone)]
pub struct Takeover {
    /// Topology of the fleet. Its engines get enough slots for all sessions while one of them is
    /// down.
    pub topology: Topology,
    /// Time during which engines fail; each kind of fault is injected at least once.
    pub time: Duration,
    /// Number of concurrent programs, most of them with one session.
    pub programs: usize,
    /// Seed of the load.
    pub seed: u64,
    /// Data folder of the fleet. If `None`, a temporary one is used.
    pub data: Option<PathBuf>,
}

impl Takeover {
    /// Runs the scenario. Returns the section with the verdict and the section with the takeover
    /// times.
    ///
    /// # Errors
    /// If the fleet cannot be started or a fault cannot be injected or ended.
    pub async fn run(mut self, progress: &dyn RunProgress) -> Result<Vec<Section>, FleetError> {
        self.provide_slots();
        let options = FleetOptions { data: self.data.clone() };
        let fleet = Arc::new(Fleet::start_with(self.topology.clone(), options).await?);
        lift_tenant_limits(&fleet).await?;
        let client = Client::new(&fleet, Recorder::default());
        let profile = turns_only_profile(&self.topology);
        let stop = CancellationToken::new();
        let from = now();
        let load = {
            let (client, profile, stop) = (client.clone(), profile.clone(), stop.clone());
            let (programs, seed) = (self.programs, self.seed);
            tokio::spawn(async move {
                run_programs(&client, &profile, programs, RAMP_TIME, seed, &stop).await;
            })
        };
        let observer = tokio::spawn(poll_versions(fleet.clone(), client.recorder(), stop.clone()));
        sleep(RAMP_TIME + FAULT_INTERVAL).await;
        let injector =
            FaultInjector { fleet: &fleet, client: &client, profile: &profile, progress };
        let injected = injector.run(self.time).await;
        let to = now();
        stop.cancel();
        // A panic in one of these tasks is a bug of the load tool.
        let joined = tokio::join!(load, observer);
        joined.0.and(joined.1).map_err(|e| FleetError::Unexpected(e.to_string()))?;
        injected?;
        sleep(SETTLE_TIME).await;
        read_final_state(&fleet, &client).await?;
        let evidence = client.recorder().snapshot();
        let outcome = Outcome::of("takeover", &evidence, (from, to), &[]);
        Ok(vec![outcome.into_section(), section(&evidence)])
    }

    fn provide_slots(&mut self) {
        let engines: usize = self.topology.models.iter().map(|group| group.engines).sum();
        let slots = self.programs.div_ceil(engines.max(1)) * 2;
        for group in &mut self.topology.models {
            group.slots = u32::try_from(slots).unwrap_or(u32::MAX);
        }
    }
}

/// Returns a profile of programs that only run turns, with short pauses.
fn turns_only_profile(topology: &Topology) -> Profile {
    Profile {
        turn_tokens: (20, 60),
        call_share: 0.0,
        max_think_time: Duration::from_millis(20),
        max_turns: 40,
        small_budget_share: 0.1,
        join_share: 0.1,
        ..Profile::of(topology)
    }
}

struct FaultInjector<'a> {
    fleet: &'a Fleet,
    client: &'a Client,
    profile: &'a Profile,
    progress: &'a dyn RunProgress,
}

impl FaultInjector<'_> {
    /// Injects faults one after another, until the time is over and each kind has been injected
    /// once.
    async fn run(&self, time: Duration) -> Result<(), FleetError> {
        let end = Instant::now() + time;
        let engines = self.fleet.names(ProcessKind::Engine);
        let faults = EngineFault::ALL.into_iter().cycle().zip(engines.into_iter().cycle());
        for (number, (fault, engine)) in faults.enumerate() {
            if number >= EngineFault::ALL.len() && Instant::now() >= end {
                return Ok(());
            }
            self.inject(fault, engine).await?;
            sleep(FAULT_INTERVAL).await;
        }
        Ok(())
    }

    async fn inject(&self, fault: EngineFault, engine: ProcessName) -> Result<(), FleetError> {
        let description = format!("{} {engine}", fault.name());
        self.progress.report_line(&description);
        self.record_start(fault, engine, &description);
        match fault {
            EngineFault::Kill => {
                self.fleet.kill(engine)?;
                sleep(DOWNTIME).await;
                self.fleet.restart(engine).await?;
            }
            EngineFault::Freeze => {
                self.fleet.freeze(engine)?;
                sleep(DOWNTIME).await;
                self.fleet.resume(engine)?;
            }
            EngineFault::Drain => self.fleet.restart(engine).await?,
        }
        let fault_ended_at = now();
        self.client.recorder().lock().end_open_faults(fault_ended_at);
        let recovery =
            measure_recovery(self.fleet, self.profile, description, fault_ended_at).await;
        self.client.recorder().lock().recoveries.push(recovery);
        Ok(())
    }

    fn record_start(&self, fault: EngineFault, engine: ProcessName, description: &str) {
        let recorder = self.client.recorder();
        let mut evidence = recorder.lock();
        let (description, targets) = (description.to_owned(), vec![engine.id()]);
        evidence.injected_faults.push(InjectedFault {
            description,
            targets,
            started_at: now(),
            ended_at: None,
        });
        if fault == EngineFault::Drain {
            let drain = DrainRecord { engine: engine.id(), started_at: now(), ended_at: None };
            evidence.drains.push(drain);
        }
    }
}

/// Returns the takeover times of all faults whose description starts with `fault_name`, in
/// milliseconds. A takeover time is measured for each session that the failed engine owned, from
/// the fault to the first token of the next turn that finished.
#[must_use]
pub fn takeover_times(evidence: &Evidence, fault_name: &str) -> Vec<f64> {
    let faults =
        evidence.injected_faults.iter().filter(|fault| fault.description.starts_with(fault_name));
    let takeovers_of = |fault: &InjectedFault| {
        let owned_sessions = evidence.sessions.iter().filter(|(_, session)| {
            owner_at(session, fault.started_at)
                .is_some_and(|owner| fault.targets.iter().any(|target| target == owner))
        });
        let times = owned_sessions
            .filter_map(|(name, _)| first_token_after(evidence, name, fault.started_at));
        times.map(|at| at - fault.started_at as f64).collect::<Vec<_>>()
    };
    faults.flat_map(takeovers_of).collect()
}

/// Returns the owner that was last observed before an instant.
fn owner_at(session: &SessionRecord, at: Millis) -> Option<&str> {
    let before = session.owners.iter().filter(|observed| observed.sent_at < at);
    before
        .max_by_key(|observed| (observed.sent_at, observed.epoch))
        .map(|observed| observed.owner.as_str())
}

/// Returns when the first token arrived of the first finished turn that started to stream after an
/// instant. A turn that the failed engine had started cannot finish.
fn first_token_after(evidence: &Evidence, session: &SessionName, at: Millis) -> Option<f64> {
    let turns = evidence.turns.iter().filter(|turn| {
        turn.session == *session && turn.claim == TurnClaim::Ended("finished".to_owned())
    });
    let first_tokens = turns.filter_map(|turn| Some(turn.sent_at as f64 + turn.first_token_ms?));
    first_tokens.filter(|first| *first >= at as f64).min_by(f64::total_cmp)
}

fn section(evidence: &Evidence) -> Section {
    let mut measures = Vec::new();
    for fault in EngineFault::ALL {
        let fault_name = fault.name();
        let times = Percentiles::of(takeover_times(evidence, fault_name));
        let median = Measure::new(
            format!("{fault_name} to a next turn's first token, p50"),
            times.p50,
            "ms",
        );
        measures.push(median.with_goal(Goal::AtMost(MEDIAN_TAKEOVER_GOAL_MS)));
        measures.push(Measure::new(
            format!("{fault_name} to a next turn's first token, p95"),
            times.p95,
            "ms",
        ));
        measures.push(Measure::new(
            format!("{fault_name}: sessions that went on"),
            times.count as f64,
            "",
        ));
    }
    let load = crate::environment::load_averages();
    Section::Measures { name: "takeover".to_owned(), measures, load }
}
