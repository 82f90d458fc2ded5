//! A stream neither loses nor repeats events and contains none of another turn, whatever fails in
//! the middle of its turn.
//!
//! Two clients follow each turn: one resumes its interrupted stream, the other has joined the
//! session. Both must receive the same events without gaps, and the text must be that of a model
//! server. Detects events that are released before their commit and so are lost with their engine,
//! a new owner that continues with the text of another generation, and a gateway that resumes at
//! the wrong position.

use crate::support::{
    WAIT_TIMEOUT, caller, check_text, data_topology, finish, name, open, owner, put_program,
    shard_leader, start,
};
use hooklug_fleet::caller::{SessionRef, StreamEvent, Transcript, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessName};

/// Number of events read before the failure.
const EVENTS_BEFORE_FAILURE: usize = 6;
/// Maximum number of tokens of a turn; it takes more than a second.
const TURN_TOKENS: u64 = 120;

/// Failure of a process in the middle of a turn.
#[derive(Debug, Clone, Copy)]
enum Failure {
    Kill(ProcessName),
    Freeze(ProcessName),
}

/// Runs a turn with two clients while a process fails, then another turn. Returns the events of the
/// first turn and whether it finished completely.
async fn run_disturbed_turn(
    fleet: &Fleet,
    session: &SessionRef,
    failure: Failure,
) -> (Transcript, bool) {
    let caller = caller(fleet);
    let before = finish(&caller, session, &TurnRequest::new("t1", None, "[tokens 5]", 8)).await;
    let input = format!("[tokens {TURN_TOKENS}]");
    let turn = TurnRequest::new("t2", Some("t1"), &input, TURN_TOKENS);
    let joined = tokio::spawn(follow_joined(caller.clone(), session.clone(), before.last_id()));
    let mut stream = caller.start_turn(0, session, &turn).await.unwrap();
    let mut transcript = Transcript::default();
    while transcript.events.len() < EVENTS_BEFORE_FAILURE {
        transcript.events.push(stream.next().await.unwrap().unwrap());
    }
    let failed = match failure {
        Failure::Kill(name) => fleet.kill(name).map(|()| name).unwrap(),
        Failure::Freeze(name) => fleet.freeze(name).map(|()| name).unwrap(),
    };
    // Events that were in flight at the time of the failure count as received.
    while let Ok(Some(event)) = stream.next().await {
        let ended = event.ends_turn();
        transcript.events.push(event);
        if ended {
            break;
        }
    }
    let transcript = match transcript.terminal() {
        Some(_) => transcript,
        None => caller.follow_turn(1, session, &turn, transcript).await.unwrap(),
    };
    println!(
        "{failure:?}: {} after {} events, {} interruptions",
        transcript.end(),
        transcript.events.len(),
        transcript.cuts
    );
    transcript.check("t2").unwrap();
    check_text(fleet, session, "t2", &transcript).await;
    assert_eq!(joined.await.unwrap(), transcript.events, "the joined client received other events");
    let again = caller.follow_turn(1, session, &turn, Transcript::default()).await.unwrap();
    assert_eq!(again.events, transcript.events, "the turn differs when it is read again");
    let next = finish(&caller, session, &TurnRequest::new("t3", Some("t2"), "[tokens 5]", 8)).await;
    assert_eq!(next.events[0].id, transcript.last_id().unwrap() + 1);
    if matches!(failure, Failure::Freeze(_)) {
        fleet.resume(failed).unwrap();
    } else {
        fleet.restart(failed).await.unwrap();
    }
    fleet.wait_ready(failed, WAIT_TIMEOUT).await.unwrap();
    let complete = transcript.end() == "finished" && transcript.tokens() == TURN_TOKENS;
    (transcript, complete)
}

/// Joins a session, again after interruptions, until the end of a turn; returns the events after
/// `last`.
async fn follow_joined(caller: Caller, session: SessionRef, last: Option<u64>) -> Vec<StreamEvent> {
    let mut events: Vec<StreamEvent> = Vec::new();
    let started = tokio::time::Instant::now();
    for gateway in 1.. {
        assert!(
            started.elapsed() < WAIT_TIMEOUT,
            "the joined stream did not reach the end of the turn: {events:?}"
        );
        let after = events.last().map_or(last, |event| Some(event.id));
        let Ok(mut stream) = caller.join(gateway, &session, after).await else {
            tokio::time::sleep(std::time::Duration::from_millis(100)).await;
            continue;
        };
        while let Ok(Some(event)) = stream.next().await {
            let ended = event.ends_turn();
            events.push(event);
            if ended {
                return events;
            }
        }
    }
    unreachable!("the loop ends with a result or a failed assertion")
}

/// Opens a session in a new program, and so usually in another shard.
async fn open_session(fleet: &Fleet, program: &str) -> SessionRef {
    let caller = caller(fleet);
    put_program(&caller, program, 100_000).await;
    open(&caller, program, "s").await
}

#[tokio::test(flavor = "multi_thread")]
async fn an_owner_failure_during_a_turn_leaves_no_stream_gap() {
    let fleet = start(data_topology(3, 1)).await;
    for frozen in [false, true] {
        let session = open_session(&fleet, &format!("owner-{frozen}")).await;
        let owner = owner(&fleet, &caller(&fleet), &session).await;
        let failure = if frozen { Failure::Freeze(owner) } else { Failure::Kill(owner) };
        let (transcript, complete) = run_disturbed_turn(&fleet, &session, failure).await;
        assert!(complete || transcript.end() == "interrupted", "{}", transcript.end());
        // The turn is sealed after its committed events and not generated again elsewhere.
        let generations = crate::support::generations(&fleet, &session, "t2");
        assert_eq!(generations, 1, "the turn was generated {generations} times");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_or_shard_leader_failure_leaves_no_stream_gap() {
    let fleet = start(data_topology(2, 1)).await;
    let session_of_gateway = open_session(&fleet, "gateway").await;
    let (transcript, complete) =
        run_disturbed_turn(&fleet, &session_of_gateway, Failure::Kill(name("gateway:0"))).await;
    assert!(complete, "the failure of a gateway interrupted the turn: {}", transcript.end());
    for frozen in [false, true] {
        let session = open_session(&fleet, &format!("store-{frozen}")).await;
        let leader = shard_leader(&fleet, &session.program).await;
        let failure = if frozen { Failure::Freeze(leader) } else { Failure::Kill(leader) };
        let (transcript, complete) = run_disturbed_turn(&fleet, &session, failure).await;
        assert!(complete || transcript.end() == "interrupted", "{}", transcript.end());
    }
}
