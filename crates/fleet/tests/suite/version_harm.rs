//! A bad version gets no traffic about 5 s after clear harm, the system commits the roll-back with its
//! reason, and versions that suffer alike are left in force.
//!
//! Catches: a judge that looks at a service as a whole and so misses one route; one that forgets the time
//! before; one that compares a version under load with an idle one; gateways that go on sending to a version
//! rolled back; an outage of all versions taken for the newest one's fault.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::support::load::Load;
use crate::support::{
    MODEL, PATIENCE, TENANT, TestFleet, control_topology, name, read_current, start_alone,
    wait_installed,
};
use hooklug_bundle::Bundle;
use hooklug_emulator::{FaultKind, FaultRule, Faults, LedgerEntry, Restart};
use hooklug_fleet::caller::{CallRequest, SessionRef, TurnRequest};
use hooklug_fleet::{Caller, Fleet, Harm, ModelGroup, ProcessKind, ProcessName, Tool, Verdict};
use hooklug_types::{BundleVersion, ServiceVersion, UnixMillis};
use serde_json::json;
use tokio::task::JoinHandle;

/// Bound on a bad version's traffic after clear harm (brief: about 5 s).
const HARM_BOUND: Duration = Duration::from_secs(5);
/// Requests to a version after which harm is clear: the bundle's `least_samples`.
const CLEAR_AFTER: usize = 20;
/// Two tools of one service. Their calls may be repeated: nothing but the application is written for them.
const READ: &str = "read_sensor";
const LIST: &str = "list_alerts";
const CALLERS: usize = 24;

fn rule(kind: FaultKind) -> FaultRule {
    FaultRule::always(kind)
}

fn faults(rule: FaultRule) -> Faults {
    Faults { rules: vec![rule], ..Faults::default() }
}

/// Half of all calls go to the newest version, for as long as a test takes.
fn at_half(mut bundle: Bundle) -> Bundle {
    for service in bundle.services.values_mut() {
        (service.steps, service.step_seconds) = (vec![50, 100], 600);
    }
    bundle
}

async fn accept(fleet: &Fleet, bundle: &Bundle) {
    let at = name("gateway:0");
    let verdict = fleet.submit_until_decided(at, bundle, PATIENCE).await.unwrap();
    assert!(matches!(verdict, Verdict::Accepted(_)), "{verdict:?}");
    for gateway in fleet.names(ProcessKind::Gateway) {
        wait_installed(fleet, gateway, bundle.version.0).await;
    }
}

/// The roll-back that the system committed on top of a version.
async fn wait_rolled_back(fleet: &Fleet, from: u64) -> Harm {
    let at = name("gateway:0");
    let look = || async move {
        let current = fleet.current_bundle(at).await.map_err(|e| e.to_string())?;
        let version = current.record.version;
        if version > BundleVersion(from) { Ok(()) } else { Err(format!("{version} is newest")) }
    };
    fleet.wait_until("the system rolls back", PATIENCE, look).await.unwrap();
    let record = read_current(fleet, at).await.record;
    assert_eq!(record.version, BundleVersion(from + 1));
    for gateway in fleet.names(ProcessKind::Gateway) {
        wait_installed(fleet, gateway, from + 1).await;
    }
    record.rollback.expect("a bundle of the system")
}

/// Callers of both tools; how many of them call at a time is set.
struct Calls {
    busy: AtomicUsize,
    stop: AtomicBool,
}

async fn keep_calling(calls: Arc<Calls>, caller: Caller, number: usize) {
    let program = format!("p{number}");
    let end = UnixMillis::now().plus(Duration::from_secs(3_600));
    caller.put_program(number, &program, 1, end.0).await.unwrap();
    for call in 0.. {
        if calls.stop.load(Ordering::SeqCst) {
            return;
        }
        if number >= calls.busy.load(Ordering::SeqCst) {
            tokio::time::sleep(Duration::from_millis(20)).await;
            continue;
        }
        let tool = if call % 2 == 0 { READ } else { LIST };
        let request = CallRequest::new(tool, json!({}));
        // What reached which version is read from the ledgers; the answer tells nothing more.
        let _ = caller.call(number, &program, &format!("c{call}"), &request).await;
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A fleet whose application service runs `v1` on two engines and a newer version on two.
struct Release {
    fleet: TestFleet,
    calls: Arc<Calls>,
    tasks: Vec<JoinHandle<()>>,
    version: u64,
    newer: ServiceVersion,
}

impl Release {
    async fn start() -> Self {
        let mut topology = control_topology(3);
        topology.cores = 2;
        topology.models[0].engines = 1;
        let tool = |name: &str| Tool { name: name.to_owned(), may_repeat: true, urgent: false };
        topology.applications[0].tools = [READ, LIST].map(tool).into();
        let mut newer = topology.applications[0].clone();
        newer.version = ServiceVersion::new("v2").unwrap();
        topology.applications.push(newer);
        let fleet = start_alone(topology).await;
        let calls =
            Arc::new(Calls { busy: AtomicUsize::new(CALLERS), stop: AtomicBool::new(false) });
        let caller = Caller::new(fleet.gateways(), TENANT);
        let tasks = (0..CALLERS)
            .map(|number| tokio::spawn(keep_calling(calls.clone(), caller.clone(), number)))
            .collect();
        let newer = ServiceVersion::new("v2").unwrap();
        Self { fleet, calls, tasks, version: 1, newer }
    }

    /// Engines of the newer version.
    fn newer_engines(&self) -> [ProcessName; 2] {
        [name("app:2"), name("app:3")]
    }

    /// The moments at which calls ran at a version.
    fn runs(&self, version: &ServiceVersion) -> Vec<UnixMillis> {
        let ledger = self.fleet.ledgers(ProcessKind::App).unwrap();
        let calls = ledger.iter().filter(|line| {
            line.version == version.as_str() && matches!(line.entry, LedgerEntry::CallRan { .. })
        });
        let mut runs: Vec<UnixMillis> = calls.map(|line| line.at).collect();
        runs.sort_unstable();
        runs
    }

    fn ran(&self, version: &ServiceVersion) -> usize {
        self.runs(version).len()
    }

    async fn wait_ran(&self, version: &ServiceVersion, more: usize) {
        let goal = self.ran(version) + more;
        let look = || async {
            let ran = self.ran(version);
            if ran >= goal { Ok(()) } else { Err(format!("{ran} of {goal} calls")) }
        };
        let what = format!("calls run at {version}");
        self.fleet.wait_until(&what, PATIENCE, look).await.unwrap();
    }

    /// Releases a version that nobody has seen before (`v2` is there from the start), and waits until both versions have traffic.
    async fn release(&mut self, number: u32) {
        self.newer = ServiceVersion::new(format!("v{number}")).unwrap();
        for engine in self.newer_engines() {
            self.fleet.set_faults(engine, &Faults::default()).await.unwrap();
            let restart = Restart { version: Some(self.newer.clone()), ..Restart::default() };
            self.fleet.restart_stand_in(engine, &restart).await.unwrap();
        }
        self.version += 1;
        let mut topology = self.fleet.topology().clone();
        topology.applications[1].version = self.newer.clone();
        let base = BundleVersion(self.version - 1);
        let bundle = at_half(topology.bundle(BundleVersion(self.version), base).unwrap());
        accept(&self.fleet, &bundle).await;
        let v1 = ServiceVersion::new("v1").unwrap();
        self.wait_ran(&self.newer, 100).await;
        self.wait_ran(&v1, 100).await;
        let current = read_current(&self.fleet, name("gateway:0")).await.record;
        assert_eq!(current.version, BundleVersion(self.version), "rolled back without harm");
    }

    async fn set_faults(&self, engines: &[ProcessName], faults: &Faults) {
        for engine in engines {
            self.fleet.set_faults(*engine, faults).await.unwrap();
        }
    }

    /// From now on the newer version does harm: checks that it loses its traffic in time, for good.
    async fn harm_is_met(&mut self, what: &str, route: Option<&str>) {
        let (began, began_at) = (Instant::now(), UnixMillis::now());
        let harm = wait_rolled_back(&self.fleet, self.version).await;
        self.version += 1;
        let rolled_back = began.elapsed();
        assert_eq!((harm.service.as_str(), harm.version.as_str()), ("alarms", self.newer.as_str()));
        assert!(!harm.reason.is_empty());
        if let Some(route) = route {
            assert_eq!(harm.route.as_deref(), Some(route));
        }
        // Calls begun before are over once as many more have been made as there are callers, and again.
        let v1 = ServiceVersion::new("v1").unwrap();
        self.wait_ran(&v1, 10 * CALLERS).await;
        self.set_faults(&self.newer_engines(), &Faults::default()).await;
        let settled = self.ran(&self.newer);
        self.wait_ran(&v1, 10 * CALLERS).await;
        assert_eq!(self.ran(&self.newer), settled, "{what}: traffic after the roll-back");
        let mut runs = self.runs(&self.newer);
        runs.retain(|at| *at >= began_at);
        let clear = runs.get(CLEAR_AFTER - 1).copied().unwrap_or(began_at);
        let last = runs.last().copied().unwrap_or(began_at);
        let traffic = Duration::from_millis(last.0.saturating_sub(clear.0));
        println!(
            "{what}: rolled back in force after {rolled_back:?}, last of {} runs {traffic:?} after clear harm; {}",
            runs.len(),
            harm.reason
        );
        assert!(traffic <= HARM_BOUND, "{what}: traffic until {traffic:?} after clear harm");
    }

    async fn stop(self) {
        self.calls.stop.store(true, Ordering::SeqCst);
        for task in self.tasks {
            task.await.unwrap();
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn harmful_versions_of_an_application_service_lose_their_traffic() {
    let mut release = Release::start().await;
    let newer = release.newer_engines();

    release.release(3).await;
    release.set_faults(&newer, &faults(rule(FaultKind::Garble))).await;
    release.harm_is_met("fails", None).await;

    release.release(4).await;
    let one_route = FaultRule { route: Some(LIST.to_owned()), ..rule(FaultKind::Garble) };
    release.set_faults(&newer, &faults(one_route)).await;
    release.harm_is_met("fails on one route", Some(LIST)).await;

    // Healthy for a long time, by the number of its calls, before a part of them fails.
    release.release(5).await;
    release.wait_ran(&release.newer, 1_000).await;
    let in_part = FaultRule { share: 0.5, ..rule(FaultKind::Garble) };
    release.set_faults(&newer, &faults(in_part)).await;
    release.harm_is_met("fails after a while", None).await;

    // Slow only while more than two calls run at an engine: first there are too few callers for that.
    release.calls.busy.store(2, Ordering::SeqCst);
    release.release(6).await;
    let under_load = FaultRule { above_running: Some(2), millis: 400, ..rule(FaultKind::Slow) };
    release.set_faults(&newer, &faults(under_load)).await;
    release.wait_ran(&release.newer, 200).await;
    let current = read_current(&release.fleet, name("gateway:0")).await.record;
    assert_eq!(current.version, BundleVersion(release.version), "rolled back without load");
    release.calls.busy.store(CALLERS, Ordering::SeqCst);
    release.harm_is_met("slow under load", None).await;
    release.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn versions_that_suffer_alike_stay_in_force() {
    /// Longer than the system takes for a real fault (brief: about 5 s).
    const WATCHED: Duration = Duration::from_secs(10);
    /// Calls at each version while it suffers.
    const CALLS: usize = 600;
    let mut release = Release::start().await;
    release.release(2).await;
    let all = release.fleet.names(ProcessKind::App);
    let in_part = FaultRule { share: 0.3, ..rule(FaultKind::Garble) };
    release.set_faults(&all, &faults(in_part)).await;
    let began = Instant::now();
    release.wait_ran(&release.newer, CALLS).await;
    release.wait_ran(&ServiceVersion::new("v1").unwrap(), CALLS).await;
    while began.elapsed() < WATCHED {
        release.wait_ran(&release.newer, 10).await;
    }
    let current = read_current(&release.fleet, name("gateway:0")).await.record;
    assert_eq!((current.version, current.rollback), (BundleVersion(release.version), None));
    release.stop().await;
}

/// New sessions, one after another: how each one's first turn ended, and at which version.
async fn keep_opening(
    caller: Caller,
    number: usize,
    stop: Arc<AtomicBool>,
    seen: Arc<Mutex<Vec<(Instant, String, String)>>>,
) {
    let program = format!("opener-{number}");
    let end = UnixMillis::now().plus(Duration::from_secs(3_600));
    caller.put_program(number, &program, 1_000_000, end.0).await.unwrap();
    for opened in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let session = SessionRef::new(&program, &format!("s{opened}"));
        let Ok(view) = caller.open_session(number, &session, MODEL, None).await else { continue };
        let turn = TurnRequest::new("t", None, "[tokens 3]", 8);
        let ended = caller.run_turn(number, &session, &turn).await;
        let ended = ended.map_or_else(|e| e.to_string(), |t| t.end().to_owned());
        seen.lock().unwrap().push((Instant::now(), view.version, ended));
        // A closed session frees its place; one that can't be closed is of no further interest.
        let _ = caller.close_session(number, &session).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_harmful_version_of_a_model_service_gets_no_more_sessions() {
    let mut topology = control_topology(3);
    topology.cores = 2;
    let fleet = start_alone(topology).await;
    let load = Load::start(&fleet, 4).await;
    let group = ModelGroup {
        version: ServiceVersion::new("v2").unwrap(),
        ..fleet.topology().models[0].clone()
    };
    let engine = fleet.add_engine(&group).await.unwrap();
    // Once rolled back it drains and ends by itself.
    fleet.allow_end(engine).unwrap();
    let model = *fleet.names(ProcessKind::Model).last().unwrap();
    let mut released = fleet.topology().clone();
    released.models.push(group);
    accept(&fleet, &at_half(released.bundle(BundleVersion(2), BundleVersion(1)).unwrap())).await;
    let (stop, seen) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Vec::new())));
    let caller = Caller::new(fleet.gateways(), TENANT);
    let openers: Vec<_> = (0..6)
        .map(|n| tokio::spawn(keep_opening(caller.clone(), n, stop.clone(), seen.clone())))
        .collect();
    let count = |version: &str, end: &str| {
        let seen = seen.lock().unwrap();
        seen.iter().filter(|(_, v, e)| v == version && e == end).count()
    };
    let wait_for = async |version: &str, end: &str, goal: usize| {
        let look = || async {
            let found = count(version, end);
            if found >= goal { Ok(()) } else { Err(format!("{found} of {goal}")) }
        };
        let what = format!("sessions at {version} end {end}");
        fleet.wait_until(&what, PATIENCE, look).await.unwrap();
    };
    wait_for("v2", "finished", 60).await;
    assert_eq!(read_current(&fleet, name("gateway:0")).await.record.version, BundleVersion(2));

    fleet.set_faults(model, &faults(rule(FaultKind::Fail))).await.unwrap();
    let began = Instant::now();
    let harm = wait_rolled_back(&fleet, 2).await;
    assert_eq!((harm.service.as_str(), harm.version.as_str()), ("advisor", "v2"));
    let rolled_back = began.elapsed();
    let before = count("v1", "finished");
    wait_for("v1", "finished", before + 60).await;
    stop.store(true, Ordering::SeqCst);
    for opener in openers {
        opener.await.unwrap();
    }
    let last_bad = {
        let seen = seen.lock().unwrap();
        seen.iter().filter(|(_, _, end)| end != "finished").map(|(at, ..)| *at).max()
    };
    let last_bad = last_bad.expect("it did harm").saturating_duration_since(began);
    println!(
        "model service: rolled back in force after {rolled_back:?}, last bad turn {last_bad:?}; {}",
        harm.reason
    );
    assert!(last_bad <= HARM_BOUND, "a turn ended badly {last_bad:?} after harm began");
    load.stop_and_read_back(&fleet).await;
}
