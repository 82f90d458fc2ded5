//! Request counts of one version on one route, and statistics derived from them. Pure: no I/O.

use std::time::Duration;

use hooklug_protocol::control::{LATENCY_BUCKETS, VersionStatistics};
use hooklug_types::{RouteName, ServiceName, ServiceVersion};

/// A version of a service on a route.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct VersionOnRoute {
    /// The service.
    pub service: ServiceName,
    /// The version.
    pub version: ServiceVersion,
    /// The route.
    pub route: RouteName,
}

impl VersionOnRoute {
    /// Creates the key of a version of a service on a route.
    #[must_use]
    pub fn new(service: &ServiceName, version: &ServiceVersion, route: &RouteName) -> Self {
        Self { service: service.clone(), version: version.clone(), route: route.clone() }
    }
}

impl From<&VersionStatistics> for VersionOnRoute {
    fn from(statistics: &VersionStatistics) -> Self {
        Self::new(&statistics.service, &statistics.version, &statistics.route)
    }
}

/// Request counts of one version on one route in one interval.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that succeeded.
    pub successes: u64,
    /// Requests that failed.
    pub failures: u64,
    /// Requests by latency; bucket `i` counts those below `2^i` ms that no lower bucket holds.
    pub latency: [u64; LATENCY_BUCKETS],
}

impl From<&VersionStatistics> for Counts {
    fn from(statistics: &VersionStatistics) -> Self {
        Self {
            successes: statistics.successes,
            failures: statistics.failures,
            latency: statistics.latency,
        }
    }
}

impl Counts {
    /// Records one request.
    pub fn record(&mut self, success: bool, latency: Duration) {
        *(if success { &mut self.successes } else { &mut self.failures }) += 1;
        self.latency[latency_bucket(latency)] += 1;
    }

    /// Converts the counts to the form that is sent over RPC.
    #[must_use]
    pub fn statistics(&self, of: &VersionOnRoute) -> VersionStatistics {
        VersionStatistics {
            service: of.service.clone(),
            version: of.version.clone(),
            route: of.route.clone(),
            successes: self.successes,
            failures: self.failures,
            latency: self.latency,
        }
    }

    /// Adds the counts of another interval or gateway.
    pub fn add(&mut self, other: &Self) {
        self.successes += other.successes;
        self.failures += other.failures;
        self.latency.iter_mut().zip(other.latency).for_each(|(own, more)| *own += more);
    }

    /// Halves all counts, so that older requests weigh less than recent ones.
    pub fn halve(&mut self) {
        self.successes /= 2;
        self.failures /= 2;
        self.latency.iter_mut().for_each(|count| *count /= 2);
    }

    /// Returns the total number of requests.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.successes + self.failures
    }

    /// Returns the share of requests that failed.
    #[must_use]
    pub fn error_share(&self) -> f64 {
        share(self.failures, self.total())
    }

    /// Returns the 95th percentile of latency, interpolated linearly within its bucket; `None`
    /// without samples.
    #[must_use]
    pub fn p95(&self) -> Option<Percentile> {
        let total: u64 = self.latency.iter().sum();
        if total == 0 {
            return None;
        }
        let target = 0.95 * total as f64;
        let mut below = 0_u64;
        for (bucket, count) in self.latency.iter().enumerate() {
            let cumulative = (below + count) as f64;
            if *count > 0 && cumulative >= target {
                let fraction = (target - below as f64) / *count as f64;
                let (low, high) = bounds(bucket);
                return Some(Percentile { bucket, millis: low + fraction * (high - low) });
            }
            below += count;
        }
        None
    }

    /// Returns the number of requests slower than a bucket's upper bound.
    #[must_use]
    pub fn slower_than(&self, bucket: usize) -> u64 {
        self.latency.iter().skip(bucket + 1).sum()
    }
}

/// A percentile of the latency distribution.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Percentile {
    /// The bucket that contains it.
    pub bucket: usize,
    /// Its value, in milliseconds.
    pub millis: f64,
}

/// Returns the lower and upper bound of a bucket, in milliseconds.
fn bounds(bucket: usize) -> (f64, f64) {
    let high = (1_u64 << bucket) as f64;
    (if bucket == 0 { 0.0 } else { high / 2.0 }, high)
}

/// Returns the share of `part` in `total`, or 0 if `total` is 0.
#[must_use]
pub fn share(part: u64, total: u64) -> f64 {
    if total == 0 { 0.0 } else { part as f64 / total as f64 }
}

/// Returns by how many standard errors the share `new` lies above the share `old`, each given as
/// part and total. This is the signed root of the likelihood ratio under the hypothesis that both
/// shares are equal; unlike a plain z-test it is valid for small counts too.
#[must_use]
pub fn standard_errors_above(new: (u64, u64), old: (u64, u64)) -> f64 {
    let ((new_part, new_total), (old_part, old_total)) = (new, old);
    if new_total == 0 || old_total == 0 {
        return 0.0;
    }
    let pooled = share(new_part + old_part, new_total + old_total);
    let ratio = log_likelihood_gain(new_part, new_total, pooled)
        + log_likelihood_gain(old_part, old_total, pooled);
    let root = (2.0 * ratio.max(0.0)).sqrt();
    if share(new_part, new_total) >= share(old_part, old_total) { root } else { -root }
}

/// Returns the log-likelihood of a count under its own share minus that under the share `reference`.
fn log_likelihood_gain(part: u64, total: u64, reference: f64) -> f64 {
    let term = |count: u64, own: f64, reference: f64| {
        if count == 0 { 0.0 } else { count as f64 * (own / reference).ln() }
    };
    let own = share(part, total);
    term(part, own, reference) + term(total - part, 1.0 - own, 1.0 - reference)
}

/// Returns the histogram bucket of a latency; bucket `i` holds latencies below `2^i` ms.
#[must_use]
pub fn latency_bucket(latency: Duration) -> usize {
    let ms = u64::try_from(latency.as_millis()).unwrap_or(u64::MAX);
    let bits = (u64::BITS - ms.leading_zeros()) as usize;
    bits.min(LATENCY_BUCKETS - 1)
}
