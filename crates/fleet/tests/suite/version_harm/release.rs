//! A release under load: two versions run concurrently, and the ledgers show the calls of each.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::support::bundles::submit_accepted;
use crate::support::{
    TENANT, TestFleet, WAIT_TIMEOUT, control_topology, name, read_current, start_alone,
    wait_installed,
};
use hooklug_bundle::Bundle;
use hooklug_emulator::{FaultKind, FaultRule, Faults, LedgerEntry, Restart};
use hooklug_fleet::caller::CallRequest;
use hooklug_fleet::{Caller, Fleet, Harm, ProcessKind, ProcessName, Tool};
use hooklug_types::{BundleVersion, ServiceVersion, UnixMillis};
use serde_json::json;
use tokio::task::JoinHandle;

/// Maximum time for which a bad version gets traffic after a clear regression (requirement: about 5
/// s).
pub const ROLLBACK_BOUND: Duration = Duration::from_secs(5);
/// Number of requests to a version after which a regression is clear: the bundle's `least_samples`.
pub const CLEAR_REGRESSION_SAMPLES: usize = 20;
/// Two tools of one service. Their calls are repeatable, so that they are recorded only by the
/// application engine.
pub const READ: &str = "read_sensor";
pub const LIST: &str = "list_alerts";
pub const CALLERS: usize = 24;

pub fn rule(kind: FaultKind) -> FaultRule {
    FaultRule::always(kind)
}

pub fn faults(rule: FaultRule) -> Faults {
    Faults { rules: vec![rule], ..Faults::default() }
}

/// Sets the rollout to a first step of 50 % that lasts longer than the test.
pub fn with_half_traffic(mut bundle: Bundle) -> Bundle {
    for service in bundle.services.values_mut() {
        (service.steps, service.step_seconds) = (vec![50, 100], 600);
    }
    bundle
}

pub async fn submit_and_wait_installed(fleet: &Fleet, bundle: &Bundle) {
    submit_accepted(fleet, name("gateway:0"), bundle).await;
    for gateway in fleet.names(ProcessKind::Gateway) {
        wait_installed(fleet, gateway, bundle.version.0).await;
    }
}

/// Waits until the system has committed a rollback of a version and all gateways have installed it;
/// returns the reason.
pub async fn wait_rolled_back(fleet: &Fleet, from: u64) -> Harm {
    let at = name("gateway:0");
    let check = || async move {
        let current = fleet.current_bundle(at).await.map_err(|e| e.to_string())?;
        let version = current.record.version;
        if version > BundleVersion(from) { Ok(()) } else { Err(format!("{version} is newest")) }
    };
    fleet.wait_until("the system has committed a rollback", WAIT_TIMEOUT, check).await.unwrap();
    let record = read_current(fleet, at).await.record;
    assert_eq!(record.version, BundleVersion(from + 1));
    for gateway in fleet.names(ProcessKind::Gateway) {
        wait_installed(fleet, gateway, from + 1).await;
    }
    record.rollback.expect("the newest bundle is a rollback")
}

/// Shared control of the callers of both tools: `busy` is the number of active callers.
pub struct CallControl {
    pub active_callers: AtomicUsize,
    pub stop: AtomicBool,
}

pub async fn keep_calling(calls: Arc<CallControl>, caller: Caller, number: usize) {
    let program = format!("p{number}");
    let end = UnixMillis::now().plus(Duration::from_secs(3_600));
    caller.put_program(number, &program, 1, end.0).await.unwrap();
    for call in 0.. {
        if calls.stop.load(Ordering::SeqCst) {
            return;
        }
        if number >= calls.active_callers.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        let tool = if call % 2 == 0 { READ } else { LIST };
        let request = CallRequest::new(tool, json!({}));
        // The ledgers show which version ran a call; the response is not needed.
        let _ = caller.call(number, &program, &format!("c{call}"), &request).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A fleet whose application service runs `v1` on two engines and a newer version on two others.
pub struct Release {
    pub fleet: TestFleet,
    pub calls: Arc<CallControl>,
    tasks: Vec<JoinHandle<()>>,
    pub version: u64,
    pub newer: ServiceVersion,
}

impl Release {
    pub async fn start() -> Self {
        let mut topology = control_topology(3);
        topology.cores = 2;
        topology.models[0].engines = 1;
        let tool = |name: &str| Tool { name: name.to_owned(), may_repeat: true, urgent: false };
        topology.applications[0].tools = [READ, LIST].map(tool).into();
        let mut newer = topology.applications[0].clone();
        newer.version = ServiceVersion::new("v2").unwrap();
        topology.applications.push(newer);
        let fleet = start_alone(topology).await;
        let calls = Arc::new(CallControl {
            active_callers: AtomicUsize::new(CALLERS),
            stop: AtomicBool::new(false),
        });
        let caller = Caller::new(fleet.gateways(), TENANT);
        let tasks = (0..CALLERS)
            .map(|number| tokio::spawn(keep_calling(calls.clone(), caller.clone(), number)))
            .collect();
        let newer = ServiceVersion::new("v2").unwrap();
        Self { fleet, calls, tasks, version: 1, newer }
    }

    /// Engines of the newer version.
    pub fn newer_engines(&self) -> [ProcessName; 2] {
        [name("app:2"), name("app:3")]
    }

    /// Times at which calls ran at a version, sorted.
    pub fn runs(&self, version: &ServiceVersion) -> Vec<UnixMillis> {
        let ledger = self.fleet.ledgers(ProcessKind::App).unwrap();
        let calls = ledger.iter().filter(|line| {
            line.version == version.as_str() && matches!(line.entry, LedgerEntry::CallRan { .. })
        });
        let mut runs: Vec<UnixMillis> = calls.map(|line| line.at).collect();
        runs.sort_unstable();
        runs
    }

    pub fn call_count(&self, version: &ServiceVersion) -> usize {
        self.runs(version).len()
    }

    pub async fn wait_for_calls(&self, version: &ServiceVersion, more: usize) {
        let target = self.call_count(version) + more;
        let check = || async {
            let call_count = self.call_count(version);
            if call_count >= target {
                Ok(())
            } else {
                Err(format!("{call_count} of {target} calls"))
            }
        };
        let what = format!("calls run at {version}");
        self.fleet.wait_until(&what, WAIT_TIMEOUT, check).await.unwrap();
    }

    /// Releases a version that is new to the fleet (`v2` is listed from the start), and waits until
    /// both versions have traffic.
    pub async fn release(&mut self, number: u32) {
        self.newer = ServiceVersion::new(format!("v{number}")).unwrap();
        for engine in self.newer_engines() {
            self.fleet.set_faults(engine, &Faults::default()).await.unwrap();
            let restart = Restart { version: Some(self.newer.clone()), ..Restart::default() };
            self.fleet.restart_fake_backend(engine, &restart).await.unwrap();
        }
        self.version += 1;
        let mut topology = self.fleet.topology().clone();
        topology.applications[1].version = self.newer.clone();
        let base = BundleVersion(self.version - 1);
        let bundle = with_half_traffic(topology.bundle(BundleVersion(self.version), base).unwrap());
        submit_and_wait_installed(&self.fleet, &bundle).await;
        let v1 = ServiceVersion::new("v1").unwrap();
        self.wait_for_calls(&self.newer, 100).await;
        self.wait_for_calls(&v1, 100).await;
        let current = read_current(&self.fleet, name("gateway:0")).await.record;
        assert_eq!(
            current.version,
            BundleVersion(self.version),
            "rolled back without a regression"
        );
    }

    pub async fn set_faults(&self, engines: &[ProcessName], faults: &Faults) {
        for engine in engines {
            self.fleet.set_faults(*engine, faults).await.unwrap();
        }
    }

    /// Asserts that the newer version, which has a fault from now on, is rolled back and loses its
    /// traffic in time and permanently.
    pub async fn assert_rolled_back(&mut self, what: &str, route: Option<&str>) {
        let (started, started_at) = (Instant::now(), UnixMillis::now());
        let rollback = wait_rolled_back(&self.fleet, self.version).await;
        self.version += 1;
        let rolled_back = started.elapsed();
        assert_eq!(
            (rollback.service.as_str(), rollback.version.as_str()),
            ("alarms", self.newer.as_str())
        );
        assert!(!rollback.reason.is_empty());
        if let Some(route) = route {
            assert_eq!(rollback.route.as_deref(), Some(route));
        }
        // Calls in flight have completed once each caller has made several more calls.
        let v1 = ServiceVersion::new("v1").unwrap();
        self.wait_for_calls(&v1, 10 * CALLERS).await;
        self.set_faults(&self.newer_engines(), &Faults::default()).await;
        let settled = self.call_count(&self.newer);
        self.wait_for_calls(&v1, 10 * CALLERS).await;
        assert_eq!(self.call_count(&self.newer), settled, "{what}: traffic after the rollback");
        let mut runs = self.runs(&self.newer);
        runs.retain(|at| *at >= started_at);
        let clear = runs.get(CLEAR_REGRESSION_SAMPLES - 1).copied().unwrap_or(started_at);
        let last = runs.last().copied().unwrap_or(started_at);
        let traffic = Duration::from_millis(last.0.saturating_sub(clear.0));
        println!(
            "{what}: rollback installed after {rolled_back:?}, last of {} runs {traffic:?} after a clear regression; {}",
            runs.len(),
            rollback.reason
        );
        assert!(
            traffic <= ROLLBACK_BOUND,
            "{what}: traffic until {traffic:?} after a clear regression"
        );
    }

    pub async fn stop(self) {
        self.calls.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
    }
}
