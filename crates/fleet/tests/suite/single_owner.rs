//! A session never has two owners, even if its owner returns after being unresponsive for twenty
//! seconds, or a core does.
//!
//! Detects an owner that continues by its own clock or cache after another engine has taken its
//! session over, a lease that is renewed after its expiry, and a core that acts on an outdated view
//! or leadership.

use std::time::Duration;

use crate::support::{
    WAIT_TIMEOUT, caller, check_text, data_topology, finish, open, owner, put_program, start,
};
use hooklug_fleet::caller::{SessionRef, SessionView, Transcript, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessName};

const PROGRAM: &str = "frost";
/// Time for which a process is unresponsive (requirement: 20 s).
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(20);

/// Way in which an engine becomes unresponsive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum FailureMode {
    Frozen,
    Isolated,
}

/// A long turn whose owner became unresponsive in the middle.
struct UnresponsiveOwner {
    session: SessionRef,
    turn: TurnRequest,
    old_transcript: Transcript,
    stream: hooklug_fleet::caller::EventStream,
    owner: ProcessName,
    epoch: u64,
}

async fn make_owner_unresponsive(
    fleet: &Fleet,
    caller: &Caller,
    session: &str,
    mode: FailureMode,
) -> UnresponsiveOwner {
    let session = open(caller, PROGRAM, session).await;
    let turn = TurnRequest::new("t1", None, "[tokens 2000]", 2_000);
    let mut stream = caller.start_turn(0, &session, &turn).await.unwrap();
    let mut old_transcript = Transcript::default();
    while old_transcript.events.len() < 6 {
        old_transcript.events.push(stream.next().await.unwrap().unwrap());
    }
    let view = caller.session(0, &session).await.unwrap();
    let owner = owner(fleet, caller, &session).await;
    match mode {
        FailureMode::Frozen => fleet.freeze(owner).unwrap(),
        FailureMode::Isolated => {
            for store in fleet.names(hooklug_fleet::ProcessKind::Store) {
                fleet.cut(owner, store, false).await.unwrap();
            }
        }
    }
    UnresponsiveOwner { session, turn, old_transcript, stream, owner, epoch: view.epoch }
}

/// Reads all events of a session with their positions.
async fn history(caller: &Caller, session: &SessionRef) -> serde_json::Value {
    let mut joined = caller.join(1, session, None).await.unwrap();
    let sync = joined.next().await.unwrap().unwrap();
    assert_eq!(sync.event, "sync");
    sync.data["events"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_loses_ownership_and_releases_no_events() {
    check_returned_engine_is_fenced(FailureMode::Frozen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_engine_loses_ownership_and_releases_no_events() {
    check_returned_engine_is_fenced(FailureMode::Isolated).await;
}

async fn check_returned_engine_is_fenced(mode: FailureMode) {
    let fleet = start(data_topology(2, 1)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100_000).await;
    let unresponsive = make_owner_unresponsive(&fleet, &caller, "s", mode).await;
    let started = tokio::time::Instant::now();
    // Another engine takes the session over and seals the turn after its committed events.
    let UnresponsiveOwner {
        session,
        turn,
        mut old_transcript,
        mut stream,
        owner: old_owner,
        epoch,
    } = unresponsive;
    let session = &session;
    let taken_over_transcript =
        caller.follow_turn(1, session, &turn, Transcript::default()).await.unwrap();
    taken_over_transcript.check("t1").unwrap();
    assert_eq!(taken_over_transcript.end(), "interrupted");
    println!("{mode:?}: session taken over after {:?}", started.elapsed());
    let next = TurnRequest::new("t2", Some("t1"), "[tokens 5]", 8);
    finish(&caller, session, &next).await;
    let view: SessionView = caller.session(0, session).await.unwrap();
    assert_ne!(view.owner, Some(old_owner.id()));
    assert!(view.epoch > epoch);
    let before = history(&caller, session).await;
    // The owner must be unresponsive for the full time, measured from the start of the fault.
    tokio::time::sleep_until(started + UNRESPONSIVE_TIME).await;
    match mode {
        FailureMode::Frozen => fleet.resume(old_owner).unwrap(),
        FailureMode::Isolated => fleet.heal().await.unwrap(),
    }
    // Everything that the old owner sent to its client must be committed.
    while let Ok(Some(event)) = stream.next().await {
        old_transcript.events.push(event);
    }
    for event in &old_transcript.events {
        assert!(
            taken_over_transcript.events.contains(event),
            "{mode:?}: released without being committed: {event:?}"
        );
    }
    fleet.wait_ready(old_owner, WAIT_TIMEOUT).await.unwrap();
    let after: SessionView = caller.session(0, session).await.unwrap();
    assert_eq!(after, view, "{mode:?}: the returned engine changed the session");
    assert_eq!(history(&caller, session).await, before);
    let last = TurnRequest::new("t3", Some("t2"), "[tokens 5]", 8);
    let last = finish(&caller, session, &last).await;
    check_text(&fleet, session, "t3", &last).await;
    assert_eq!(caller.session(1, session).await.unwrap().epoch, view.epoch);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unresponsive_core_changes_no_session_owner() {
    let mut topology = data_topology(2, 1);
    topology.cores = 3;
    let fleet = start(topology).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100_000).await;
    let session = open(&caller, PROGRAM, "s").await;
    let view = caller.session(0, &session).await.unwrap();
    // The leader is frozen; its successor is isolated when the former leader resumes.
    let first = fleet.core_leader().await.unwrap();
    fleet.freeze(first).unwrap();
    let started = tokio::time::Instant::now();
    let mut head = None;
    let mut number = 0;
    while started.elapsed() < UNRESPONSIVE_TIME {
        head = Some(run_turn(&caller, &session, head.take(), &mut number).await);
    }
    let leader = fleet.core_leader().await.unwrap();
    assert_ne!(leader, first, "a frozen core still leads");
    fleet.resume(first).unwrap();
    fleet.isolate(leader).await.unwrap();
    fleet.wait_ready(first, WAIT_TIMEOUT).await.unwrap();
    for _ in 0..3 {
        head = Some(run_turn(&caller, &session, head.take(), &mut number).await);
    }
    fleet.heal().await.unwrap();
    fleet.wait_all_ready(WAIT_TIMEOUT).await.unwrap();
    run_turn(&caller, &session, head.take(), &mut number).await;
    let after = caller.session(1, &session).await.unwrap();
    assert_eq!((after.owner, after.epoch), (view.owner, view.epoch));
    println!("{number} turns under one owner, epoch {}", after.epoch);
}

async fn run_turn(
    caller: &Caller,
    session: &SessionRef,
    after: Option<String>,
    number: &mut u32,
) -> String {
    *number += 1;
    let name = format!("t{number}");
    finish(caller, session, &TurnRequest::new(&name, after.as_deref(), "[tokens 20]", 32)).await;
    name
}
