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
use super::leader::LeaderContext;
use crate::judge::{Baseline, Counts, HarmKind, compare};

/// Time between checks of the rollouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of a request to the stores.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Intervals over which versions are compared: a short one shows harm that starts late.
const INTERVALS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(30)];

/// Minimum number of the target's responses for a comparison.
const MIN_SAMPLES: u64 = 5;

/// Number of the target's responses below which it stays in the first trial step.
const SAMPLES_TO_SHIFT: u64 = 15;

/// Steps of a rollout: the elapsed fraction of its time at which a step starts, and the phase,
/// which sets the share of requests that go to the target. Before the last two steps the target
/// gets about a tenth of all requests in total, so that harm that shows only under load is found
/// while few requests are affected.
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
    statistics: &[VersionStatistics],
) -> Evidence {
    let mut routes: BTreeMap<Option<&RouteName>, (Counts, Counts)> = BTreeMap::new();
    for entry in statistics.iter().filter(|entry| entry.service == *service) {
        let counts = Counts::from(entry);
        for route in [Some(&entry.route), None] {
            let (target, others) = routes.entry(route).or_default();
            let side = if entry.version == record.target { target } else { others };
            side.add(&counts);
        }
    }
    let all = routes.get(&None).map(|(target, _)| target.total()).unwrap_or_default();
    let thresholds = HarmThresholds::default();
    let harmful = routes.iter().any(|(route, (target, others))| {
        let enough = target.total() >= MIN_SAMPLES && others.total() >= MIN_SAMPLES;
        let kind = compare(target, others, &thresholds, Baseline::SameInterval);
        // Latencies are compared only within a route, since those of different routes are not
        // comparable.
        enough && kind.is_some_and(|kind| route.is_some() || kind == HarmKind::Errors)
    });
    Evidence { samples: all, is_harmful: harmful }
}

/// Returns the phase that a rollout should be in after the given fraction of its time.
#[must_use]
pub fn next_phase(current: RolloutPhase, elapsed: f64, evidence: Evidence) -> RolloutPhase {
    if current.is_final() {
        return current;
    }
    if evidence.is_harmful {
        return RolloutPhase::RolledBack;
    }
    let rank = |phase: RolloutPhase| STEPS.iter().position(|(_, step)| *step == phase);
    let due = STEPS.iter().rposition(|(from, _)| elapsed >= *from).unwrap_or(0);
    let has_samples = evidence.samples >= SAMPLES_TO_SHIFT;
    let allowed = if has_samples { due } else { 0 };
    match rank(current) {
        // One step at a time, so that each is evaluated before the next.
        Some(rank) => STEPS[allowed.clamp(rank, rank + 1).min(STEPS.len() - 1)].1,
        None => STEPS[0].1,
    }
}

/// When this core first saw each rollout, and how much of its time had passed by then.
#[derive(Debug, Default)]
struct RolloutTimes(BTreeMap<u64, (Instant, Duration)>);

impl RolloutTimes {
    /// Returns the fraction of a rollout's time that has passed. The wall clock is read only when
    /// the rollout is first seen.
    fn elapsed_fraction(&mut self, record: &RolloutRecord, now: Instant) -> f64 {
        let total = record.started_at.until(record.due).max(Duration::from_millis(1));
        let passed = || record.started_at.until(UnixMillis::now()).min(total);
        let (at, before) = *self.0.entry(record.number).or_insert_with(|| (now, passed()));
        (now.saturating_duration_since(at) + before).as_secs_f64() / total.as_secs_f64()
    }
}

pub(super) async fn run(shared: &Shared, leader_ctx: &LeaderContext) {
    let mut times = RolloutTimes::default();
    loop {
        let meta = leader_ctx.meta.borrow().clone();
        if let Some(meta) = meta {
            run_round(shared, leader_ctx, &meta, &mut times).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn run_round(
    shared: &Shared,
    leader_ctx: &LeaderContext,
    meta: &MetaState,
    times: &mut RolloutTimes,
) {
    let now = Instant::now();
    for (service, record) in meta.rollouts.iter().filter(|(_, r)| !r.phase.is_final()) {
        let elapsed = times.elapsed_fraction(record, now);
        let results = INTERVALS.map(|interval| {
            let statistics = shared.judge().statistics(interval, now);
            evidence(service, record, &statistics)
        });
        let evidence = Evidence {
            samples: results.iter().map(|e| e.samples).max().unwrap_or_default(),
            is_harmful: results.iter().any(|e| e.is_harmful),
        };
        let phase = next_phase(record.phase, elapsed, evidence);
        if phase != record.phase {
            info!(%service, target = %record.target, ?phase, ?evidence, elapsed, "rollout enters a new phase");
            set_phase(shared, leader_ctx, service, record.number, phase).await;
        }
    }
}

async fn set_phase(
    shared: &Shared,
    leader_ctx: &LeaderContext,
    service: &ServiceName,
    number: u64,
    phase: RolloutPhase,
) {
    let (epoch, service) = (leader_ctx.epoch, service.clone());
    let command = MetaCommand::MoveRollout { epoch, service, number, phase };
    let deadline = tokio::time::Instant::now() + COMMIT_TIMEOUT;
    match shared.ctx.state.execute_meta(&command, deadline).await {
        Ok(MetaReply::Refused(refusal)) => warn!(%refusal, "change of the rollout's phase refused"),
        Ok(_) => leader_ctx.meta_changed.notify_one(),
        Err(error) => warn!(%error, "change of the rollout's phase not confirmed"),
    }
}
