//! Rollouts requested by an operator: good versions are completed in time, harmful ones are rolled
//! back early.

use std::time::Duration;

use hooklug_control::core::rollout_plan::{ExposureLimits, RolloutPlan};
use hooklug_control::core::rollouts::{Evidence, Responses, evidence};
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

const HUNDRED: Responses = Responses { samples: 100, failures: 0 };
const GOOD: Evidence =
    Evidence { target: HUNDRED, since_shift: HUNDRED, other_error_share: 0.0, is_harmful: false };

const LIMITS: ExposureLimits = ExposureLimits { share: 0.1, requests: 50 };
/// Time of a rollout and requests per second of its service in most tests.
const TIME: Duration = Duration::from_secs(16);
const RATE: f64 = 100.0;
/// Checks of a rollout: a core makes one each 100 ms.
const CHECKS: u32 = 160;

/// Runs a rollout; returns the phase after each check with the elapsed fraction of its time.
fn run(evidence: impl Fn(f64) -> Evidence) -> Vec<(f64, RolloutPhase)> {
    run_planned(TIME, CHECKS, |_| Some(RATE), evidence)
}

/// Runs a rollout whose service gets these requests per second, as far as the core knows.
fn run_planned(
    time: Duration,
    checks: u32,
    rate: impl Fn(f64) -> Option<f64>,
    evidence: impl Fn(f64) -> Evidence,
) -> Vec<(f64, RolloutPhase)> {
    let mut phase = record().phase;
    let mut phases = Vec::new();
    for check in 0..checks {
        let elapsed = f64::from(check) / f64::from(checks);
        let plan = RolloutPlan::new(LIMITS, time, rate(elapsed));
        phase = plan.next_phase(phase, elapsed, evidence(elapsed));
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
    assert!(shifted >= 5, "older engines need half a second to finish running work");
    let completed = phases.iter().filter(|(_, phase)| *phase == RolloutPhase::Completed).count();
    assert!(completed >= 5, "an operator asks each half second");
}

/// Guards against a bad version that is found bad only when most requests go to it, or not at all:
/// however its requests fare, few have met it by the time at which its rollout is due.
#[test]
fn few_requests_reach_the_target_before_the_rollout_is_due_whatever_is_found() {
    for seconds in [8, 12, 16, 60, 600] {
        for rate in [5.0, 20.0, 50.0, 106.0, 500.0, 5_200.0] {
            let known = |elapsed: f64| (elapsed * f64::from(seconds) > 3.0).then_some(rate);
            let time = Duration::from_secs(u64::from(seconds));
            let phases = run_planned(time, seconds * 10, known, |_| GOOD);
            let exposed: f64 = phases.iter().map(|(_, phase)| share(*phase) * rate / 10.0).sum();
            let requests = rate * f64::from(seconds);
            let allowed = LIMITS.share * requests + f64::from(LIMITS.requests);
            assert!(exposed <= allowed, "{exposed} of {requests} in {seconds} s");
            let last = phases.last().map(|(_, phase)| *phase);
            assert_eq!(
                last,
                Some(RolloutPhase::Completed),
                "{rate} requests a second, {seconds} s"
            );
        }
    }
}

/// Guards against traffic that grows after the shift.
#[test]
fn a_tenth_more_traffic_after_the_shift_keeps_the_exposure() {
    for rate in [20.0, 106.0, 500.0] {
        let phases = run_planned(TIME, CHECKS, |_| Some(rate), |_| GOOD);
        let factor = |phase| if share(phase) == 1.0 { 1.1 } else { 1.0 };
        let requests = |(_, phase): &(f64, RolloutPhase)| factor(*phase) * rate / 10.0;
        let exposed: f64 = phases.iter().map(|step| share(step.1) * requests(step)).sum();
        let all: f64 = phases.iter().map(requests).sum();
        assert!(exposed <= LIMITS.share * all + f64::from(LIMITS.requests), "{exposed} of {all}");
    }
}

#[test]
fn under_a_tenth_of_requests_reaches_the_target_before_the_shift() {
    let phases = run(|_| GOOD);
    let before = phases.iter().take_while(|(_, phase)| *phase != RolloutPhase::Shifted);
    let exposed: f64 = before.map(|(_, phase)| share(*phase) / f64::from(CHECKS)).sum();
    assert!(exposed < 0.1, "{exposed}");
}

/// Guards against a core that has just become the leader and knows no requests yet.
#[test]
fn a_rollout_of_unknown_traffic_keeps_the_share_without_any_tolerance() {
    let phases = run_planned(TIME, CHECKS, |_| None, |_| GOOD);
    let exposed: f64 = phases.iter().map(|(_, phase)| share(*phase) / f64::from(CHECKS)).sum();
    assert!(exposed <= 0.1, "{exposed}");
    assert_eq!(phases.last().map(|(_, phase)| *phase), Some(RolloutPhase::Completed));
}

/// Guards against a version whose harm shows only once it gets all requests: after the completion there
/// is no way back.
#[test]
fn a_rollout_completes_only_after_responses_to_all_requests() {
    let shifted = |samples, failures| {
        run(|_| Evidence { since_shift: Responses { samples, failures }, ..GOOD })
    };
    for (samples, failures, last) in [
        (19, 0, RolloutPhase::Shifted),
        (20, 0, RolloutPhase::Completed),
        (20, 2, RolloutPhase::Shifted),
        (100, 5, RolloutPhase::Completed),
        (100, 6, RolloutPhase::Shifted),
    ] {
        let phases = shifted(samples, failures);
        assert_eq!(phases.last().map(|(_, phase)| *phase), Some(last), "{failures} of {samples}");
    }
    // Failures before the shift count too.
    let doubtful = Responses { samples: 100, failures: 6 };
    let phases = run(|_| Evidence { target: doubtful, ..GOOD });
    assert_eq!(phases.last().map(|(_, phase)| *phase), Some(RolloutPhase::Shifted));
    let plan = RolloutPlan::new(LIMITS, TIME, Some(RATE));
    let after_due = |evidence| plan.next_phase(RolloutPhase::Shifted, 1.1, evidence);
    assert_eq!(after_due(GOOD), RolloutPhase::Completed);
    assert_eq!(after_due(Evidence { is_harmful: true, ..GOOD }), RolloutPhase::RolledBack);
}

/// Guards against a load step that a phase of the build before would skip or repeat.
#[test]
fn a_rollout_goes_on_from_the_shares_of_the_build_before() {
    let plan = RolloutPlan::new(LIMITS, TIME, Some(RATE));
    let next = |share_permille, elapsed| {
        plan.next_phase(RolloutPhase::Trial { share_permille }, elapsed, GOOD)
    };
    assert_eq!(next(50, 0.5), RolloutPhase::Trial { share_permille: 50 });
    assert_eq!(next(50, 0.8), RolloutPhase::Trial { share_permille: 100 });
    assert_eq!(next(250, 0.8), RolloutPhase::Trial { share_permille: 250 });
    assert_eq!(next(500, 0.95), RolloutPhase::Shifted);
}

#[test]
fn a_regression_at_any_time_rolls_the_rollout_back() {
    for start in 0..150 {
        let start = f64::from(start) / f64::from(CHECKS);
        let phases = run(|elapsed| Evidence { is_harmful: elapsed == start, ..GOOD });
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
    assert_eq!(found.target, Responses { samples: 29, failures: 2 });
    assert!(!found.is_harmful, "{found:?}");
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
