//! Carries out rollouts requested by an operator: a small share first, more while the target does
//! well, and all requests shortly before the time is over; rolled back at once if the target is
//! harmful. Pure functions compare the versions and plan the phases, and the loop commits them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_bundle::HarmThresholds;
use hooklug_protocol::control::VersionStatistics;
use hooklug_state::meta::{MetaCommand, MetaReply, MetaState, RolloutPhase, RolloutRecord};
use hooklug_types::{RouteName, ServiceName, UnixMillis};
use tracing::{info, warn};

use super::Shared;
use super::leader::{LeaderContext, META_READ_INTERVAL};
use super::rollout_plan::{ExposureLimits, MIN_SAMPLES, RolloutPlan};
use crate::judge::{Baseline, Counts, HarmKind, compare};

/// Time between checks of the rollouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a request to the stores.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(2);

/// Intervals over which versions are compared: a short one shows harm that starts late.
const INTERVALS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(30)];

/// Time of a rollout before which the requests per second of its service are taken for unknown.
const MIN_RATE_TIME: Duration = Duration::from_secs(3);

/// Result of comparing a target with the other versions of its service.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Evidence {
    /// Responses of the target.
    pub target: Responses,
    /// Those that were reported after all requests were shifted to it.
    pub since_shift: Responses,
    /// Error share of the other versions.
    pub other_error_share: f64,
    /// Whether the target is harmful.
    pub is_harmful: bool,
}

/// Numbers of responses of one version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Responses {
    /// All responses.
    pub samples: u64,
    /// Failed ones.
    pub failures: u64,
}

impl Responses {
    fn since(self, earlier: Self) -> Self {
        Self {
            samples: self.samples.saturating_sub(earlier.samples),
            failures: self.failures.saturating_sub(earlier.failures),
        }
    }
}

impl From<&Counts> for Responses {
    fn from(counts: &Counts) -> Self {
        Self { samples: counts.total(), failures: counts.failures }
    }
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
    let (all, all_others) = routes.get(&None).copied().unwrap_or_default();
    let thresholds = HarmThresholds::default();
    let harmful = routes.iter().any(|(route, (target, others))| {
        let enough = target.total() >= MIN_SAMPLES && others.total() >= MIN_SAMPLES;
        let kind = compare(target, others, &thresholds, Baseline::SameInterval);
        // Latencies are compared only within a route, since those of different routes are not
        // comparable.
        let harm = kind.filter(|kind| enough && (route.is_some() || *kind == HarmKind::Errors));
        if let Some(kind) = &harm {
            info!(%service, version = %record.target, ?route, ?kind, ?target, ?others, "a target does harm");
        }
        harm.is_some()
    });
    Evidence {
        target: Responses::from(&all),
        since_shift: Responses::default(),
        other_error_share: all_others.error_share(),
        is_harmful: harmful,
    }
}

/// How much of a rollout's time has passed.
#[derive(Debug, Clone, Copy)]
struct Progress {
    total: Duration,
    elapsed: Duration,
    /// Time for which this core has observed the rollout.
    observed: Duration,
}

impl Progress {
    fn fraction(&self) -> f64 {
        self.elapsed.as_secs_f64() / self.total.as_secs_f64()
    }

    /// Returns the requests per second of a service during the rollout; `None` if it has not been
    /// observed for long enough.
    fn requests_per_second(
        &self,
        service: &ServiceName,
        interval: Duration,
        statistics: &[VersionStatistics],
    ) -> Option<f64> {
        let own = statistics.iter().filter(|entry| entry.service == *service);
        let requests: u64 = own.map(|entry| Counts::from(entry).total()).sum();
        let time = self.observed.min(interval);
        (time >= MIN_RATE_TIME).then(|| requests as f64 / time.as_secs_f64())
    }
}

/// What this core has observed of a rollout.
#[derive(Debug, Clone, Copy)]
struct ObservedRollout {
    first_seen: Instant,
    /// How much of its time had passed by then.
    passed_before: Duration,
    /// The target's responses when it was first seen with all requests shifted.
    at_shift: Option<Responses>,
}

/// The observed rollouts.
#[derive(Debug, Default)]
struct ObservedRollouts {
    by_number: BTreeMap<u64, ObservedRollout>,
    /// Whether this leadership has read the meta state before.
    has_read: bool,
}

impl ObservedRollouts {
    /// Returns how much of a rollout's time has passed.
    ///
    /// The group's clock may be behind at its start. So a rollout that was not there at the last read of
    /// the meta state counts from the middle of the time since then; only one that a new leader finds
    /// counts from its recorded start, by the wall clock.
    fn progress(&mut self, record: &RolloutRecord, now: Instant) -> Progress {
        let total = record.started_at.until(record.due).max(Duration::from_millis(1));
        let latest = if self.has_read { META_READ_INTERVAL / 2 } else { total };
        let observed = self.by_number.entry(record.number).or_insert_with(|| ObservedRollout {
            first_seen: now,
            passed_before: record.started_at.until(UnixMillis::now()).min(latest),
            at_shift: None,
        });
        let since = now.saturating_duration_since(observed.first_seen);
        Progress { total, elapsed: since + observed.passed_before, observed: since }
    }

    /// Returns the target's responses since all requests were shifted to it.
    fn responses_since_shift(&mut self, record: &RolloutRecord, all: Responses) -> Responses {
        match self.by_number.get_mut(&record.number) {
            Some(observed) if record.phase == RolloutPhase::Shifted => {
                all.since(*observed.at_shift.get_or_insert(all))
            }
            _ => Responses::default(),
        }
    }
}

pub(super) async fn run(shared: &Shared, leader_ctx: &LeaderContext) {
    let mut observed = ObservedRollouts::default();
    loop {
        let meta = leader_ctx.meta.borrow().clone();
        if let Some(meta) = meta {
            run_round(shared, leader_ctx, &meta, &mut observed).await;
        }
        tokio::time::sleep(CHECK_INTERVAL).await;
    }
}

async fn run_round(
    shared: &Shared,
    leader_ctx: &LeaderContext,
    meta: &MetaState,
    observed: &mut ObservedRollouts,
) {
    let now = Instant::now();
    for (service, record) in meta.rollouts.iter().filter(|(_, r)| !r.phase.is_final()) {
        let progress = observed.progress(record, now);
        let statistics =
            INTERVALS.map(|interval| (interval, shared.judge().statistics(interval, now)));
        let results =
            statistics.each_ref().map(|(_, statistics)| evidence(service, record, statistics));
        let longest = results.into_iter().max_by_key(|e| e.target.samples).unwrap_or_default();
        let evidence = Evidence {
            since_shift: observed.responses_since_shift(record, longest.target),
            is_harmful: results.iter().any(|e| e.is_harmful),
            ..longest
        };
        let rates = statistics.iter().filter_map(|(interval, statistics)| {
            progress.requests_per_second(service, *interval, statistics)
        });
        let plan = RolloutPlan::new(limits(shared), progress.total, rates.reduce(f64::max));
        let elapsed = progress.fraction();
        let phase = plan.next_phase(record.phase, elapsed, evidence);
        if phase != record.phase {
            info!(%service, target = %record.target, ?phase, ?evidence, ?plan, elapsed, "rollout enters a new phase");
            set_phase(shared, leader_ctx, service, record.number, phase).await;
        }
    }
    observed.has_read = true;
}

fn limits(shared: &Shared) -> ExposureLimits {
    let settings = &shared.ctx.settings.core;
    ExposureLimits {
        share: settings.rollout_exposure_share,
        requests: settings.rollout_exposure_requests,
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
