//! How long sessions are without an owner while engines are killed, frozen and drained one after another.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use hooklug_fleet::{Fleet, FleetError, FleetOptions, ProcessKind, ProcessName, Topology};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::Outcome;
use super::scene::lift_tenant_limits;
use crate::faults::{ChaosProgress, recover};
use crate::figures::Percentiles;
use crate::oracle::evidence::{
    Disturbance, DrainRecord, Evidence, Millis, SessionName, SessionRecord, TurnClaim,
};
use crate::report::{Goal, Measure, Section};
use crate::workload::{Client, Profile, Recorder, now, observe, read_finally, run_programs};

/// Takeover time at most, median, in milliseconds (ours; the promise is less than 6 s for each).
const TAKEOVER_GOAL_MS: f64 = 5_000.0;
/// How long a killed or frozen engine is away (ours: longer than any lease lasts).
const AWAY: Duration = Duration::from_secs(8);
/// Quiet time between two faults (ours).
const BETWEEN_FAULTS: Duration = Duration::from_secs(2);
/// Time over which sessions begin (ours).
const RAMP: Duration = Duration::from_secs(2);
/// Time for late work to show before everything is read (ours).
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// What happens to an engine.
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

/// A run in which engines are lost.
#[derive(Debug, Clone)]
pub struct Takeover {
    /// The fleet; its engines get slots enough for all sessions while one of them is away.
    pub topology: Topology,
    /// How long engines are lost; each kind of loss happens once at least.
    pub time: Duration,
    /// Programs at once, most of them with one session.
    pub programs: usize,
    /// Seed of the load.
    pub seed: u64,
    /// Folder of the fleet; drawn and removed when none is named.
    pub data: Option<PathBuf>,
}

impl Takeover {
    /// Runs it; the verdict on the run, and the takeover times.
    ///
    /// # Errors
    /// When the fleet can't be started, broken or mended.
    pub async fn run(mut self, progress: &dyn ChaosProgress) -> Result<Vec<Section>, FleetError> {
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
        // Panics of these tasks are faults of the bench itself.
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

/// Programs that only run turns, one right after another.
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
    progress: &'a dyn ChaosProgress,
}

impl Losses<'_> {
    /// Loses engines one after another, until the time is over and each kind of loss has happened.
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
        self.progress.say(&fault);
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
        let recovery = recover(self.fleet, self.profile, fault, healed).await;
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

/// Times from losses whose fault begins with a word to the first token of a next turn that came to its end,
/// in milliseconds, of each session that the lost engine owned.
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

/// The owner that was seen last before an instant.
fn owner_at(session: &SessionRecord, at: Millis) -> Option<&str> {
    let before = session.owners.iter().filter(|seen| seen.begun < at);
    before.max_by_key(|seen| (seen.begun, seen.epoch)).map(|seen| seen.owner.as_str())
}

/// When the first token came of the first turn that began to stream after an instant and finished: a turn that
/// the lost engine had begun cannot finish.
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
    let load = crate::environment::load();
    Section::Measures { name: "takeover".to_owned(), measures, load }
}
