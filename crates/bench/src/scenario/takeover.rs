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
    Disturbance, DrainRecord, Evidence, Millis, SessionName, SessionRecord, TurnClaim,
};
use crate::report::{Goal, Measure, Section};
use crate::statistics::Percentiles;
use crate::workload::{Client, Profile, Recorder, now, observe, read_finally, run_programs};

/// Maximum median takeover time, in milliseconds. The promise is less than 6 s for each takeover.
const TAKEOVER_GOAL_MS: f64 = 5_000.0;
/// Time for which a killed or frozen engine stays down. Must exceed the lease time.
const AWAY: Duration = Duration::from_secs(8);
/// Pause between two faults.
const BETWEEN_FAULTS: Duration = Duration::from_secs(2);
/// Time over which the starts of sessions are spread.
const RAMP: Duration = Duration::from_secs(2);
/// Time for late work to finish before the results are read.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// A fault of an engine that causes takeovers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Loss {
    Kill,
    Freeze,
    Drain,
}

impl Loss {
    const ALL: [Self; 3] = [Self::Kill, Self::Freeze, Self::Drain];

    fn word(self) -> &'static str {
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
        self.make_room();
        let options = FleetOptions { data: self.data.clone() };
        let fleet = Arc::new(Fleet::start_with(self.topology.clone(), options).await?);
        lift_tenant_limits(&fleet).await?;
        let client = Client::new(&fleet, Recorder::default());
        let profile = turns_alone(&self.topology);
        let stop = CancellationToken::new();
        let from = now();
        let load = {
            let (client, profile, stop) = (client.clone(), profile.clone(), stop.clone());
            let (programs, seed) = (self.programs, self.seed);
            tokio::spawn(async move {
                run_programs(&client, &profile, programs, RAMP, seed, &stop).await;
            })
        };
        let observer = tokio::spawn(observe(fleet.clone(), client.recorder(), stop.clone()));
        sleep(RAMP + BETWEEN_FAULTS).await;
        let losses = Losses { fleet: &fleet, client: &client, profile: &profile, progress };
        let lost = losses.run(self.time).await;
        let to = now();
        stop.cancel();
        // A panic in one of these tasks is a bug of the load tool.
        let joined = tokio::join!(load, observer);
        joined.0.and(joined.1).map_err(|e| FleetError::Unexpected(e.to_string()))?;
        lost?;
        sleep(SETTLE_TIME).await;
        read_finally(&fleet, &client).await?;
        let evidence = client.recorder().snapshot();
        let outcome = Outcome::of("takeover", &evidence, (from, to), &[]);
        Ok(vec![outcome.into_section(), section(&evidence)])
    }

    fn make_room(&mut self) {
        let engines: usize = self.topology.models.iter().map(|group| group.engines).sum();
        let slots = self.programs.div_ceil(engines.max(1)) * 2;
        for group in &mut self.topology.models {
            group.slots = u32::try_from(slots).unwrap_or(u32::MAX);
        }
    }
}

/// Returns a profile of programs that only run turns, with short pauses.
fn turns_alone(topology: &Topology) -> Profile {
    Profile {
        turn_tokens: (20, 60),
        call_share: 0.0,
        think: Duration::from_millis(20),
        turns: 40,
        small_budget_share: 0.1,
        join_share: 0.1,
        ..Profile::of(topology)
    }
}

struct Losses<'a> {
    fleet: &'a Fleet,
    client: &'a Client,
    profile: &'a Profile,
    progress: &'a dyn RunProgress,
}

impl Losses<'_> {
    /// Injects faults one after another, until the time is over and each kind has been injected
    /// once.
    async fn run(&self, time: Duration) -> Result<(), FleetError> {
        let end = Instant::now() + time;
        let engines = self.fleet.names(ProcessKind::Engine);
        let losses = Loss::ALL.into_iter().cycle().zip(engines.into_iter().cycle());
        for (number, (loss, engine)) in losses.enumerate() {
            if number >= Loss::ALL.len() && Instant::now() >= end {
                return Ok(());
            }
            self.lose(loss, engine).await?;
            sleep(BETWEEN_FAULTS).await;
        }
        Ok(())
    }

    async fn lose(&self, loss: Loss, engine: ProcessName) -> Result<(), FleetError> {
        let fault = format!("{} {engine}", loss.word());
        self.progress.report_line(&fault);
        self.begin(loss, engine, &fault);
        match loss {
            Loss::Kill => {
                self.fleet.kill(engine)?;
                sleep(AWAY).await;
                self.fleet.restart(engine).await?;
            }
            Loss::Freeze => {
                self.fleet.freeze(engine)?;
                sleep(AWAY).await;
                self.fleet.wake(engine)?;
            }
            Loss::Drain => self.fleet.restart(engine).await?,
        }
        let healed = now();
        self.client.recorder().lock().all_over(healed);
        let recovery = measure_recovery(self.fleet, self.profile, fault, healed).await;
        self.client.recorder().lock().recoveries.push(recovery);
        Ok(())
    }

    fn begin(&self, loss: Loss, engine: ProcessName, fault: &str) {
        let recorder = self.client.recorder();
        let mut evidence = recorder.lock();
        let (fault, hit) = (fault.to_owned(), vec![engine.word()]);
        evidence.disturbances.push(Disturbance { fault, hit, from: now(), until: None });
        if loss == Loss::Drain {
            let drain = DrainRecord { engine: engine.word(), known: now(), until: None };
            evidence.drains.push(drain);
        }
    }
}

/// Returns the takeover times of all faults whose description starts with `word`, in milliseconds.
/// A takeover time is measured for each session that the failed engine owned, from the fault to the
/// first token of the next turn that finished.
#[must_use]
pub fn takeover_times(evidence: &Evidence, word: &str) -> Vec<f64> {
    let losses = evidence.disturbances.iter().filter(|loss| loss.fault.starts_with(word));
    let of_loss = |loss: &Disturbance| {
        let owned = evidence.sessions.iter().filter(|(_, session)| {
            owner_at(session, loss.from)
                .is_some_and(|owner| loss.hit.iter().any(|hit| hit == owner))
        });
        let times = owned.filter_map(|(name, _)| first_token_after(evidence, name, loss.from));
        times.map(|at| at - loss.from as f64).collect::<Vec<_>>()
    };
    losses.flat_map(of_loss).collect()
}

/// Returns the owner that was last observed before an instant.
fn owner_at(session: &SessionRecord, at: Millis) -> Option<&str> {
    let before = session.owners.iter().filter(|seen| seen.begun < at);
    before.max_by_key(|seen| (seen.begun, seen.epoch)).map(|seen| seen.owner.as_str())
}

/// Returns when the first token arrived of the first finished turn that started to stream after an
/// instant. A turn that the failed engine had started cannot finish.
fn first_token_after(evidence: &Evidence, session: &SessionName, at: Millis) -> Option<f64> {
    let turns = evidence.turns.iter().filter(|turn| {
        turn.session == *session && turn.claim == TurnClaim::Ended("finished".to_owned())
    });
    let firsts = turns.filter_map(|turn| Some(turn.begun as f64 + turn.first_token_ms?));
    firsts.filter(|first| *first >= at as f64).min_by(f64::total_cmp)
}

fn section(evidence: &Evidence) -> Section {
    let mut measures = Vec::new();
    for loss in Loss::ALL {
        let word = loss.word();
        let times = Percentiles::of(takeover_times(evidence, word));
        let median =
            Measure::new(format!("{word} to a next turn's first token, p50"), times.p50, "ms");
        measures.push(median.with_goal(Goal::AtMost(TAKEOVER_GOAL_MS)));
        measures.push(Measure::new(
            format!("{word} to a next turn's first token, p95"),
            times.p95,
            "ms",
        ));
        measures.push(Measure::new(
            format!("{word}: sessions that went on"),
            times.count as f64,
            "",
        ));
    }
    let load = crate::environment::load_averages();
    Section::Measures { name: "takeover".to_owned(), measures, load }
}
