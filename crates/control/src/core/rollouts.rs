//! Carries out rollouts requested by an operator: a small share first, more while the target does
//! well, and all requests before the time is over; rolled back at once if the target is harmful.
//! Pure functions decide on the next phase, and the loop commits it.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_bundle::HarmThresholds;
use hooklug_protocol::control::VersionStatistics;
use hooklug_state::meta::{MetaCommand, MetaReply, MetaState, RolloutPhase, RolloutRecord};
use hooklug_types::{RouteName, ServiceName, UnixMillis};
use tracing::{info, warn};

use super::Shared;
use super::leader::Leading;
use crate::judge::{Against, Counts, Finding, compare};

/// Time between checks of the rollouts.
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Timeout of a request to the stores.
const COMMIT_TIME: Duration = Duration::from_secs(2);

/// Intervals over which versions are compared: a short one shows harm that starts late.
const INTERVALS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(30)];

/// Minimum number of the target's responses for a comparison.
const LEAST_SAMPLES: u64 = 5;

/// Number of the target's responses below which it stays in the first trial step.
const SAMPLES_TO_SHIFT: u64 = 15;

/// Steps of a rollout: the elapsed fraction of its time at which a step starts, and the phase,
/// which sets the share of requests that go to the target. Before the last two steps, the target
/// gets less than a tenth of all requests in total, so that harm that shows only under load is
/// found while few requests are affected.
const STEPS: [(f64, RolloutPhase); 6] = [
    (0.0, RolloutPhase::Trial { share_permille: 50 }),
    (0.55, RolloutPhase::Trial { share_permille: 100 }),
    (0.65, RolloutPhase::Trial { share_permille: 250 }),
    (0.72, RolloutPhase::Trial { share_permille: 500 }),
    (0.78, RolloutPhase::Shifted),
    (0.92, RolloutPhase::Completed),
];

/// Result of comparing a target with the other versions of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Evidence {
    /// Number of responses of the target.
    pub samples: u64,
    /// Whether the target is harmful.
    pub is_harmful: bool,
}

/// Compares a target with the other versions of its service, on each route and on all routes
/// together.
#[must_use]
pub fn evidence(
    service: &ServiceName,
    record: &RolloutRecord,
    figures: &[VersionStatistics],
) -> Evidence {
    let mut routes: BTreeMap<Option<&RouteName>, (Counts, Counts)> = BTreeMap::new();
    for seen in figures.iter().filter(|seen| seen.service == *service) {
        let counts = Counts::from(seen);
        for route in [Some(&seen.route), None] {
            let (target, others) = routes.entry(route).or_default();
            let side = if seen.version == record.target { target } else { others };
            side.add(&counts);
        }
    }
    let all = routes.get(&None).map(|(target, _)| target.total()).unwrap_or_default();
    let thresholds = HarmThresholds::default();
    let harmful = routes.iter().any(|(route, (target, others))| {
        let enough = target.total() >= LEAST_SAMPLES && others.total() >= LEAST_SAMPLES;
        let finding = compare(target, others, &thresholds, Against::SameInterval);
        // Latencies are compared only within a route, since those of different routes are not
        // comparable.
        enough && finding.is_some_and(|f| route.is_some() || f == Finding::Errors)
    });
    Evidence { samples: all, is_harmful: harmful }
}

/// Returns the phase that a rollout should be in after the given fraction of its time.
#[must_use]
pub fn next_phase(present: RolloutPhase, part: f64, evidence: Evidence) -> RolloutPhase {
    if present.is_final() {
        return present;
    }
    if evidence.is_harmful {
        return RolloutPhase::RolledBack;
    }
    let rank = |phase: RolloutPhase| STEPS.iter().position(|(_, step)| *step == phase);
    let due = STEPS.iter().rposition(|(from, _)| part >= *from).unwrap_or(0);
    let known = evidence.samples >= SAMPLES_TO_SHIFT;
    let allowed = if known { due } else { 0 };
    match rank(present) {
        // One step at a time, so that each is evaluated before the next.
        Some(rank) => STEPS[allowed.clamp(rank, rank + 1).min(STEPS.len() - 1)].1,
        None => STEPS[0].1,
    }
}

/// When this core first saw each rollout, and how much of its time had passed by then.
#[derive(Debug, Default)]
struct Seen(BTreeMap<u64, (Instant, Duration)>);

impl Seen {
    /// Returns the fraction of a rollout's time that has passed. The wall clock is read only when
    /// the rollout is first seen.
    fn part(&mut self, record: &RolloutRecord, now: Instant) -> f64 {
        let whole = record.begun.until(record.due).max(Duration::from_millis(1));
        let passed = || record.begun.until(UnixMillis::now()).min(whole);
        let (at, before) = *self.0.entry(record.number).or_insert_with(|| (now, passed()));
        (now.saturating_duration_since(at) + before).as_secs_f64() / whole.as_secs_f64()
    }
}

pub(super) async fn run(shared: &Shared, leading: &Leading) {
    let mut seen = Seen::default();
    loop {
        let meta = leading.meta.borrow().clone();
        if let Some(meta) = meta {
            round(shared, leading, &meta, &mut seen).await;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

async fn round(shared: &Shared, leading: &Leading, meta: &MetaState, seen: &mut Seen) {
    let now = Instant::now();
    for (service, record) in meta.rollouts.iter().filter(|(_, r)| !r.phase.is_final()) {
        let part = seen.part(record, now);
        let found = INTERVALS.map(|interval| {
            let figures = shared.judge().figures(interval, now);
            evidence(service, record, &figures)
        });
        let evidence = Evidence {
            samples: found.iter().map(|e| e.samples).max().unwrap_or_default(),
            is_harmful: found.iter().any(|e| e.is_harmful),
        };
        let phase = next_phase(record.phase, part, evidence);
        if phase != record.phase {
            info!(%service, target = %record.target, ?phase, ?evidence, part, "rollout enters a new phase");
            move_on(shared, leading, service, record.number, phase).await;
        }
    }
}

async fn move_on(
    shared: &Shared,
    leading: &Leading,
    service: &ServiceName,
    number: u64,
    phase: RolloutPhase,
) {
    let (epoch, service) = (leading.epoch, service.clone());
    let command = MetaCommand::MoveRollout { epoch, service, number, phase };
    let deadline = tokio::time::Instant::now() + COMMIT_TIME;
    match shared.ctx.state.execute_meta(&command, deadline).await {
        Ok(MetaReply::Refused(refusal)) => warn!(%refusal, "change of the rollout's phase refused"),
        Ok(_) => leading.meta_due.notify_one(),
        Err(error) => warn!(%error, "change of the rollout's phase not confirmed"),
    }
}
