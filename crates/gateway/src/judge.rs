//! Judges whether a service's newest version does clear harm. Pure: time is passed in.
//!
//! A version is compared with the one before it on each route over the same interval, so that load
//! that slows both down is no harm of the new one (design section 6).

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use hooklug_bundle::{HarmThresholds, Service, VersionState};
use hooklug_state::meta::HarmReport;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};
use tokio::time::Instant;

/// Length of the interval that is judged (ours): long enough for samples, short against the 5 s that
/// the brief leaves.
const INTERVAL: Duration = Duration::from_secs(5);

/// Samples of one version on one route that are kept at most (ours).
const MOST_SAMPLES: usize = 512;

/// Error share that counts as harm when there is no older version to compare with (ours).
const ERROR_SHARE_ALONE: f64 = 0.5;

/// Latency below which a factor is no harm (ours): timer noise on small times.
const LATENCY_FLOOR: Duration = Duration::from_millis(20);

/// One request, as a gateway saw it.
#[derive(Debug, Clone, Copy)]
pub struct Observation<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Version that served it.
    pub version: &'a ServiceVersion,
    /// Its route.
    pub route: &'a RouteName,
    /// Whether it ended well.
    pub success: bool,
    /// The whole time for calls, the time to the first token for turns.
    pub latency: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Instant,
    success: bool,
    latency: Duration,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Key {
    service: ServiceName,
    version: ServiceVersion,
    route: RouteName,
}

/// Figures of one version on one route over the interval.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Figures {
    samples: u32,
    error_share: f64,
    p95: Duration,
}

/// Samples by version and route.
#[derive(Debug, Default)]
pub struct Judge {
    samples: HashMap<Key, VecDeque<Sample>>,
}

impl Judge {
    /// Notes one request.
    pub fn observe(&mut self, seen: &Observation<'_>, now: Instant) {
        let key = Key {
            service: seen.service.clone(),
            version: seen.version.clone(),
            route: seen.route.clone(),
        };
        let samples = self.samples.entry(key).or_default();
        samples.push_back(Sample { at: now, success: seen.success, latency: seen.latency });
        if samples.len() > MOST_SAMPLES {
            samples.pop_front();
        }
    }

    /// Drops samples from before the interval.
    pub fn forget_old(&mut self, now: Instant) {
        self.samples.retain(|_, samples| {
            while samples.front().is_some_and(|s| now.duration_since(s.at) > INTERVAL) {
                samples.pop_front();
            }
            !samples.is_empty()
        });
    }

    /// Clear harm of the service's newest sound version, if there is an older sound one to go back to.
    #[must_use]
    pub fn harm(&self, name: &ServiceName, service: &Service, now: Instant) -> Option<HarmReport> {
        let mut sound = service.versions.iter().rev().filter(|v| v.state == VersionState::Sound);
        let newest = &sound.next()?.version;
        let older = &sound.next()?.version;
        let keys = self.samples.keys().filter(|k| k.service == *name && k.version == *newest);
        let found = keys.filter_map(|key| {
            let new = self.figures(key, now)?;
            let old = self.figures(&Key { version: older.clone(), ..key.clone() }, now);
            let reason = clear_harm(&service.harm, new, old.unwrap_or_default())?;
            Some((key.route.clone(), reason))
        });
        // The smallest route name, so that the report does not depend on the table's order.
        let (route, reason) = found.min()?;
        Some(HarmReport {
            service: name.clone(),
            version: newest.clone(),
            route: Some(route),
            reason,
        })
    }

    fn figures(&self, key: &Key, now: Instant) -> Option<Figures> {
        let samples = self.samples.get(key)?;
        let recent: Vec<&Sample> =
            samples.iter().filter(|s| now.duration_since(s.at) <= INTERVAL).collect();
        let count = u32::try_from(recent.len()).ok().filter(|n| *n > 0)?;
        let failures = recent.iter().filter(|s| !s.success).count();
        let mut latencies: Vec<Duration> =
            recent.iter().filter(|s| s.success).map(|s| s.latency).collect();
        latencies.sort_unstable();
        let p95 = latencies.get(latencies.len() * 95 / 100).copied().unwrap_or_default();
        let error_share = failures as f64 / f64::from(count);
        Some(Figures { samples: count, error_share, p95 })
    }
}

fn clear_harm(thresholds: &HarmThresholds, new: Figures, old: Figures) -> Option<String> {
    if new.samples < thresholds.least_samples {
        return None;
    }
    let comparable = old.samples >= thresholds.least_samples;
    let bound = if comparable {
        old.error_share + thresholds.error_share_above
    } else {
        ERROR_SHARE_ALONE.max(thresholds.error_share_above)
    };
    if new.error_share > bound {
        return Some(format!(
            "{:.0} % of {} requests failed; {:.0} % of {} with the version before",
            new.error_share * 100.0,
            new.samples,
            old.error_share * 100.0,
            old.samples
        ));
    }
    let slow = old.p95.mul_f64(thresholds.latency_factor.max(1.0)).max(LATENCY_FLOOR);
    if comparable && new.p95 > slow {
        return Some(format!(
            "p95 is {} ms over {} requests; {} ms over {} with the version before",
            new.p95.as_millis(),
            new.samples,
            old.p95.as_millis(),
            old.samples
        ));
    }
    None
}
