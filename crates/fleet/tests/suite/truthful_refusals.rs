//! "Not run" and "budget spent" are reported only for work that did not run and never will. The
//! ledgers of application engines and model servers, read at the end, decide.
//!
//! Detects a "not run" that is based on anything but a committed seal (a dispatch can race with
//! it), a seal or refusal that is lost in a restart, and a turn that is refused at one engine and
//! run at another.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::support::{
    WAIT_TIMEOUT, alarm, caller, data_topology, open, owner, put_program, runs, shard_leader, start,
};
use hooklug_emulator::LedgerEntry;
use hooklug_fleet::caller::{CallAnswer, CallRequest, CallView, CallerError, TurnRequest};
use hooklug_fleet::{Caller, Fleet, ProcessKind};

const PROGRAM: &str = "frost";
/// Number of calls that race with their seal.
const RACES: u64 = 40;

/// Sends a call and its seal concurrently through two gateways, one of them with a head start that
/// grows with each race.
async fn race_seal(
    caller: &Caller,
    call: &str,
    request: &CallRequest,
    race: u64,
) -> (Result<CallAnswer, CallerError>, Result<CallView, CallerError>) {
    let head_start = Duration::from_micros(race * 500);
    let (seal_head_start, call_head_start) = if race.is_multiple_of(4) {
        (head_start, Duration::ZERO)
    } else {
        (Duration::ZERO, head_start)
    };
    let dispatch = async {
        tokio::time::sleep(seal_head_start).await;
        caller.call(0, PROGRAM, call, request).await
    };
    let seal_result = async {
        tokio::time::sleep(call_head_start).await;
        caller.seal_call(1, PROGRAM, call, request).await
    };
    tokio::join!(dispatch, seal_result)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_reported_not_run_never_runs() {
    let fleet = start(data_topology(1, 2)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100).await;
    let mut sealed = BTreeSet::new();
    for race in 0..RACES {
        let (call, request) = (format!("call-{race}"), alarm(race));
        let (call_result, seal_result) = match race {
            // The first two races are sequential, so that each outcome occurs.
            0 => {
                let seal_result = caller.seal_call(1, PROGRAM, &call, &request).await;
                (caller.call(0, PROGRAM, &call, &request).await, seal_result)
            }
            1 => {
                let call_result = caller.call(0, PROGRAM, &call, &request).await;
                (call_result, caller.seal_call(1, PROGRAM, &call, &request).await)
            }
            _ => race_seal(&caller, &call, &request, race).await,
        };
        let state = seal_result.unwrap().state;
        let code = call_result.as_ref().err().and_then(CallerError::code);
        assert_eq!(
            state == "not_run",
            code == Some("call_sealed"),
            "{call}: {state}, {call_result:?}"
        );
        if state == "not_run" {
            sealed.insert(call);
        }
    }
    println!("{} of {RACES} calls were sealed before they started", sealed.len());
    // A seal must survive a restart of the leader and of a gateway.
    let leader = shard_leader(&fleet, PROGRAM).await;
    fleet.restart(leader).await.unwrap();
    fleet.restart("gateway:0".parse().unwrap()).await.unwrap();
    fleet.wait_all_ready(WAIT_TIMEOUT).await.unwrap();
    for call in &sealed {
        let request = alarm(call.trim_start_matches("call-").parse().unwrap());
        for gateway in 0..2 {
            let result = caller.call(gateway, PROGRAM, call, &request).await;
            let code = result.as_ref().err().and_then(CallerError::code);
            assert_eq!(code, Some("call_sealed"), "{call}: {result:?}");
        }
        assert_eq!(caller.call_state(1, PROGRAM, call).await.unwrap().state, "not_run");
    }
    for race in 0..RACES {
        let call = format!("call-{race}");
        let expected = usize::from(!sealed.contains(&call));
        assert_eq!(runs(&fleet, &format!("{PROGRAM}/{call}")), expected, "{call}");
    }
}

/// Turns of a session for which a model server started a generation.
fn started_turns(fleet: &Fleet, session: &str) -> BTreeSet<String> {
    let lines = fleet.ledgers(ProcessKind::Model).unwrap().into_iter();
    let turns = lines.filter_map(|line| match line.entry {
        LedgerEntry::GenerationBegan { session: of, turn, .. } if of == session => Some(turn),
        _ => None,
    });
    turns.collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_turn_refused_for_its_budget_never_runs() {
    let fleet = start(data_topology(2, 1)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 60).await;
    // Sessions on both engines compete for the last tokens of the budget.
    let mut refused = Vec::new();
    let mut racing = tokio::task::JoinSet::new();
    for number in 0..4 {
        let session = open(&caller, PROGRAM, &format!("s{number}")).await;
        let caller = caller.clone();
        racing.spawn(async move {
            let mut head: Option<String> = None;
            for turn in 0.. {
                let name = format!("t{turn}");
                let request = TurnRequest::new(&name, head.as_deref(), "[tokens 10]", 10);
                match caller.run_turn(number, &session, &request).await {
                    Ok(transcript) => transcript.check(&name).unwrap(),
                    Err(error) if error.code() == Some("budget_spent") => {
                        return (session, request);
                    }
                    Err(error) => panic!("{session:?} {name}: {error}"),
                }
                head = Some(name);
            }
            unreachable!("the loop ends when the budget is spent")
        });
    }
    while let Some(ended) = racing.join_next().await {
        refused.push(ended.unwrap());
    }
    // One owner is killed, so that the next owner of its sessions must know the refusal.
    let killed = owner(&fleet, &caller, &refused[0].0).await;
    fleet.kill(killed).unwrap();
    for (session, request) in &refused {
        for gateway in 0..2 {
            let result = caller.run_turn(gateway, session, request).await;
            let code = result.as_ref().err().and_then(CallerError::code);
            assert_eq!(code, Some("budget_spent"), "{session:?} {request:?}: {result:?}");
        }
        let view = caller.turn(0, session, &request.turn).await.unwrap();
        assert_eq!((view.state.as_str(), view.tokens), ("refused", 0));
    }
    for (session, request) in &refused {
        let key = format!("{PROGRAM}/{}", session.session);
        let call_result = started_turns(&fleet, &key);
        assert!(
            !call_result.contains(&request.turn),
            "{key} {} ran: {call_result:?}",
            request.turn
        );
    }
    let program = caller.program(0, PROGRAM).await.unwrap();
    assert_eq!((program.spent, program.reserved), (60, 0));
}
