//! Carries out ordered roll-outs: a small share first, more as the target does well, all of it before the time is
//! over; back at once when it does harm. What to do next is decided by pure functions; the loop only carries it out.

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

/// Pause between looks (ours).
const LOOK_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for one answer of the stores (ours).
const COMMIT_TIME: Duration = Duration::from_secs(2);

/// Intervals over which versions are compared (ours): a short one shows harm that begins late.
const INTERVALS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(30)];

/// Fewest answers of the target that say anything (ours).
const LEAST_SAMPLES: u64 = 5;

/// Answers of the target without which it never gets more than a trial (ours).
const SAMPLES_TO_SHIFT: u64 = 15;

/// Steps of a roll-out: from this part of its time on, this share of requests goes to the target (ours). Their
/// sum up to the last but one stays near a tenth of all requests, so that harm that shows only under load is found
/// while few have met it.
const STEPS: [(f64, RolloutPhase); 6] = [
    (0.0, RolloutPhase::Trial { share_permille: 50 }),
    (0.55, RolloutPhase::Trial { share_permille: 100 }),
    (0.65, RolloutPhase::Trial { share_permille: 250 }),
    (0.72, RolloutPhase::Trial { share_permille: 500 }),
    (0.78, RolloutPhase::Shifted),
    (0.92, RolloutPhase::Completed),
];

/// What is known of a target against the other versions of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Evidence {
    /// Answers of the target.
    pub samples: u64,
    /// Whether it does harm.
    pub is_harmful: bool,
}

/// Compares a target with the other versions of its service, on each route and on all together.
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
        // Latencies of different routes do not compare.
        enough && finding.is_some_and(|f| route.is_some() || f == Finding::Errors)
    });
    Evidence { samples: all, is_harmful: harmful }
}

/// The phase that a roll-out should be in once this part of its time has passed.
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
        // One step at a time: each is looked at before the next.
        Some(rank) => STEPS[allowed.clamp(rank, rank + 1).min(STEPS.len() - 1)].1,
        None => STEPS[0].1,
    }
}

/// When this core first saw each order, and how far it was by then.
#[derive(Debug, Default)]
struct Seen(BTreeMap<u64, (Instant, Duration)>);

impl Seen {
    /// The part of a roll-out's time that has passed. Wall clocks count only once, at the first sight.
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
            info!(%service, target = %record.target, ?phase, ?evidence, part, "roll-out goes on");
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
        Ok(MetaReply::Refused(refusal)) => warn!(%refusal, "roll-out not moved on"),
        Ok(_) => leading.meta_due.notify_one(),
        Err(error) => warn!(%error, "roll-out not confirmed"),
    }
}
