//! Sliding window of the gateways' request counts over the last two minutes, by version and route.
//! Pure: no I/O.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use hooklug_types::{RouteName, ServiceName, ServiceVersion};

use super::counts::{Counts, VersionOnRoute};

/// Time for which counts are retained.
pub(super) const RETENTION_TIME: Duration = Duration::from_secs(120);

/// Statistics that arrive within this time, the time between heartbeats, share a slot.
const SLOT_TIME: Duration = Duration::from_secs(1);

/// Intervals over which load is averaged.
const LOAD_INTERVALS: [Duration; 2] = [Duration::from_secs(3), Duration::from_secs(10)];

#[derive(Debug, Clone)]
struct Slot {
    at: Instant,
    counts: BTreeMap<VersionOnRoute, Counts>,
}

/// Counts of the last [`RETENTION_TIME`], in slots of [`SLOT_TIME`].
#[derive(Debug, Clone, Default)]
pub(super) struct Window {
    slots: VecDeque<Slot>,
}

impl Window {
    /// Adds counts that arrived at `now`.
    pub(super) fn add(
        &mut self,
        counts_by_version: impl Iterator<Item = (VersionOnRoute, Counts)>,
        now: Instant,
    ) {
        while self
            .slots
            .front()
            .is_some_and(|s| now.saturating_duration_since(s.at) > RETENTION_TIME)
        {
            self.slots.pop_front();
        }
        let same_slot = |s: &&mut Slot| now.saturating_duration_since(s.at) < SLOT_TIME;
        if self.slots.back_mut().filter(same_slot).is_none() {
            self.slots.push_back(Slot { at: now, counts: BTreeMap::new() });
        }
        let Some(slot) = self.slots.back_mut() else { return };
        for (key, counts) in counts_by_version {
            slot.counts.entry(key).or_default().add(&counts);
        }
    }

    /// Drops all counts of a version.
    pub(super) fn forget(&mut self, service: &ServiceName, version: &ServiceVersion) {
        for slot in &mut self.slots {
            slot.counts.retain(|key, _| key.service != *service || key.version != *version);
        }
    }

    fn recent(&self, interval: Duration, now: Instant) -> impl Iterator<Item = &Slot> {
        let recent = move |s: &&Slot| now.saturating_duration_since(s.at) <= interval;
        self.slots.iter().rev().take_while(recent)
    }

    /// Returns all counts of an interval, by version and route.
    pub(super) fn sums(
        &self,
        interval: Duration,
        now: Instant,
    ) -> BTreeMap<&VersionOnRoute, Counts> {
        let mut sums: BTreeMap<&VersionOnRoute, Counts> = BTreeMap::new();
        for (key, counts) in self.recent(interval, now).flat_map(|slot| &slot.counts) {
            sums.entry(key).or_default().add(counts);
        }
        sums
    }

    /// Returns the counts of one version on one route over an interval.
    pub(super) fn sum(&self, key: &VersionOnRoute, interval: Duration, now: Instant) -> Counts {
        let mut sum = Counts::default();
        for counts in self.recent(interval, now).filter_map(|slot| slot.counts.get(key)) {
            sum.add(counts);
        }
        sum
    }

    /// Returns the counts of two versions from only those slots in which both had traffic, so that
    /// a fault during which only one of them had traffic does not count against that one.
    pub(super) fn paired_sums(
        &self,
        (one, other): (&VersionOnRoute, &VersionOnRoute),
        interval: Duration,
        now: Instant,
    ) -> (Counts, Counts) {
        let mut sums = (Counts::default(), Counts::default());
        for slot in self.recent(interval, now) {
            if let (Some(first), Some(second)) = (slot.counts.get(one), slot.counts.get(other))
                && first.total().min(second.total()) > 0
            {
                sums.0.add(first);
                sums.1.add(second);
            }
        }
        sums
    }

    /// Returns the routes for which the window has counts of a version.
    pub(super) fn routes(
        &self,
        service: &ServiceName,
        version: &ServiceVersion,
    ) -> BTreeSet<RouteName> {
        let keys = self.slots.iter().flat_map(|slot| slot.counts.keys());
        let own = keys.filter(|k| k.service == *service && k.version == *version);
        own.map(|k| k.route.clone()).collect()
    }

    /// Returns the requests per second on a route, summed over all versions: the higher of a short
    /// and a longer average.
    pub(super) fn load(&self, service: &ServiceName, route: &RouteName, now: Instant) -> f64 {
        let average = |interval: Duration| {
            let requests: u64 = self
                .recent(interval, now)
                .flat_map(|slot| &slot.counts)
                .filter(|(k, _)| k.service == *service && k.route == *route)
                .map(|(_, counts)| counts.total())
                .sum();
            requests as f64 / interval.as_secs_f64()
        };
        LOAD_INTERVALS.into_iter().map(average).fold(0.0, f64::max)
    }
}
