//! The judge on simulated traffic. Time and random seeds are inputs, so each run is the same.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use hooklug_bundle::{Bundle, Service, VersionState};
use hooklug_control::judge::{Judge, JudgedVersion};
use hooklug_control::latency_bucket;
use hooklug_protocol::control::{LATENCY_BUCKETS, VersionStatistics};
use hooklug_state::meta::HarmReport;
use hooklug_types::{RouteName, ServiceName, ServiceVersion};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "alarms";
const OTHER_SERVICE: &str = "reports";
const ROUTE: &str = "send-alarm";
const OTHER_ROUTE: &str = "read-sensor";
const SEEDS: std::ops::Range<u64> = 0..20;

/// Traffic and behaviour of the backends of one version on one route in one second.
#[derive(Clone, Copy)]
struct Behaviour {
    requests: u32,
    error_share: f64,
    /// Median latency, in milliseconds; single requests take between half and twice that.
    latency_ms: f64,
}

fn healthy(requests: u32) -> Behaviour {
    Behaviour { requests, error_share: 0.01, latency_ms: 40.0 }
}

struct Simulation {
    judge: Judge,
    bundle: Bundle,
    start: Instant,
    second: u32,
    random: ChaCha8Rng,
    lost: BTreeSet<JudgedVersion>,
}

/// A harm report and the simulated second in which it was returned.
type Report = (u32, HarmReport);

impl Simulation {
    fn new(seed: u64) -> Self {
        let service: Service = serde_json::from_str(
            r#"{"kind": "application", "slots": 10, "versions": [{"version": "v1"}, {"version": "v2"}]}"#,
        )
        .expect("valid");
        let mut bundle = Bundle::default();
        bundle.services.insert(ServiceName::new(SERVICE).expect("valid"), service);
        Self {
            judge: Judge::default(),
            bundle,
            start: Instant::now(),
            second: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
            lost: BTreeSet::new(),
        }
    }

    fn set_state(&mut self, version: &str, state: VersionState) {
        let service = self.bundle.services.values_mut().next().expect("one service");
        let mut versions = service.versions.iter_mut();
        versions.find(|v| v.version.as_str() == version).expect("listed").state = state;
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_secs(self.second.into()) + Duration::from_millis(millis)
    }

    fn statistics(
        &mut self,
        service: &str,
        version: &str,
        route: &str,
        behaviour: Behaviour,
    ) -> VersionStatistics {
        let mut statistics = VersionStatistics {
            service: ServiceName::new(service).expect("valid"),
            version: ServiceVersion::new(version).expect("valid"),
            route: RouteName::new(route).expect("valid"),
            successes: 0,
            failures: 0,
            latency: [0; LATENCY_BUCKETS],
        };
        for _ in 0..behaviour.requests {
            let factor = 2_f64.powf(self.random.random_range(-1.0..1.0));
            let latency = Duration::from_secs_f64(behaviour.latency_ms * factor / 1_000.0);
            statistics.latency[latency_bucket(latency)] += 1;
            if self.random.random_bool(behaviour.error_share) {
                statistics.failures += 1;
            } else {
                statistics.successes += 1;
            }
        }
        statistics
    }

    /// Simulates one second of the given traffic; returns the first report, if any.
    fn second(&mut self, traffic: &[(&str, &str, &str, Behaviour)]) -> Option<Report> {
        self.second += 1;
        let statistics: Vec<VersionStatistics> = traffic
            .iter()
            .map(|(service, version, route, behaviour)| {
                self.statistics(service, version, route, *behaviour)
            })
            .collect();
        let now = self.at(0);
        self.judge.observe(&statistics, now);
        (0..4).find_map(|quarter| {
            let now = self.at(quarter * 250);
            let reports = self.judge.evaluate(&self.bundle, &self.lost, now);
            reports.into_iter().next().map(|report| (self.second, report))
        })
    }

    /// Simulates many seconds of versions 1 and 2 on one route; stops at the first report.
    fn run(&mut self, seconds: u32, old: Behaviour, new: Behaviour) -> Option<Report> {
        (0..seconds)
            .find_map(|_| self.second(&[(SERVICE, "v1", ROUTE, old), (SERVICE, "v2", ROUTE, new)]))
    }
}

fn expect_report(report: Option<Report>, seed: u64) -> Report {
    let (second, harm) = report.unwrap_or_else(|| panic!("seed {seed}: no harm was found"));
    assert_eq!((harm.service.as_str(), harm.version.as_str()), (SERVICE, "v2"), "seed {seed}");
    assert!(!harm.reason.is_empty());
    (second, harm)
}

#[test]
fn immediate_failures_are_detected_within_five_seconds() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        let bad = Behaviour { error_share: 0.9, ..healthy(20) };
        let (second, harm) = expect_report(simulation.run(20, healthy(380), bad), seed);
        assert!(second <= 5, "seed {seed}: found in second {second}: {}", harm.reason);
        assert!(harm.reason.contains("failed"), "{}", harm.reason);
    }
}

#[test]
fn failures_on_one_route_are_detected_with_the_route_name() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        let bad = Behaviour { error_share: 0.5, ..healthy(10) };
        let report = (0..20).find_map(|_| {
            simulation.second(&[
                (SERVICE, "v1", ROUTE, healthy(200)),
                (SERVICE, "v2", ROUTE, healthy(200)),
                (SERVICE, "v1", OTHER_ROUTE, healthy(30)),
                (SERVICE, "v2", OTHER_ROUTE, bad),
            ])
        });
        let (_, harm) = expect_report(report, seed);
        assert_eq!(harm.route.map(|r| r.to_string()).as_deref(), Some(OTHER_ROUTE), "seed {seed}");
    }
}

#[test]
fn slowness_under_load_is_detected_when_load_rises() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        assert_eq!(
            simulation.run(60, healthy(40), healthy(10)),
            None,
            "seed {seed}: no load, no harm"
        );
        let slow = Behaviour { latency_ms: 400.0, ..healthy(40) };
        let (second, harm) = expect_report(simulation.run(20, healthy(160), slow), seed);
        assert!(second <= 65, "seed {seed}: found in second {second}");
        assert!(harm.reason.contains("latency"), "{}", harm.reason);
    }
}

#[test]
fn late_failures_are_detected_while_the_old_version_has_traffic() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        assert_eq!(simulation.run(240, healthy(50), healthy(50)), None, "seed {seed}");
        let bad = Behaviour { error_share: 0.4, ..healthy(50) };
        let (second, _) = expect_report(simulation.run(20, healthy(50), bad), seed);
        assert!(second <= 245, "seed {seed}: found in second {second}");
    }
}

#[test]
fn late_failures_are_detected_without_old_version_traffic() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        assert_eq!(simulation.run(30, healthy(50), healthy(50)), None, "seed {seed}");
        assert_eq!(simulation.run(240, healthy(0), healthy(100)), None, "seed {seed}");
        let bad = Behaviour { error_share: 0.8, ..healthy(100) };
        let (second, harm) = expect_report(simulation.run(20, healthy(0), bad), seed);
        assert!(second <= 276, "seed {seed}: found in second {second}: {}", harm.reason);
    }
}

#[test]
fn no_alarm_when_both_versions_suffer_alike() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        assert_eq!(simulation.run(30, healthy(100), healthy(25)), None, "seed {seed}");
        let degraded = |requests| Behaviour { requests, error_share: 0.4, latency_ms: 900.0 };
        assert_eq!(simulation.run(120, degraded(100), degraded(25)), None, "seed {seed}");
        assert_eq!(simulation.run(60, healthy(100), healthy(25)), None, "seed {seed}");
    }
}

#[test]
fn no_alarm_by_chance_over_an_hour_of_equal_versions() {
    for seed in 0..4 {
        let mut simulation = Simulation::new(seed);
        let noisy = |requests| Behaviour { error_share: 0.05, ..healthy(requests) };
        assert_eq!(simulation.run(3_600, noisy(30), noisy(3)), None, "seed {seed}");
    }
}

#[test]
fn too_few_samples_raise_no_alarm() {
    let mut simulation = Simulation::new(1);
    let bad = Behaviour { error_share: 1.0, ..healthy(1) };
    assert_eq!(simulation.run(19, healthy(100), bad), None, "19 samples of 20");
    expect_report(simulation.run(10, healthy(100), bad), 1);
}

#[test]
fn latency_under_a_load_unseen_by_the_old_version_raises_no_alarm() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        assert_eq!(simulation.run(60, healthy(50), healthy(50)), None, "seed {seed}");
        assert_eq!(simulation.run(60, healthy(0), healthy(100)), None, "seed {seed}");
        let loaded = Behaviour { latency_ms: 800.0, ..healthy(400) };
        assert_eq!(simulation.run(60, healthy(0), loaded), None, "seed {seed}: not reported");
        let slow = Behaviour { latency_ms: 800.0, ..healthy(100) };
        let (_, harm) = expect_report(simulation.run(60, healthy(0), slow), seed);
        assert!(harm.reason.contains("latency"), "{}", harm.reason);
    }
}

#[test]
fn errors_raise_no_alarm_while_other_services_fail_too() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        assert_eq!(simulation.run(60, healthy(50), healthy(50)), None, "seed {seed}");
        let bad = |requests| Behaviour { error_share: 0.8, ..healthy(requests) };
        let report = (0..60).find_map(|_| {
            simulation.second(&[
                (SERVICE, "v2", ROUTE, bad(100)),
                (OTHER_SERVICE, "v1", OTHER_ROUTE, bad(50)),
            ])
        });
        assert_eq!(report, None, "seed {seed}: something else is at fault");
    }
}

#[test]
fn failures_during_an_engine_loss_are_not_attributed_to_the_version() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        assert_eq!(simulation.run(30, healthy(50), healthy(50)), None, "seed {seed}");
        simulation.lost.insert(JudgedVersion {
            service: ServiceName::new(SERVICE).expect("valid"),
            version: ServiceVersion::new("v2").expect("valid"),
        });
        let with_lost_engine = Behaviour { error_share: 0.35, ..healthy(50) };
        assert_eq!(simulation.run(2, healthy(50), with_lost_engine), None, "seed {seed}");
        assert_eq!(simulation.run(60, healthy(50), healthy(50)), None, "seed {seed}");
        let bad = Behaviour { error_share: 0.6, ..healthy(50) };
        let (second, _) = expect_report(simulation.run(20, healthy(50), bad), seed);
        assert!(second <= 99, "seed {seed}: lasting harm is found, in second {second}");
    }
}

#[test]
fn a_report_of_a_gateway_counts_only_for_the_version_under_watch() {
    let mut simulation = Simulation::new(1);
    let harm = |version: &str| HarmReport {
        service: ServiceName::new(SERVICE).expect("valid"),
        version: ServiceVersion::new(version).expect("valid"),
        route: None,
        reason: "seen by a gateway".to_owned(),
    };
    simulation.judge.report(harm("v1"));
    assert_eq!(simulation.run(1, healthy(1), healthy(1)), None, "v1 is the old version");
    simulation.judge.report(harm("v2"));
    assert_eq!(simulation.run(1, healthy(1), healthy(1)), Some((2, harm("v2"))));
}

#[test]
fn a_rereleased_version_is_not_judged_by_earlier_measurements() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        let bad = Behaviour { error_share: 0.9, ..healthy(20) };
        expect_report(simulation.run(20, healthy(380), bad), seed);
        simulation.set_state("v2", VersionState::RolledBack);
        let old_only = [(SERVICE, "v1", ROUTE, healthy(400))];
        assert!((0..5).all(|_| simulation.second(&old_only).is_none()), "seed {seed}");
        simulation.set_state("v2", VersionState::Sound);
        // No engine of the version has received a request yet.
        let early = (0..10).find_map(|_| simulation.second(&old_only));
        assert_eq!(early, None, "seed {seed}");
        expect_report(simulation.run(20, healthy(380), bad), seed);
    }
}

#[test]
fn an_unused_earlier_version_does_not_hide_a_regression() {
    for seed in SEEDS {
        let mut simulation = Simulation::new(seed);
        let name = ServiceName::new(SERVICE).expect("valid");
        let service = simulation.bundle.services.get_mut(&name).expect("listed");
        let mut next = service.versions[1].clone();
        next.version = ServiceVersion::new("v3").expect("valid");
        service.versions.push(next);
        let bad = Behaviour { error_share: 0.6, ..healthy(20) };
        let found = (0..20).find_map(|_| {
            let traffic = [(SERVICE, "v1", ROUTE, healthy(20)), (SERVICE, "v3", ROUTE, bad)];
            simulation.second(&traffic)
        });
        let (second, report) = found.expect("harm is found");
        assert_eq!(report.version.as_str(), "v3");
        assert!(second <= 5, "seed {seed}: found in second {second}");
    }
}
