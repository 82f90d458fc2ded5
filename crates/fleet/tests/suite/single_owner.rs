//! A session never has two owners, even if its owner returns after being unresponsive for twenty
//! seconds, or a core does.
//!
//! Detects an owner that continues by its own clock or cache after another engine has taken its
//! session over, a lease that is renewed after its expiry, and a core that acts on an outdated view
//! or leadership.

use std::time::Duration;

use crate::support::{
    PATIENCE, caller, check_text, data_topology, finish, open, owner, put_program, start,
};
use hooklug_fleet::caller::{SessionRef, SessionView, Transcript, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessName};

const PROGRAM: &str = "frost";
/// Time for which a process is unresponsive (requirement: 20 s).
const SILENCE: Duration = Duration::from_secs(20);

/// Way in which an engine becomes unresponsive.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Silence {
    Frozen,
    CutOff,
}

/// A long turn whose owner became unresponsive in the middle.
struct Silenced {
    session: SessionRef,
    turn: TurnRequest,
    seen: Transcript,
    stream: hooklug_fleet::caller::EventStream,
    owner: ProcessName,
    epoch: u64,
}

async fn silence(fleet: &Fleet, caller: &Caller, session: &str, how: Silence) -> Silenced {
    let session = open(caller, PROGRAM, session).await;
    let turn = TurnRequest::new("t1", None, "[tokens 2000]", 2_000);
    let mut stream = caller.begin_turn(0, &session, &turn).await.unwrap();
    let mut seen = Transcript::default();
    while seen.events.len() < 6 {
        seen.events.push(stream.next().await.unwrap().unwrap());
    }
    let view = caller.session(0, &session).await.unwrap();
    let owner = owner(fleet, caller, &session).await;
    match how {
        Silence::Frozen => fleet.freeze(owner).unwrap(),
        Silence::CutOff => {
            for store in fleet.names(hooklug_fleet::ProcessKind::Store) {
                fleet.cut(owner, store, false).await.unwrap();
            }
        }
    }
    Silenced { session, turn, seen, stream, owner, epoch: view.epoch }
}

/// Reads all events of a session with their positions.
async fn history(caller: &Caller, session: &SessionRef) -> serde_json::Value {
    let mut joined = caller.join(1, session, None).await.unwrap();
    let sync = joined.next().await.unwrap().unwrap();
    assert_eq!(sync.event, "sync");
    sync.data["events"].clone()
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_frozen_for_twenty_seconds_owns_and_releases_nothing_more() {
    nothing_more_from_a_silent_engine(Silence::Frozen).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_cut_off_for_twenty_seconds_owns_and_releases_nothing_more() {
    nothing_more_from_a_silent_engine(Silence::CutOff).await;
}

async fn nothing_more_from_a_silent_engine(how: Silence) {
    let fleet = start(data_topology(2, 1)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100_000).await;
    let silenced = silence(&fleet, &caller, "s", how).await;
    let began = tokio::time::Instant::now();
    // Another engine takes the session over and seals the turn after its committed events.
    let Silenced { session, turn, mut seen, mut stream, owner: silent, epoch } = silenced;
    let session = &session;
    let taken = caller.follow_turn(1, session, &turn, Transcript::default()).await.unwrap();
    taken.check("t1").unwrap();
    assert_eq!(taken.end(), "interrupted");
    println!("{how:?}: session taken over after {:?}", began.elapsed());
    let next = TurnRequest::new("t2", Some("t1"), "[tokens 5]", 8);
    finish(&caller, session, &next).await;
    let view: SessionView = caller.session(0, session).await.unwrap();
    assert_ne!(view.owner, Some(silent.word()));
    assert!(view.epoch > epoch);
    let before = history(&caller, session).await;
    // The owner must be unresponsive for the full time, measured from the start of the fault.
    tokio::time::sleep_until(began + SILENCE).await;
    match how {
        Silence::Frozen => fleet.wake(silent).unwrap(),
        Silence::CutOff => fleet.heal().await.unwrap(),
    }
    // Everything that the old owner sent to its client must be committed.
    while let Ok(Some(event)) = stream.next().await {
        seen.events.push(event);
    }
    for event in &seen.events {
        assert!(
            taken.events.contains(event),
            "{how:?}: released without being committed: {event:?}"
        );
    }
    fleet.wait_ready(silent, PATIENCE).await.unwrap();
    let after: SessionView = caller.session(0, session).await.unwrap();
    assert_eq!(after, view, "{how:?}: the returned engine changed the session");
    assert_eq!(history(&caller, session).await, before);
    let last = TurnRequest::new("t3", Some("t2"), "[tokens 5]", 8);
    let last = finish(&caller, session, &last).await;
    check_text(&fleet, session, "t3", &last).await;
    assert_eq!(caller.session(1, session).await.unwrap().epoch, view.epoch);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_core_silent_for_twenty_seconds_changes_no_owner() {
    let mut wanted = data_topology(2, 1);
    wanted.cores = 3;
    let fleet = start(wanted).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100_000).await;
    let session = open(&caller, PROGRAM, "s").await;
    let view = caller.session(0, &session).await.unwrap();
    // The leader is frozen; its successor is isolated when the former leader resumes.
    let first = fleet.core_leader().await.unwrap();
    fleet.freeze(first).unwrap();
    let began = tokio::time::Instant::now();
    let mut head = None;
    let mut number = 0;
    while began.elapsed() < SILENCE {
        head = Some(turn(&caller, &session, head.take(), &mut number).await);
    }
    let leader = fleet.core_leader().await.unwrap();
    assert_ne!(leader, first, "a frozen core still leads");
    fleet.wake(first).unwrap();
    fleet.cut_off(leader).await.unwrap();
    fleet.wait_ready(first, PATIENCE).await.unwrap();
    for _ in 0..3 {
        head = Some(turn(&caller, &session, head.take(), &mut number).await);
    }
    fleet.heal().await.unwrap();
    fleet.wait_all_ready(PATIENCE).await.unwrap();
    turn(&caller, &session, head.take(), &mut number).await;
    let after = caller.session(1, &session).await.unwrap();
    assert_eq!((after.owner, after.epoch), (view.owner, view.epoch));
    println!("{number} turns under one owner, epoch {}", after.epoch);
}

async fn turn(
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
