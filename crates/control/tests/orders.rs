//! Rollouts requested by an operator: good versions are completed in time, harmful ones are rolled
//! back early.

use hooklug_control::core::rollouts::{Evidence, evidence, next_phase};
use hooklug_protocol::control::{LATENCY_BUCKETS, VersionStatistics};
use hooklug_state::meta::{RolloutPhase, RolloutRecord};
use hooklug_types::{RouteName, ServiceName, ServiceVersion, UnixMillis};

fn service() -> ServiceName {
    ServiceName::new("advisor").unwrap()
}

fn record() -> RolloutRecord {
    RolloutRecord {
        number: 1,
        target: ServiceVersion::new("v2").unwrap(),
        phase: RolloutPhase::Trial { share_permille: 0 },
        started_at: UnixMillis(0),
        due: UnixMillis(12_000),
    }
}

fn version_statistics(
    version: &str,
    route: &str,
    successes: u64,
    failures: u64,
    bucket: usize,
) -> VersionStatistics {
    let mut latency = [0; LATENCY_BUCKETS];
    latency[bucket] = successes + failures;
    VersionStatistics {
        service: service(),
        version: ServiceVersion::new(version).unwrap(),
        route: RouteName::new(route).unwrap(),
        successes,
        failures,
        latency,
    }
}

const GOOD: Evidence = Evidence { samples: 100, is_harmful: false };

/// Runs a rollout with a check every fiftieth of its time.
fn run(evidence: impl Fn(f64) -> Evidence) -> Vec<(f64, RolloutPhase)> {
    let mut phase = record().phase;
    let mut phases = Vec::new();
    for step in 0..50 {
        let elapsed = f64::from(step) / 50.0;
        phase = next_phase(phase, elapsed, evidence(elapsed));
        phases.push((elapsed, phase));
    }
    phases
}

fn share(phase: RolloutPhase) -> f64 {
    match phase {
        RolloutPhase::Trial { share_permille } => f64::from(share_permille) / 1_000.0,
        RolloutPhase::Shifted | RolloutPhase::Completed => 1.0,
        RolloutPhase::RolledBack => 0.0,
    }
}

#[test]
fn the_rollout_of_a_good_version_completes() {
    let phases = run(|_| GOOD);
    assert_eq!(phases.last().map(|(_, phase)| *phase), Some(RolloutPhase::Completed));
    let shifted = phases.iter().filter(|(_, phase)| *phase == RolloutPhase::Shifted).count();
    assert!(shifted >= 5, "older engines need time to finish running work");
}

#[test]
fn under_a_tenth_of_requests_reaches_the_target_before_the_shift() {
    let phases = run(|_| GOOD);
    let before = phases.iter().take_while(|(_, phase)| *phase != RolloutPhase::Shifted);
    let exposed: f64 = before.map(|(_, phase)| share(*phase) / 50.0).sum();
    assert!(exposed < 0.1, "{exposed}");
}

#[test]
fn a_regression_at_any_time_rolls_the_rollout_back() {
    for start in 0..45 {
        let start = f64::from(start) / 50.0;
        let phases = run(|elapsed| Evidence { samples: 100, is_harmful: elapsed == start });
        assert_eq!(phases.last().map(|(_, phase)| *phase), Some(RolloutPhase::RolledBack));
    }
}

#[test]
fn a_version_without_samples_gets_at_most_five_percent() {
    let phases = run(|_| Evidence::default());
    assert!(phases.iter().all(|(_, phase)| share(*phase) <= 0.05));
}

#[test]
fn errors_on_one_route_are_a_regression() {
    let statistics = [
        version_statistics("v1", "ask", 200, 1, 7),
        version_statistics("v2", "ask", 12, 0, 7),
        version_statistics("v1", "plan", 100, 0, 7),
        version_statistics("v2", "plan", 3, 5, 7),
    ];
    assert!(evidence(&service(), &record(), &statistics).is_harmful);
}

#[test]
fn much_higher_latency_is_a_regression() {
    let statistics =
        [version_statistics("v1", "ask", 200, 0, 7), version_statistics("v2", "ask", 12, 0, 10)];
    assert!(evidence(&service(), &record(), &statistics).is_harmful);
}

#[test]
fn unchanged_errors_and_latency_are_no_regression() {
    let statistics = [
        version_statistics("v1", "ask", 200, 20, 7),
        version_statistics("v2", "ask", 18, 2, 7),
        version_statistics("v1", "plan", 100, 0, 10),
        version_statistics("v2", "plan", 9, 0, 10),
    ];
    let found = evidence(&service(), &record(), &statistics);
    assert_eq!(found, Evidence { samples: 29, is_harmful: false });
}

#[test]
fn failures_of_another_service_are_ignored() {
    let mut other = version_statistics("v2", "ask", 0, 50, 7);
    other.service = ServiceName::new("other").unwrap();
    assert!(
        !evidence(&service(), &record(), &[version_statistics("v1", "ask", 100, 0, 7), other])
            .is_harmful
    );
}
