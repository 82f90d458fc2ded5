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
fn all_seeds_keep_the_invariants() {
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
fn sweep_results_are_independent_of_the_thread_count() {
    let rule = Some(BrokenRule::VoteNotSynced);
    assert_eq!(sweep(100, 60, 1, rule), sweep(100, 60, 3, rule));
}

#[test]
fn the_simulation_detects_commits_of_older_terms_by_replica_count() {
    let report = broken(BrokenRule::CommitOlderTermByCounting, SEEDS);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}

#[test]
fn the_simulation_detects_stale_reads_without_a_quorum_round() {
    let report = broken(BrokenRule::ReadWithoutRound, 400);
    let stale = |v: &Violation| matches!(v, Violation::StaleRead { .. });
    assert!(report.failures.iter().any(|failure| stale(&failure.violation)));
}

#[test]
fn the_simulation_detects_unsynced_votes() {
    let report = broken(BrokenRule::VoteNotSynced, SEEDS);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}

#[test]
fn the_simulation_detects_unsynced_entries() {
    let report = broken(BrokenRule::EntriesNotSynced, 400);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}

#[test]
fn the_simulation_detects_an_empty_disk_with_a_reused_id() {
    let report = broken(BrokenRule::EmptyDiskKeepsId, 400);
    assert!(report.failures.iter().any(|failure| is_safety(&failure.violation)));
}
