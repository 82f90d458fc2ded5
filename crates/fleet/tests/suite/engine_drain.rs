//! A draining engine gets no new work later than three seconds after its drain is known. The
//! sessions of a stopped engine move between turns, and its process exits by itself with status 0.
//!
//! The times in the ledgers decide; all processes use the clock of the same machine. Detects a
//! gateway that places sessions or sends calls according to an outdated view, an engine that
//! accepts turns while it drains, and one that waits for its sessions until it is killed.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::support::{
    WAIT_TIMEOUT, alarm, caller, data_topology, finish, name, open, owner, put_program, start,
};
use hooklug_emulator::LedgerEntry;
use hooklug_fleet::caller::{SessionRef, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessKind, ProcessName};
use hooklug_types::{BundleVersion, UnixMillis};

const PROGRAM: &str = "frost";
/// Time after which a draining engine may get no new work (requirement: 3 s).
const DRAIN_BOUND: Duration = Duration::from_secs(3);
/// Time for which new work is offered after the start of a drain; longer than the bound, so that
/// late work is detected.
const OFFER_TIME: Duration = Duration::from_secs(6);

/// Time of the last request that reached an engine, including refused ones.
fn last_work(fleet: &Fleet, backend: ProcessName) -> Option<UnixMillis> {
    let lines = fleet.ledger(backend).unwrap().into_iter();
    let work = lines.filter(|line| {
        use LedgerEntry::{CallRan, GenerationBegan, Refused};
        matches!(line.entry, CallRan { .. } | GenerationBegan { .. } | Refused { .. })
    });
    work.map(|line| line.at).max()
}

fn assert_within_bound(fleet: &Fleet, backend: ProcessName, drain_started: UnixMillis) {
    let last = last_work(fleet, backend).expect("the engine had work before its drain");
    let millis = last.0.saturating_sub(drain_started.0);
    println!("{backend}: last new work {millis} ms after its drain was known");
    assert!(
        last <= drain_started.plus(DRAIN_BOUND),
        "{backend} got work {millis} ms after its drain was known"
    );
}

/// Opens sessions and runs a turn in each, alternating between the gateways, until `ended` is set.
async fn open_sessions(caller: Caller, stopped: Arc<AtomicBool>) -> Vec<SessionRef> {
    let mut new_sessions = Vec::new();
    while !stopped.load(Ordering::SeqCst) {
        let session = open(&caller, PROGRAM, &format!("new-{}", new_sessions.len())).await;
        let turn = TurnRequest::new("t1", None, "[tokens 2]", 4);
        caller.run_turn(new_sessions.len(), &session, &turn).await.unwrap().check("t1").unwrap();
        new_sessions.push(session);
    }
    new_sessions
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_session_engine_gets_no_work_and_its_sessions_move() {
    let fleet = start(data_topology(2, 1)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 1_000_000).await;
    let session = open(&caller, PROGRAM, "kept").await;
    finish(&caller, &session, &TurnRequest::new("t1", None, "[tokens 5]", 8)).await;
    let drained_engine = owner(&fleet, &caller, &session).await;
    // A turn that is running when the engine is stopped must finish: sessions move between turns
    // only.
    let long = TurnRequest::new("t2", Some("t1"), "[tokens 150]", 150);
    let mut stream = caller.start_turn(0, &session, &long).await.unwrap();
    let mut transcript = hooklug_fleet::caller::Transcript::default();
    transcript.events.extend(stream.next().await.unwrap());
    let stopped = Arc::new(AtomicBool::new(false));
    let opening = tokio::spawn(open_sessions(caller.clone(), stopped.clone()));
    let drain_started = UnixMillis::now();
    let stop = async {
        let started = tokio::time::Instant::now();
        let clean = fleet.stop(drained_engine).await.unwrap();
        tokio::time::sleep_until(started + OFFER_TIME).await;
        stopped.store(true, Ordering::SeqCst);
        clean
    };
    let follow = async {
        while let Ok(Some(event)) = stream.next().await {
            transcript.events.push(event);
            if transcript.terminal().is_some() {
                return transcript;
            }
        }
        caller.follow_turn(1, &session, &long, transcript).await.unwrap()
    };
    let (clean, transcript) = tokio::join!(stop, follow);
    transcript.check("t2").unwrap();
    assert_eq!((transcript.end(), transcript.tokens()), ("finished", 150));
    assert!(clean, "{drained_engine} did not exit by itself with status 0");
    let new_sessions = opening.await.unwrap();
    println!("{} sessions opened meanwhile", new_sessions.len());
    assert!(!new_sessions.is_empty());
    assert_within_bound(
        &fleet,
        ProcessName::new(ProcessKind::Model, drained_engine.index),
        drain_started,
    );
    finish(&caller, &session, &TurnRequest::new("t3", Some("t2"), "[tokens 5]", 8)).await;
    assert_ne!(owner(&fleet, &caller, &session).await, drained_engine);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_superseded_session_engine_retains_its_session_and_gets_no_new_one() {
    let fleet = start(data_topology(1, 1)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 1_000_000).await;
    let old_session = open(&caller, PROGRAM, "kept").await;
    finish(&caller, &old_session, &TurnRequest::new("t1", None, "[tokens 5]", 8)).await;
    let old_engine = owner(&fleet, &caller, &old_session).await;
    let mut next = fleet.topology().clone();
    let mut group = next.models[0].clone();
    group.version = "v2".parse().unwrap();
    next.models.push(group.clone());
    let new_engine = fleet.add_engine(&group).await.unwrap();
    let mut bundle = next.bundle(BundleVersion(2), BundleVersion(1)).unwrap();
    // One step of one second: the time for which the old engine stays available for a rollback.
    for service in bundle.services.values_mut() {
        (service.steps, service.step_seconds) = (vec![100], 1);
    }
    fleet.submit_bundle(&bundle).await.unwrap();
    let drain_started = UnixMillis::now();
    // An engine becomes ready once a bundle lists its version.
    fleet.wait_ready(new_engine, WAIT_TIMEOUT).await.unwrap();
    let stopped = Arc::new(AtomicBool::new(false));
    let opening = tokio::spawn(open_sessions(caller.clone(), stopped.clone()));
    tokio::time::sleep(OFFER_TIME).await;
    stopped.store(true, Ordering::SeqCst);
    let new_sessions = opening.await.unwrap();
    let last = owner(&fleet, &caller, new_sessions.last().unwrap()).await;
    assert_eq!(
        last,
        new_engine,
        "the last of {} sessions does not run the new version",
        new_sessions.len()
    );
    assert_within_bound(
        &fleet,
        ProcessName::new(ProcessKind::Model, old_engine.index),
        drain_started,
    );
    // The old engine keeps its existing session.
    finish(&caller, &old_session, &TurnRequest::new("t2", Some("t1"), "[tokens 5]", 8)).await;
    assert_eq!(owner(&fleet, &caller, &old_session).await, old_engine);
    // It exits once its last session is closed.
    for session in new_sessions.iter().chain([&old_session]) {
        caller.close_session(0, session).await.unwrap();
    }
    let started = tokio::time::Instant::now();
    while fleet.is_running(old_engine).unwrap() {
        assert!(started.elapsed() < WAIT_TIMEOUT, "{old_engine} still runs without sessions");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let status = fleet.status().into_iter().find(|status| status.name == old_engine);
    assert_eq!(status.unwrap().state, "exit code 0");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_draining_application_engine_gets_no_new_calls() {
    let fleet = start(data_topology(1, 2)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100).await;
    let drained_engine = name("app:0");
    for number in 0..20 {
        caller.call(number, PROGRAM, &format!("before-{number}"), &alarm(1)).await.unwrap();
    }
    fleet.drain(drained_engine).await.unwrap();
    let (drain_started, started) = (UnixMillis::now(), tokio::time::Instant::now());
    let mut answered = 0;
    while started.elapsed() < OFFER_TIME {
        let call = format!("call-{answered}");
        // A refused call is sent to the other engine, so callers see no failure.
        caller.call(answered, PROGRAM, &call, &alarm(2)).await.unwrap();
        answered += 1;
    }
    println!("{answered} calls answered while one of two engines drained");
    assert_within_bound(&fleet, drained_engine, drain_started);
}
