//! Tests of the simulator: a run over many seeds, exact replay, and detection of broken rules.

use super::{BrokenRule, Scenario, SweepReport, Violation, run, sweep};

/// Number of seeds of the regular run.
const SEEDS: u64 = 2_000;
/// Threads of one sweep. The test harness runs several sweeps concurrently.
const THREADS: usize = 4;

fn broken(rule: BrokenRule, seeds: u64) -> SweepReport {
    let report = sweep(0, seeds, THREADS, Some(rule));
    println!("{rule:?}: {} of {seeds} seeds report a violation", report.failures.len());
    for failure in report.failures.iter().take(5) {
        println!("  seed {}: {}", failure.seed, failure.violation);
    }
    report
}

fn is_safety(violation: &Violation) -> bool {
    !matches!(
        violation,
        Violation::NoRecovery { .. } | Violation::NotCaughtUp { .. } | Violation::EventStorm { .. }
    )
}

#[test]
fn no_seed_breaks_a_promise() {
    let report = sweep(0, SEEDS, THREADS, None);
    for failure in &report.failures {
        println!("seed {}: {}", failure.seed, failure.violation);
    }
    println!("{:?}", report.totals);
    assert_eq!(report.seeds, SEEDS);
    assert!(report.failures.is_empty(), "the seeds above failed; replay with --first N --replay");
    let totals = report.totals;
    let kinds = [
        totals.writes,
        totals.reads,
        totals.crashes,
        totals.partitions,
        totals.freezes,
        totals.lost_disks,
        totals.conf_changes,
        totals.compactions,
        totals.snapshots,
        totals.transfers,
    ];
    assert!(
        kinds.iter().all(|count| *count > 100),
        "an event kind occurred too rarely: {totals:?}"
    );
}

#[test]
fn a_seed_replays_exactly() {
    for seed in 0..50 {
        let scenario = Scenario { seed, broken_rule: None, record_trace: false };
        let first = run(scenario);
        assert_eq!(first, run(scenario), "seed {seed}");
        let traced = run(Scenario { record_trace: true, ..scenario });
        assert_eq!(traced.digest, first.digest, "seed {seed} with a trace");
        let other = run(Scenario { seed: seed + 1, ..scenario });
        assert_ne!(other.digest, first.digest, "seeds {seed} and {}", seed + 1);
    }
}

#[test]
fn a_sweep_does_not_depend_on_its_threads() {
    let rule = Some(BrokenRule::VoteNotSynced);
    assert_eq!(sweep(100, 60, 1, rule), sweep(100, 60, 3, rule));
}

#[test]
fn commit_of_an_older_term_by_counting_is_noticed() {
    let report = broken(BrokenRule::CommitOlderTermByCounting, SEEDS);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}

#[test]
fn a_read_without_a_round_is_noticed() {
    let report = broken(BrokenRule::ReadWithoutRound, 400);
    let stale = |v: &Violation| matches!(v, Violation::StaleRead { .. });
    assert!(report.failures.iter().any(|failure| stale(&failure.violation)));
}

#[test]
fn an_unsynced_vote_is_noticed() {
    let report = broken(BrokenRule::VoteNotSynced, SEEDS);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}

#[test]
fn unsynced_entries_are_noticed() {
    let report = broken(BrokenRule::EntriesNotSynced, 400);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}

#[test]
fn an_empty_disk_under_its_old_id_is_noticed() {
    let report = broken(BrokenRule::EmptyDiskKeepsId, 400);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}
