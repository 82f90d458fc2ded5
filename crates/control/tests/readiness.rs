//! Detection of versions whose engines never become ready. Time is passed in, so the tests do not
//! wait.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use hooklug_bundle::{Bundle, Service, VersionState};
use hooklug_control::judge::{EngineCounts, JudgedVersion, ReadinessMonitor};
use hooklug_state::meta::HarmReport;
use hooklug_types::{ServiceName, ServiceVersion};

const SERVICE: &str = "alarms";

/// A bundle with two versions of a service, and the instant from which seconds count.
struct Simulation {
    bundle: Bundle,
    start: Instant,
}

impl Simulation {
    fn new() -> Self {
        let service: Service = serde_json::from_str(
            r#"{"kind": "application", "slots": 10, "versions": [{"version": "v1"}, {"version": "v2"}]}"#,
        )
        .expect("valid");
        let mut bundle = Bundle::default();
        bundle.services.insert(ServiceName::new(SERVICE).expect("valid"), service);
        Self { bundle, start: Instant::now() }
    }

    fn set_newest(&mut self, state: VersionState) {
        let service = self.bundle.services.values_mut().next().expect("one service");
        service.versions.last_mut().expect("two versions").state = state;
    }
}

/// How long a version may be without a ready engine in these tests.
const BOUND: Duration = Duration::from_secs(60);

/// Engine counts of versions 1 and 2; a version without engines is missing.
fn engine_counts(
    old: Option<EngineCounts>,
    new: Option<EngineCounts>,
) -> BTreeMap<JudgedVersion, EngineCounts> {
    let service = ServiceName::new(SERVICE).expect("valid");
    let both = [("v1", old), ("v2", new)].into_iter();
    both.filter_map(|(version, counts)| {
        let version = ServiceVersion::new(version).expect("valid");
        Some((JudgedVersion::new(&service, &version), counts?))
    })
    .collect()
}

const READY: Option<EngineCounts> = Some(EngineCounts { listed: 3, ready: 3 });
const UNREADY: Option<EngineCounts> = Some(EngineCounts { listed: 2, ready: 0 });

/// Evaluates the same engine counts once per second; returns the second in which the newest version
/// is reported, and the report.
fn watch_readiness(
    watch: &mut ReadinessMonitor,
    simulation: &Simulation,
    seconds: std::ops::Range<u64>,
    engine_counts: &BTreeMap<JudgedVersion, EngineCounts>,
) -> Option<(u64, HarmReport)> {
    seconds.into_iter().find_map(|second| {
        let now = simulation.start + Duration::from_secs(second);
        let mut reports = watch.evaluate(&simulation.bundle, engine_counts, now);
        Some((second, reports.pop()?))
    })
}

#[test]
fn a_version_never_ready_is_reported_after_the_bound() {
    let simulation = Simulation::new();
    for (new, listed) in [(UNREADY, 2), (None, 0)] {
        let mut watch = ReadinessMonitor::new(BOUND);
        let engine_counts = engine_counts(READY, new);
        let found = watch_readiness(&mut watch, &simulation, 0..200, &engine_counts);
        let (second, report) = found.expect("the version is reported");
        assert_eq!(second, BOUND.as_secs());
        assert_eq!((report.version.as_str(), &report.route), ("v2", &None));
        let expected =
            format!("no engine of it was ready for 60 s ({listed} listed), of v1 3 are ready");
        assert_eq!(report.reason, expected);
    }
}

#[test]
fn a_version_intermittently_ready_within_the_bound_is_not_reported() {
    let simulation = Simulation::new();
    let mut watch = ReadinessMonitor::new(BOUND);
    let (waiting, ready) = (engine_counts(READY, UNREADY), engine_counts(READY, READY));
    for round in 0..5 {
        let start = 100 * round;
        let while_waiting = watch_readiness(&mut watch, &simulation, start..start + 59, &waiting);
        assert_eq!(while_waiting, None, "round {round}");
        let while_ready = watch_readiness(&mut watch, &simulation, start + 59..start + 100, &ready);
        assert_eq!(while_ready, None, "round {round}");
    }
}

#[test]
fn an_unready_version_is_not_reported_without_a_ready_older_engine() {
    let simulation = Simulation::new();
    for old in [None, UNREADY] {
        let mut watch = ReadinessMonitor::new(BOUND);
        let none_ready = engine_counts(old, UNREADY);
        assert_eq!(watch_readiness(&mut watch, &simulation, 0..200, &none_ready), None);
        // The wait counts from the start, no matter when the older version becomes ready again.
        let found =
            watch_readiness(&mut watch, &simulation, 200..202, &engine_counts(READY, UNREADY));
        assert_eq!(found.map(|(second, _)| second), Some(200));
    }
}

#[test]
fn a_rereleased_version_gets_the_full_readiness_bound() {
    let mut simulation = Simulation::new();
    let mut watch = ReadinessMonitor::new(BOUND);
    let waiting = engine_counts(READY, UNREADY);
    assert!(watch_readiness(&mut watch, &simulation, 0..61, &waiting).is_some());
    simulation.set_newest(VersionState::RolledBack);
    assert_eq!(watch_readiness(&mut watch, &simulation, 61..62, &waiting), None);
    simulation.set_newest(VersionState::Sound);
    let found = watch_readiness(&mut watch, &simulation, 62..200, &waiting);
    assert_eq!(found.map(|(second, _)| second), Some(62 + BOUND.as_secs()));
}
