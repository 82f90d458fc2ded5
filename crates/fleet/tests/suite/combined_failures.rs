//! Concurrent and successive failures: the second one occurs while the first is being handled.
//!
//! Detects an acknowledgement without a quorum while one store is frozen and another one is down, a
//! session without an owner when the engine that takes it over fails, too, and bundles submitted
//! concurrently that are both accepted, or a resubmission that is rejected, when the core leader
//! and the responding gateway fail meanwhile.

use std::time::Instant;

use hooklug_fleet::caller::{SessionRef, Transcript, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessName};
use hooklug_types::BundleVersion;

use crate::support::bundles::{Race, submit_version};
use crate::support::load::Load;
use crate::support::{
    RECOVERY_BOUND, WAIT_TIMEOUT, caller, check_text, control_topology, data_topology, finish,
    generations, name, open, owner, put_program, read_current, restart_all, running_nodes, start,
};

/// Asserts that all sessions make progress within the bound after machines returned.
async fn assert_recovered(fleet: &Fleet, load: &Load, what: &str) {
    let returned = Instant::now();
    load.wait_rounds(fleet, 1).await;
    let took = returned.elapsed();
    println!("{what}: all sessions made progress {took:?} after the machine returned");
    assert!(took <= RECOVERY_BOUND, "{what}: service was back only after {took:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn load_resumes_after_one_store_is_frozen_and_another_killed() {
    let fleet = start(control_topology(3)).await;
    let load = Load::start(&fleet, 6).await;
    let (first, second, third) = (name("store:0"), name("store:1"), name("store:2"));
    fleet.freeze(first).unwrap();
    fleet.kill(second).unwrap();
    // One store of three is not a quorum, so nothing may be acknowledged.
    let alone = fleet.marked_bundle(2, 10).unwrap();
    let response = fleet.submit_bundle_at(name("gateway:0"), &alone).await;
    assert!(response.is_err(), "acknowledged by one store of three: {response:?}");
    fleet.resume(first).unwrap();
    assert_recovered(&fleet, &load, "resumed").await;
    submit_version(&fleet, name("gateway:0"), 2).await;
    // Again with other stores: the one that was down must form a quorum with the one that was
    // frozen.
    fleet.freeze(third).unwrap();
    fleet.restart(second).await.unwrap();
    assert_recovered(&fleet, &load, "restarted").await;
    submit_version(&fleet, name("gateway:1"), 3).await;
    fleet.kill(first).unwrap();
    fleet.resume(third).unwrap();
    assert_recovered(&fleet, &load, "resumed while another store is down").await;
    submit_version(&fleet, name("gateway:1"), 4).await;
    fleet.restart(first).await.unwrap();
    load.wait_rounds(&fleet, 2).await;
    let current = read_current(&fleet, name("gateway:0")).await.record.version;
    assert_eq!(current, BundleVersion(4));
    println!("turns ended {:?}", load.turn_ends());
    load.stop_and_read_back(&fleet).await;
}

/// Starts a long turn and returns it with the events that its client has received.
async fn start_long_turn(caller: &Caller, session: &SessionRef) -> (TurnRequest, Transcript) {
    let turn = TurnRequest::new("t2", Some("t1"), "[tokens 800]", 800);
    let mut stream = caller.start_turn(0, session, &turn).await.unwrap();
    let mut transcript = Transcript::default();
    while transcript.events.len() < 6 {
        transcript.events.push(stream.next().await.unwrap().unwrap());
    }
    (turn, transcript)
}

/// Waits until another engine owns a session and returns it.
async fn wait_for_next_owner(
    fleet: &Fleet,
    session: &SessionRef,
    before: ProcessName,
) -> ProcessName {
    let caller = caller(fleet);
    let check = || async {
        let view = caller.session(1, session).await.map_err(|e| e.to_string())?;
        let moved = view.owner.as_ref().is_some_and(|owner| *owner != before.id());
        if moved { Ok(()) } else { Err(format!("{view:?}")) }
    };
    fleet.wait_until("another engine owns the session", WAIT_TIMEOUT, check).await.unwrap();
    owner(fleet, &caller, session).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_session_survives_the_failure_of_owner_and_successor() {
    let fleet = start(data_topology(3, 1)).await;
    let caller = caller(&fleet);
    put_program(&caller, "frost", 100_000).await;
    for at_once in [false, true] {
        let session = open(&caller, "frost", &format!("s-{at_once}")).await;
        finish(&caller, &session, &TurnRequest::new("t1", None, "[tokens 5]", 8)).await;
        let (turn, transcript) = start_long_turn(&caller, &session).await;
        let first = owner(&fleet, &caller, &session).await;
        fleet.kill(first).unwrap();
        let following = {
            let (caller, session, turn) = (caller.clone(), session.clone(), turn.clone());
            tokio::spawn(async move { caller.follow_turn(1, &session, &turn, transcript).await })
        };
        let second = if at_once {
            let mut others = fleet.names(first.kind).into_iter();
            others.find(|engine| *engine != first).unwrap()
        } else {
            wait_for_next_owner(&fleet, &session, first).await
        };
        fleet.kill(second).unwrap();
        let transcript = following.await.unwrap().unwrap();
        transcript.check("t2").unwrap();
        assert_eq!(transcript.end(), "interrupted");
        check_text(&fleet, &session, "t2", &transcript).await;
        assert_eq!(generations(&fleet, &session, "t2"), 1, "the turn was generated again");
        let next = TurnRequest::new("t3", Some("t2"), "[tokens 5]", 8);
        let next = finish(&caller, &session, &next).await;
        assert_eq!(next.events[0].id, transcript.last_id().unwrap() + 1);
        let third = owner(&fleet, &caller, &session).await;
        assert!(
            third != first && third != second,
            "the session is owned by {third}, which was killed"
        );
        restart_all(&fleet, &[first, second]).await.unwrap();
        fleet.wait_all_ready(WAIT_TIMEOUT).await.unwrap();
        let again = caller.follow_turn(0, &session, &turn, Transcript::default()).await.unwrap();
        assert_eq!(again.events, transcript.events, "the turn differs when it is read again");
        println!(
            "{first}, then {second} killed; {third} owns the session, {} events",
            transcript.events.len()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bundle_races_resolve_with_a_partitioned_core_leader_and_a_killed_gateway() {
    let fleet = start(control_topology(3)).await;
    for version in 2..=4 {
        let leader = fleet.core_leader().await.unwrap();
        let (race, cut) = tokio::join!(Race::run(&fleet, version), fleet.isolate(leader));
        cut.unwrap();
        // The gateway that responded is killed, and another core leads when the bundles are
        // submitted again.
        fleet.kill(name("gateway:0")).unwrap();
        let check = || async {
            let now = fleet.core_leader().await.map_err(|e| e.to_string())?;
            if now == leader { Err(format!("{now} still leads")) } else { Ok(()) }
        };
        fleet.wait_until("another core leads", WAIT_TIMEOUT, check).await.unwrap();
        race.check_response_at(&fleet, name("gateway:1")).await;
        fleet.heal().await.unwrap();
        fleet.restart(name("gateway:0")).await.unwrap();
        fleet.wait_all_ready(WAIT_TIMEOUT).await.unwrap();
        for node in running_nodes(&fleet) {
            race.check_response_at(&fleet, node).await;
        }
        let current = read_current(&fleet, name("gateway:0")).await.record;
        assert_eq!((current.version, current.rollback), (BundleVersion(version), None));
    }
}
