//! Runs many seeds on several threads.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};

use super::broken_rule::BrokenRule;
use super::runner::{Scenario, Totals, run};
use super::violation::Violation;

/// A seed whose run violated a property.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Failure {
    /// The seed; it reproduces the failure.
    pub seed: u64,
    /// The violation.
    pub violation: Violation,
}

/// Result of running a range of seeds.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SweepReport {
    /// Number of seeds run.
    pub seeds: u64,
    /// Event counts summed over all seeds.
    pub totals: Totals,
    /// Failures, ordered by seed.
    pub failures: Vec<Failure>,
}

/// Runs seeds `first..first + count` on `threads` threads. The report does not depend on the
/// number of threads.
#[must_use]
pub fn sweep(first: u64, count: u64, threads: usize, broken: Option<BrokenRule>) -> SweepReport {
    let next = AtomicU64::new(0);
    let report = Mutex::new(SweepReport::default());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                let part = sweep_part(first, count, &next, broken);
                if let Ok(mut total) = report.lock() {
                    total.add(part);
                }
            });
        }
    });
    let mut report = report.into_inner().unwrap_or_else(std::sync::PoisonError::into_inner);
    report.failures.sort_by_key(|failure| failure.seed);
    report
}

fn sweep_part(first: u64, count: u64, next: &AtomicU64, broken: Option<BrokenRule>) -> SweepReport {
    let mut report = SweepReport::default();
    loop {
        let offset = next.fetch_add(1, Ordering::Relaxed);
        if offset >= count {
            return report;
        }
        let seed = first + offset;
        let outcome = run(Scenario { seed, broken_rule: broken, record_trace: false });
        let failures = outcome.violation.map(|violation| Failure { seed, violation });
        let failures = failures.into_iter().collect();
        report.add(SweepReport { seeds: 1, totals: outcome.totals, failures });
    }
}

impl SweepReport {
    fn add(&mut self, other: Self) {
        self.seeds += other.seeds;
        self.totals.add(other.totals);
        self.failures.extend(other.failures);
    }
}

impl Totals {
    fn add(&mut self, other: Self) {
        self.events += other.events;
        self.writes += other.writes;
        self.reads += other.reads;
        self.crashes += other.crashes;
        self.partitions += other.partitions;
        self.freezes += other.freezes;
        self.lost_disks += other.lost_disks;
        self.conf_changes += other.conf_changes;
        self.compactions += other.compactions;
        self.snapshots += other.snapshots;
        self.transfers += other.transfers;
    }
}
