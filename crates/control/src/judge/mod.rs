//! Judges new versions by the requests that gateways observed, compared with the old version in the
//! same interval or, if it has no traffic any more, with its history.
//!
//! Pure: time, statistics and the bundle are passed in. A version is watched as long as the bundle
//! lists an older sound one, so harm that shows only under load or after minutes is found too.

mod compare;
mod counts;
mod readiness;
mod reason;
mod window;

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hooklug_bundle::{Bundle, HarmThresholds, Service, VersionState};
use hooklug_protocol::control::VersionStatistics;
use hooklug_state::meta::HarmReport;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};

pub use compare::{Baseline, HarmKind, compare};
pub use counts::{
    Counts, Percentile, VersionOnRoute, latency_bucket, share, standard_errors_above,
};
pub use readiness::{EngineCounts, ReadinessMonitor, engine_counts};
use reason::reason;
use window::Window;

/// Intervals over which versions are compared, shortest first: a short one finds clear harm
/// quickly, a long one finds it where there is little traffic.
pub const INTERVALS: [Duration; 4] = [
    Duration::from_secs(3),
    Duration::from_secs(10),
    Duration::from_secs(30),
    window::RETENTION_TIME,
];

/// Time for which harm must show without interruption before it is acted on.
pub const CONFIRM_TIME: Duration = Duration::from_millis(1_500);

/// [`CONFIRM_TIME`] for a version that lost an engine recently. Its requests fail until gateways
/// stop using that engine, which is not the version's fault.
pub const CONFIRM_TIME_AFTER_LOSS: Duration = Duration::from_secs(4);

/// Most recent period in which harm must still show.
const RECENT_TIME: Duration = Duration::from_secs(3);

/// Period in which the old version must have enough samples for the load of a route to be recorded.
const LOAD_SAMPLE_TIME: Duration = Duration::from_secs(10);

/// Number of samples above which the historical counts are halved.
const HISTORY_SAMPLES: u64 = 20_000;

/// Highest comparable load, as a multiple of the maximum load at which the old version was
/// observed. Above it the old version's latency is no valid baseline.
const MAX_COMPARABLE_LOAD: f64 = 1.5;

/// A version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct JudgedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: ServiceVersion,
}

impl JudgedVersion {
    /// Creates the key of a version of a service.
    #[must_use]
    pub fn new(service: &ServiceName, version: &ServiceVersion) -> Self {
        Self { service: service.clone(), version: version.clone() }
    }
}

/// Judges all versions of a bundle.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    window: Window,
    history: BTreeMap<VersionOnRoute, Counts>,
    /// Maximum load of a route, in requests per second, while the history was collected.
    history_load: BTreeMap<(ServiceName, RouteName), f64>,
    suspected: BTreeMap<JudgedVersion, Instant>,
    /// Versions that the last bundle listed as rolled back.
    rolled_back: BTreeSet<JudgedVersion>,
    reported: Vec<HarmReport>,
}

/// The newest version of a service, and the versions that it may be compared with.
struct Candidate<'a> {
    name: &'a ServiceName,
    service: &'a Service,
    new: &'a ServiceVersion,
    /// Older sound versions, newest first; never empty.
    older: Vec<&'a ServiceVersion>,
}

/// The two versions of a service that are compared on a route.
#[derive(Clone, Copy)]
struct Pair<'a> {
    name: &'a ServiceName,
    service: &'a Service,
    new: &'a ServiceVersion,
    old: &'a ServiceVersion,
}

impl Pair<'_> {
    fn new_key(&self, route: &RouteName) -> VersionOnRoute {
        VersionOnRoute::new(self.name, self.new, route)
    }

    fn old_key(&self, route: &RouteName) -> VersionOnRoute {
        VersionOnRoute::new(self.name, self.old, route)
    }
}

/// Harm on one route, with the counts that show it.
struct HarmOnRoute {
    kind: HarmKind,
    new: Counts,
    old: Counts,
    baseline: Baseline,
}

impl Judge {
    /// Adds the statistics that a gateway collected since its last heartbeat.
    pub fn observe(&mut self, statistics: &[VersionStatistics], now: Instant) {
        self.window.add(statistics.iter().map(|s| (VersionOnRoute::from(s), Counts::from(s))), now);
        for entry in statistics {
            let history = self.history.entry(entry.into()).or_default();
            history.add(&Counts::from(entry));
            if history.total() > HISTORY_SAMPLES {
                history.halve();
            }
        }
    }

    /// Adds a report of a harmful version that a gateway detected itself.
    pub fn report(&mut self, harm: HarmReport) {
        self.reported.push(harm);
    }

    /// Returns a report for each version that is clearly harmful. `lost_engines` are versions that
    /// lost an engine recently.
    pub fn evaluate(
        &mut self,
        bundle: &Bundle,
        lost_engines: &BTreeSet<JudgedVersion>,
        now: Instant,
    ) -> Vec<HarmReport> {
        self.forget_rereleased(bundle);
        let mut reports = std::mem::take(&mut self.reported);
        reports.retain(|harm| is_judged(bundle, harm));
        let mut suspected = BTreeMap::new();
        for (name, service) in &bundle.services {
            let Some(candidate) = candidate(name, service) else { continue };
            self.record_load(&candidate, now);
            let Some(report) = self.judge(&candidate, now) else { continue };
            let judged = JudgedVersion::new(name, &report.version);
            let since = self.suspected.get(&judged).copied().unwrap_or(now);
            let confirm = match lost_engines.contains(&judged) {
                true => CONFIRM_TIME_AFTER_LOSS,
                false => CONFIRM_TIME,
            };
            if now.saturating_duration_since(since) >= confirm {
                reports.push(report);
            }
            suspected.insert(judged, since);
        }
        self.suspected = suspected;
        reports
    }

    /// Drops the statistics of versions that were rolled back and are released again under the same
    /// name, since those statistics belong to another build.
    fn forget_rereleased(&mut self, bundle: &Bundle) {
        let rolled_back = versions(bundle, VersionState::RolledBack);
        let sound = versions(bundle, VersionState::Sound);
        for released in self.rolled_back.intersection(&sound) {
            self.window.forget(&released.service, &released.version);
            self.history.retain(|key, _| {
                key.service != released.service || key.version != released.version
            });
            self.reported.retain(|harm| {
                harm.service != released.service || harm.version != released.version
            });
        }
        self.rolled_back = rolled_back;
    }

    fn judge(&self, candidate: &Candidate<'_>, now: Instant) -> Option<HarmReport> {
        let routes = self.window.routes(candidate.name, candidate.new);
        routes.iter().find_map(|route| self.judge_route(&self.pair(candidate, route)?, route, now))
    }

    /// Returns the newest version and the newest older one with enough samples on a route. An older
    /// version that was listed but never ran cannot serve as the baseline.
    fn pair<'a>(&self, candidate: &Candidate<'a>, route: &RouteName) -> Option<Pair<'a>> {
        let min_samples = u64::from(candidate.service.harm.least_samples);
        let Candidate { name, service, new, older } = candidate;
        let known = older.iter().find(|old| {
            let counts = self.history.get(&VersionOnRoute::new(name, old, route));
            counts.is_some_and(|counts| counts.total() >= min_samples)
        });
        Some(Pair { name, service, new, old: known? })
    }

    fn judge_route(&self, pair: &Pair<'_>, route: &RouteName, now: Instant) -> Option<HarmReport> {
        let thresholds = &pair.service.harm;
        INTERVALS.iter().find_map(|interval| {
            let HarmOnRoute { kind, new, old, baseline } =
                self.find_harm(pair, route, *interval, now)?;
            let recent = self.window.sum(&pair.new_key(route), RECENT_TIME, now);
            still_shows(&kind, &recent, &old, thresholds).then(|| HarmReport {
                service: pair.name.clone(),
                version: pair.new.clone(),
                route: Some(route.clone()),
                reason: reason(&kind, &new, (&old, pair.old), baseline, *interval),
            })
        })
    }

    fn find_harm(
        &self,
        pair: &Pair<'_>,
        route: &RouteName,
        interval: Duration,
        now: Instant,
    ) -> Option<HarmOnRoute> {
        let thresholds = &pair.service.harm;
        let min_samples = u64::from(thresholds.least_samples);
        let (new_key, old_key) = (pair.new_key(route), pair.old_key(route));
        let (new, old) = self.window.paired_sums((&new_key, &old_key), interval, now);
        if new.total() >= min_samples && old.total() >= min_samples {
            let baseline = Baseline::SameInterval;
            let kind = compare(&new, &old, thresholds, baseline)?;
            return Some(HarmOnRoute { kind, new, old, baseline });
        }
        let new = self.window.sum(&new_key, interval, now);
        let old = *self.history.get(&old_key).filter(|h| h.total() >= min_samples)?;
        if new.total() < min_samples {
            return None;
        }
        let baseline = Baseline::History;
        let kind = compare(&new, &old, thresholds, baseline)?;
        let is_inconclusive = self.other_services_fail(pair, thresholds, interval, now)
            || (kind == HarmKind::Latency && self.load_exceeds_history(pair, route, now));
        (!is_inconclusive).then_some(HarmOnRoute { kind, new, old, baseline })
    }

    /// Returns whether other services fail as well, in which case this version is not the cause.
    fn other_services_fail(
        &self,
        pair: &Pair<'_>,
        thresholds: &HarmThresholds,
        interval: Duration,
        now: Instant,
    ) -> bool {
        let mut others: BTreeMap<&ServiceName, Counts> = BTreeMap::new();
        for (key, counts) in self.window.sums(interval, now) {
            if key.service != *pair.name {
                others.entry(&key.service).or_default().add(&counts);
            }
        }
        others.values().any(|counts| {
            counts.total() >= u64::from(thresholds.least_samples)
                && counts.error_share() > thresholds.error_share_above
        })
    }

    fn load_exceeds_history(&self, pair: &Pair<'_>, route: &RouteName, now: Instant) -> bool {
        let key = (pair.name.clone(), route.clone());
        let known = self.history_load.get(&key).copied().unwrap_or(0.0);
        self.window.load(pair.name, route, now) > MAX_COMPARABLE_LOAD * known
    }

    /// Records the load of routes on which the old version currently has enough samples.
    fn record_load(&mut self, candidate: &Candidate<'_>, now: Instant) {
        let min_samples = u64::from(candidate.service.harm.least_samples);
        let older = candidate.older.iter();
        let routes: BTreeSet<RouteName> =
            older.flat_map(|old| self.window.routes(candidate.name, old)).collect();
        for route in routes {
            let Some(pair) = self.pair(candidate, &route) else { continue };
            if self.window.sum(&pair.old_key(&route), LOAD_SAMPLE_TIME, now).total() < min_samples {
                continue;
            }
            let load = self.window.load(pair.name, &route, now);
            let known = self.history_load.entry((pair.name.clone(), route)).or_default();
            *known = known.max(load);
        }
    }

    /// Returns the counts of each version over an interval, for operators.
    #[must_use]
    pub fn statistics(&self, interval: Duration, now: Instant) -> Vec<VersionStatistics> {
        let sums = self.window.sums(interval, now);
        sums.into_iter().map(|(key, counts)| counts.statistics(key)).collect()
    }
}

/// Returns whether a report is about the version that is currently judged.
fn is_judged(bundle: &Bundle, harm: &HarmReport) -> bool {
    let service = bundle.services.get_key_value(&harm.service);
    service.and_then(|(name, s)| candidate(name, s)).is_some_and(|c| *c.new == harm.version)
}

/// Returns all versions of a bundle that have the given state.
fn versions(bundle: &Bundle, state: VersionState) -> BTreeSet<JudgedVersion> {
    let of = |(name, service): (&ServiceName, &Service)| {
        let listed = service.versions.iter().filter(|entry| entry.state == state);
        let judged = listed.map(|entry| JudgedVersion::new(name, &entry.version));
        judged.collect::<Vec<_>>()
    };
    bundle.services.iter().flat_map(of).collect()
}

/// Returns the newest sound version and the older sound ones; `None` if there is no older one.
fn candidate<'a>(name: &'a ServiceName, service: &'a Service) -> Option<Candidate<'a>> {
    let sound = service.versions.iter().rev().filter(|v| v.state == VersionState::Sound);
    let mut sound = sound.map(|v| &v.version);
    let new = sound.next()?;
    let older: Vec<&ServiceVersion> = sound.collect();
    (!older.is_empty()).then_some(Candidate { name, service, new, older })
}

/// Returns whether harm found over a longer interval still shows in the most recent samples.
/// Without recent samples it is assumed to continue.
fn still_shows(
    kind: &HarmKind,
    recent: &Counts,
    old: &Counts,
    thresholds: &HarmThresholds,
) -> bool {
    if recent.total() == 0 {
        return true;
    }
    match kind {
        HarmKind::Errors => {
            recent.error_share() - old.error_share() > thresholds.error_share_above / 2.0
        }
        HarmKind::Latency => old.p95().is_none_or(|p95| {
            // Of the old version's requests, at most 5 % are above the bucket of its 95th
            // percentile.
            share(recent.slower_than(p95.bucket), recent.total()) > 0.05
        }),
    }
}
