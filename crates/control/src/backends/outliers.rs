//! Judges back ends by what all gateways tell of their requests there. Pure: time is an argument.
//!
//! A back end may fail a part of its requests while its health check is good, and a health check may fail at a sound
//! one. Each gateway alone would lose some requests at each such back end before it knew; together they know after a
//! few. A back end is ejected for a while, and then tried again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use hooklug_protocol::backends::BackendOutcomes;
use hooklug_types::{EngineId, ServiceName};

use super::BackendList;

/// Outcomes count for one to two of these spans (ours).
const SPAN: Duration = Duration::from_millis(1_500);

/// Fewest outcomes on which a back end is judged (ours).
const LEAST_OUTCOMES: u32 = 6;

/// Share of failures that a back end may have beyond twice the share of all others (ours): when all fail alike, the
/// fault is elsewhere.
const EXCESS_SHARE: f64 = 0.2;

/// Most of a service's back ends that are ejected at a time (ours): the others must carry the load.
const MOST_EJECTED_SHARE: f64 = 0.3;

/// First and longest time for which a back end is ejected (ours); it doubles each time.
const FIRST_EJECTION: Duration = Duration::from_secs(3);
const LONGEST_EJECTION: Duration = Duration::from_secs(24);

/// Time since its last ejection after which a back end counts as sound again (ours).
const FORGIVEN_AFTER: Duration = Duration::from_secs(60);

/// How often something was answered and failed.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    answered: u32,
    failed: u32,
}

impl Counts {
    fn total(self) -> u32 {
        self.answered.saturating_add(self.failed)
    }

    fn share(self) -> f64 {
        f64::from(self.failed) / f64::from(self.total().max(1))
    }

    fn add(&mut self, other: Self) {
        self.answered = self.answered.saturating_add(other.answered);
        self.failed = self.failed.saturating_add(other.failed);
    }

    fn without(self, other: Self) -> Self {
        Self { answered: self.answered - other.answered, failed: self.failed - other.failed }
    }
}

/// What is known of one back end.
#[derive(Debug, Clone, Copy, Default)]
struct Record {
    current: Counts,
    previous: Counts,
    ejections: u32,
    ejected_until: Option<Instant>,
}

impl Record {
    fn counts(&self) -> Counts {
        let mut counts = self.current;
        counts.add(self.previous);
        counts
    }

    fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    fn eject(&mut self, now: Instant) {
        let forgiven = self.ejected_until.is_none_or(|until| now > until + FORGIVEN_AFTER);
        self.ejections = if forgiven { 0 } else { self.ejections };
        let time = FIRST_EJECTION.saturating_mul(1 << self.ejections.min(8));
        self.ejections += 1;
        self.ejected_until = Some(now + time.min(LONGEST_EJECTION));
        // What was counted before does not eject it once more.
        (self.current, self.previous) = Default::default();
    }
}

/// Judges back ends.
#[derive(Debug, Default)]
pub struct OutlierJudge {
    records: BTreeMap<EngineId, Record>,
    span_began: Option<Instant>,
}

impl OutlierJudge {
    /// Takes a gateway's word.
    pub fn note(&mut self, outcomes: &[BackendOutcomes], now: Instant) {
        self.turn_span(now);
        for told in outcomes {
            let counts = Counts { answered: told.answered, failed: told.failed };
            self.records.entry(told.backend.clone()).or_default().current.add(counts);
        }
    }

    /// The back ends of the list that are ejected now, by what was told so far.
    pub fn judge(&mut self, list: &BackendList, now: Instant) -> BTreeSet<EngineId> {
        self.turn_span(now);
        self.records.retain(|id, _| list.get(id).is_some());
        let mut services: BTreeMap<&ServiceName, Vec<&EngineId>> = BTreeMap::new();
        for backend in list.iter() {
            services.entry(&backend.service).or_default().push(&backend.id);
        }
        for backends in services.values() {
            self.judge_service(backends, now);
        }
        let ejected = self.records.iter().filter(|(_, record)| record.is_ejected(now));
        ejected.map(|(id, _)| id.clone()).collect()
    }

    /// Ejects the worst of a service's back ends, as many as may be.
    fn judge_service(&mut self, backends: &[&EngineId], now: Instant) {
        let records = || backends.iter().filter_map(|id| Some((*id, self.records.get(*id)?)));
        let most = (backends.len() as f64 * MOST_EJECTED_SHARE) as usize;
        let already = records().filter(|(_, record)| record.is_ejected(now)).count();
        let mut all = Counts::default();
        records().for_each(|(_, record)| all.add(record.counts()));
        let mut outliers: Vec<(f64, EngineId)> = records()
            .filter(|(_, record)| is_outlier(record.counts(), all))
            .map(|(id, record)| (record.counts().share(), id.clone()))
            .collect();
        outliers.sort_by(|(one, _), (other, _)| other.total_cmp(one));
        outliers.truncate(most.saturating_sub(already));
        for (_, id) in outliers {
            self.records.entry(id).or_default().eject(now);
        }
    }

    /// Forgets what was told before the last span.
    fn turn_span(&mut self, now: Instant) {
        let began = *self.span_began.get_or_insert(now);
        let passed = now.saturating_duration_since(began);
        if passed < SPAN {
            return;
        }
        self.span_began = Some(now);
        for record in self.records.values_mut() {
            let current = std::mem::take(&mut record.current);
            record.previous = if passed < SPAN * 2 { current } else { Counts::default() };
        }
    }
}

/// Whether a back end fails clearly more than the others of its service.
fn is_outlier(own: Counts, all: Counts) -> bool {
    let others = all.without(own).share();
    own.total() >= LEAST_OUTCOMES && own.share() > EXCESS_SHARE + 2.0 * others
}
