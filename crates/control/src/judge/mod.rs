//! Judges new versions by what gateways saw of them, against the old version in the same interval.
//!
//! Pure: time, statistics and the bundle are passed in. A version stays under watch as long as the
//! bundle lists a sound older one, so harm that shows only under load or after minutes is found too.

mod compare;
mod counts;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hooklug_bundle::{Bundle, HarmThresholds, Service, VersionState};
use hooklug_protocol::control::VersionStatistics;
use hooklug_state::meta::HarmReport;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};

pub use compare::{Against, Finding, compare};
pub use counts::{Counts, Percentile, share, standard_errors_above};

/// Intervals that are looked at, shortest first: a short one finds clear harm at once, a long one finds
/// it where there is little traffic (ours).
pub const INTERVALS: [Duration; 4] = [
    Duration::from_secs(3),
    Duration::from_secs(10),
    Duration::from_secs(30),
    Duration::from_secs(120),
];

/// Harm must show for so long without a break before it is acted on (ours).
pub const CONFIRM_TIME: Duration = Duration::from_millis(1_500);

/// The same, when an engine of the version was lost lately: its requests fail until gateways leave it,
/// which is no harm by the version (ours).
pub const CONFIRM_TIME_AFTER_LOSS: Duration = Duration::from_secs(4);

/// Harm must still show in so recent a time (ours).
const RECENT: Duration = Duration::from_secs(3);

/// Samples beyond which the figures of the past are halved (ours).
const HISTORY_SAMPLES: u64 = 20_000;

/// Load beyond so many times the highest that the old version was seen under: its latency then says
/// nothing about the new one's (ours).
const LOAD_COMPARABLE: f64 = 1.5;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    service: ServiceName,
    version: ServiceVersion,
    route: RouteName,
}

#[derive(Debug, Clone)]
struct Slot {
    at: Instant,
    counts: BTreeMap<Key, Counts>,
}

/// A version of a service.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct JudgedVersion {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: ServiceVersion,
}

/// Judges all versions of a bundle.
#[derive(Debug, Clone, Default)]
pub struct Judge {
    slots: VecDeque<Slot>,
    history: BTreeMap<Key, Counts>,
    /// Highest load of a route, in requests a second, while the history was gathered.
    history_load: BTreeMap<(ServiceName, RouteName), f64>,
    suspected: BTreeMap<JudgedVersion, Instant>,
    reported: Vec<HarmReport>,
}

/// The two versions of a service that are compared.
struct Pair<'a> {
    name: &'a ServiceName,
    service: &'a Service,
    new: &'a ServiceVersion,
    old: &'a ServiceVersion,
}

/// Harm on one route, with the figures that show it.
struct Found {
    finding: Finding,
    new: Counts,
    old: Counts,
    against: Against,
}

impl Judge {
    /// Takes what a gateway saw since its last heartbeat.
    pub fn observe(&mut self, statistics: &[VersionStatistics], now: Instant) {
        let longest = INTERVALS[INTERVALS.len() - 1];
        while self.slots.front().is_some_and(|s| now.saturating_duration_since(s.at) > longest) {
            self.slots.pop_front();
        }
        let same_slot = |s: &&mut Slot| now.saturating_duration_since(s.at) < SLOT_TIME;
        if self.slots.back_mut().filter(same_slot).is_none() {
            self.slots.push_back(Slot { at: now, counts: BTreeMap::new() });
        }
        let Some(slot) = self.slots.back_mut() else { return };
        for seen in statistics {
            let key = Key {
                service: seen.service.clone(),
                version: seen.version.clone(),
                route: seen.route.clone(),
            };
            let counts = Counts::from(seen);
            slot.counts.entry(key.clone()).or_default().add(&counts);
            let history = self.history.entry(key).or_default();
            history.add(&counts);
            if history.total() > HISTORY_SAMPLES {
                history.halve();
            }
        }
    }

    /// Takes harm that a gateway found by its own evidence.
    pub fn report(&mut self, harm: HarmReport) {
        self.reported.push(harm);
    }

    /// Versions that do clear harm. `lost_engines` are versions that lost an engine lately.
    pub fn evaluate(
        &mut self,
        bundle: &Bundle,
        lost_engines: &BTreeSet<JudgedVersion>,
        now: Instant,
    ) -> Vec<HarmReport> {
        let mut reports = std::mem::take(&mut self.reported);
        reports.retain(|harm| is_judged(bundle, harm));
        let mut still_suspected = BTreeMap::new();
        for (name, service) in &bundle.services {
            let Some(pair) = pair(name, service) else { continue };
            self.note_load(&pair, now);
            let Some(report) = self.judge(&pair, now) else { continue };
            let judged = JudgedVersion { service: name.clone(), version: report.version.clone() };
            let since = self.suspected.get(&judged).copied().unwrap_or(now);
            let confirm = match lost_engines.contains(&judged) {
                true => CONFIRM_TIME_AFTER_LOSS,
                false => CONFIRM_TIME,
            };
            if now.saturating_duration_since(since) >= confirm {
                reports.push(report);
            }
            still_suspected.insert(judged, since);
        }
        self.suspected = still_suspected;
        reports
    }

    fn judge(&self, pair: &Pair<'_>, now: Instant) -> Option<HarmReport> {
        let routes: BTreeSet<&RouteName> = self
            .slots
            .iter()
            .flat_map(|slot| slot.counts.keys())
            .filter(|k| k.service == *pair.name && k.version == *pair.new)
            .map(|k| &k.route)
            .collect();
        routes.into_iter().find_map(|route| self.judge_route(pair, route, now))
    }

    fn judge_route(&self, pair: &Pair<'_>, route: &RouteName, now: Instant) -> Option<HarmReport> {
        let thresholds = &pair.service.harm;
        INTERVALS.iter().find_map(|interval| {
            let Found { finding, new, old, against } = self.find(pair, route, *interval, now)?;
            let recent = self.sum(pair.name, pair.new, route, RECENT, now);
            shows_still(&finding, &recent, &old, thresholds).then(|| HarmReport {
                service: pair.name.clone(),
                version: pair.new.clone(),
                route: Some(route.clone()),
                reason: reason(&finding, &new, (&old, pair.old), against, *interval),
            })
        })
    }

    fn find(
        &self,
        pair: &Pair<'_>,
        route: &RouteName,
        interval: Duration,
        now: Instant,
    ) -> Option<Found> {
        let thresholds = &pair.service.harm;
        let least = u64::from(thresholds.least_samples);
        let (new, old) = self.sum_together(pair, route, interval, now);
        if new.total() >= least && old.total() >= least {
            let against = Against::SameInterval;
            let finding = compare(&new, &old, thresholds, against)?;
            return Some(Found { finding, new, old, against });
        }
        let new = self.sum(pair.name, pair.new, route, interval, now);
        let key =
            Key { service: pair.name.clone(), version: pair.old.clone(), route: route.clone() };
        let old = *self.history.get(&key).filter(|h| h.total() >= least)?;
        if new.total() < least {
            return None;
        }
        let against = Against::History;
        let finding = compare(&new, &old, thresholds, against)?;
        let held = self.others_suffer(pair, thresholds, interval, now)
            || (finding == Finding::Latency && self.load_is_beyond(pair, route, now));
        (!held).then_some(Found { finding, new, old, against })
    }

    /// Both versions' counts of those moments only in which both had traffic, so that what befell one of
    /// them alone in time is not held against it.
    fn sum_together(
        &self,
        pair: &Pair<'_>,
        route: &RouteName,
        interval: Duration,
        now: Instant,
    ) -> (Counts, Counts) {
        let key = |version: &ServiceVersion| Key {
            service: pair.name.clone(),
            version: version.clone(),
            route: route.clone(),
        };
        let (new_key, old_key) = (key(pair.new), key(pair.old));
        let (mut new, mut old) = (Counts::default(), Counts::default());
        for slot in self.recent_slots(interval, now) {
            if let (Some(n), Some(o)) = (slot.counts.get(&new_key), slot.counts.get(&old_key))
                && n.total().min(o.total()) > 0
            {
                new.add(n);
                old.add(o);
            }
        }
        (new, old)
    }

    /// Whether other services fail as well: then something else than this version is at fault.
    fn others_suffer(
        &self,
        pair: &Pair<'_>,
        thresholds: &HarmThresholds,
        interval: Duration,
        now: Instant,
    ) -> bool {
        let mut others: BTreeMap<&ServiceName, Counts> = BTreeMap::new();
        for slot in self.recent_slots(interval, now) {
            for (key, counts) in slot.counts.iter().filter(|(k, _)| k.service != *pair.name) {
                others.entry(&key.service).or_default().add(counts);
            }
        }
        others.values().any(|counts| {
            counts.total() >= u64::from(thresholds.least_samples)
                && counts.error_share() > thresholds.error_share_above
        })
    }

    fn load_is_beyond(&self, pair: &Pair<'_>, route: &RouteName, now: Instant) -> bool {
        let key = (pair.name.clone(), route.clone());
        let known = self.history_load.get(&key).copied().unwrap_or(0.0);
        self.load(pair, route, now) > LOAD_COMPARABLE * known
    }

    /// Requests a second on a route, all versions together: the higher of a short and a longer average.
    fn load(&self, pair: &Pair<'_>, route: &RouteName, now: Instant) -> f64 {
        let average = |interval: Duration| {
            let requests: u64 = self
                .recent_slots(interval, now)
                .flat_map(|slot| slot.counts.iter())
                .filter(|(k, _)| k.service == *pair.name && k.route == *route)
                .map(|(_, counts)| counts.total())
                .sum();
            requests as f64 / interval.as_secs_f64()
        };
        average(LOAD_INTERVALS[0]).max(average(LOAD_INTERVALS[1]))
    }

    /// Remembers the load of routes on which the old version has enough samples now.
    fn note_load(&mut self, pair: &Pair<'_>, now: Instant) {
        let least = u64::from(pair.service.harm.least_samples);
        let routes: BTreeSet<RouteName> = self
            .recent_slots(LOAD_INTERVALS[1], now)
            .flat_map(|slot| slot.counts.keys())
            .filter(|k| k.service == *pair.name && k.version == *pair.old)
            .map(|k| k.route.clone())
            .collect();
        for route in routes {
            if self.sum(pair.name, pair.old, &route, LOAD_INTERVALS[1], now).total() < least {
                continue;
            }
            let load = self.load(pair, &route, now);
            let known = self.history_load.entry((pair.name.clone(), route)).or_default();
            *known = known.max(load);
        }
    }

    fn recent_slots(&self, interval: Duration, now: Instant) -> impl Iterator<Item = &Slot> {
        let recent = move |s: &&Slot| now.saturating_duration_since(s.at) <= interval;
        self.slots.iter().rev().take_while(recent)
    }

    fn sum(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
        route: &RouteName,
        interval: Duration,
        now: Instant,
    ) -> Counts {
        let key = Key { service: service.clone(), version: version.clone(), route: route.clone() };
        let mut sum = Counts::default();
        for slot in self.recent_slots(interval, now) {
            if let Some(counts) = slot.counts.get(&key) {
                sum.add(counts);
            }
        }
        sum
    }

    /// What was seen of each version over an interval, for operators.
    #[must_use]
    pub fn figures(&self, interval: Duration, now: Instant) -> Vec<VersionStatistics> {
        let mut sums: BTreeMap<&Key, Counts> = BTreeMap::new();
        for slot in self.recent_slots(interval, now) {
            for (key, counts) in &slot.counts {
                sums.entry(key).or_default().add(counts);
            }
        }
        let figure = |(key, counts): (&Key, Counts)| VersionStatistics {
            service: key.service.clone(),
            version: key.version.clone(),
            route: key.route.clone(),
            successes: counts.successes,
            failures: counts.failures,
            latency: counts.latency,
        };
        sums.into_iter().map(figure).collect()
    }
}

/// Statistics that come within so short a time are kept together (ours: the time between heartbeats).
const SLOT_TIME: Duration = Duration::from_secs(1);

/// Times over which load is averaged (ours).
const LOAD_INTERVALS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(10)];

/// Whether a report is about the version that is under watch now.
fn is_judged(bundle: &Bundle, harm: &HarmReport) -> bool {
    let service = bundle.services.get_key_value(&harm.service);
    service.and_then(|(name, s)| pair(name, s)).is_some_and(|pair| *pair.new == harm.version)
}

/// The newest sound version and the sound one before it.
fn pair<'a>(name: &'a ServiceName, service: &'a Service) -> Option<Pair<'a>> {
    let mut sound = service.versions.iter().rev().filter(|v| v.state == VersionState::Sound);
    let new = &sound.next()?.version;
    let old = &sound.next()?.version;
    Some(Pair { name, service, new, old })
}

/// Whether what was found over a longer time shows in the last moments too; without recent samples it
/// counts as still there.
fn shows_still(
    finding: &Finding,
    recent: &Counts,
    old: &Counts,
    thresholds: &HarmThresholds,
) -> bool {
    if recent.total() == 0 {
        return true;
    }
    match finding {
        Finding::Errors => {
            recent.error_share() - old.error_share() > thresholds.error_share_above / 2.0
        }
        Finding::Latency => old.p95().is_none_or(|p95| {
            // Among the last samples more are slow than the twentieth that always is.
            share(recent.slower_than(p95.bucket), recent.total()) > 0.05
        }),
    }
}

fn reason(
    finding: &Finding,
    new: &Counts,
    (old, old_version): (&Counts, &ServiceVersion),
    against: Against,
    interval: Duration,
) -> String {
    let when = match against {
        Against::SameInterval => format!("in the same {} s", interval.as_secs()),
        Against::History => "before".to_owned(),
    };
    let p95 = |counts: &Counts| counts.p95().map_or(0.0, |p| p.millis);
    match finding {
        Finding::Errors => format!(
            "{} of {} requests failed ({:.1} %), of {old_version} {when} {} of {} ({:.1} %)",
            new.failures,
            new.total(),
            100.0 * new.error_share(),
            old.failures,
            old.total(),
            100.0 * old.error_share(),
        ),
        Finding::Latency => format!(
            "p95 latency is {:.0} ms over {} requests, of {old_version} {when} {:.0} ms over {}",
            p95(new),
            new.total(),
            p95(old),
            old.total(),
        ),
    }
}
