//! A non-repeatable call runs at most once, even if its response is lost or its gateway, its engine
//! or the leader of its shard fails. The ledgers of the application engines decide.
//!
//! Detects a gateway that dispatches again after a lost or damaged response, a second gateway that
//! ignores the claim of the first one, and a claim that is lost with the leader of its shard.

use std::sync::Mutex;
use std::time::Duration;

use crate::support::{
    TestFleet, WAIT_TIMEOUT, alarm, caller, data_topology, name, put_program, runs, set_fault,
    shard_leader, slow, start,
};
use hooklug_emulator::{FaultKind, FaultRule, Faults};
use hooklug_fleet::caller::{CallAnswer, CallerError};
use hooklug_fleet::http::HttpRequest;
use hooklug_fleet::{Caller, Fleet, ProcessKind};
use http::Method;
use serde_json::Value;

const PROGRAM: &str = "frost";

async fn start_calls() -> (TestFleet, Caller) {
    let fleet = start(data_topology(1, 2)).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100).await;
    (fleet, caller)
}

fn assert_ran_once(fleet: &Fleet, call: &str) {
    assert_eq!(runs(fleet, &format!("{PROGRAM}/{call}")), 1, "{call}");
}

async fn wait_for_run(fleet: &Fleet, call: &str) {
    crate::support::wait_for_run(fleet, &format!("{PROGRAM}/{call}")).await;
}

async fn set_faults(fleet: &Fleet, rules: Vec<FaultRule>, no_lookup: bool) {
    for app in fleet.names(ProcessKind::App) {
        let faults = Faults { rules: rules.clone(), no_lookup, ..Faults::default() };
        fleet.set_faults(app, &faults).await.unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_despite_response_faults() {
    let (fleet, caller) = start_calls().await;
    use FaultKind::{Cross, CutShort, Garble, LoseAnswer, Stall};
    let kinds = [LoseAnswer, CutShort, Cross, Garble, Stall];
    // With a lookup the result of the backend may settle a call; without one its outcome stays
    // unknown.
    let cases = kinds.into_iter().flat_map(|kind| [(kind, false), (kind, true)]);
    for (kind, no_lookup) in cases {
        // A preceding request, whose response can be sent instead by the `Cross` fault.
        let before = format!("before-{kind:?}-{no_lookup}");
        caller.call(0, PROGRAM, &before, &alarm(1)).await.unwrap();
        set_faults(&fleet, vec![FaultRule::always(kind)], no_lookup).await;
        let call = format!("call-{kind:?}-{no_lookup}");
        let mut request = alarm(2);
        request.deadline_ms = 1_500;
        // The response is checked by other tests; here only the number of runs matters.
        let first = caller.call(0, PROGRAM, &call, &request).await;
        wait_for_run(&fleet, &call).await;
        set_faults(&fleet, Vec::new(), no_lookup).await;
        for gateway in 0..4 {
            let again = caller.call(gateway, PROGRAM, &call, &request).await;
            println!("{call} at gateway {gateway}: {first:?}, then {again:?}");
        }
        assert_ran_once(&fleet, &call);
        assert_ran_once(&fleet, &before);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_once_despite_failures_during_its_run() {
    let (fleet, caller) = start_calls().await;
    set_fault(&fleet, ProcessKind::App, Some(slow(1_500))).await;

    // The leader of its shard is frozen while the call runs, and resumes after the call was sent
    // again.
    let leader = shard_leader(&fleet, PROGRAM).await;
    let background_call = send_in_background(&caller, "leader-frozen");
    wait_for_run(&fleet, "leader-frozen").await;
    fleet.freeze(leader).unwrap();
    resend(&caller, "leader-frozen").await;
    fleet.resume(leader).unwrap();
    background_call.await.unwrap();
    resend(&caller, "leader-frozen").await;

    // The gateway that dispatched the call is killed, and the caller sends it to the other one.
    let background_call = send_in_background(&caller, "gateway-killed");
    wait_for_run(&fleet, "gateway-killed").await;
    fleet.kill(name("gateway:0")).unwrap();
    resend(&caller, "gateway-killed").await;
    background_call.await.unwrap();
    fleet.restart(name("gateway:0")).await.unwrap();
    fleet.wait_ready(name("gateway:0"), WAIT_TIMEOUT).await.unwrap();
    resend(&caller, "gateway-killed").await;

    // The engine that runs the call is killed; another engine is available.
    let background_call = send_in_background(&caller, "engine-killed");
    wait_for_run(&fleet, "engine-killed").await;
    let key = format!("{PROGRAM}/engine-killed");
    let mut apps = fleet.names(ProcessKind::App).into_iter();
    let runner = apps.find(|app| crate::support::runs_at(&fleet, *app, &key) > 0).unwrap();
    fleet.kill(runner).unwrap();
    resend(&caller, "engine-killed").await;
    background_call.await.unwrap();
    fleet.restart(runner).await.unwrap();
    resend(&caller, "engine-killed").await;

    for call in ["leader-frozen", "gateway-killed", "engine-killed"] {
        assert_ran_once(&fleet, call);
    }
}

/// Sends a call to the first gateway in the background.
fn send_in_background(caller: &Caller, call: &str) -> tokio::task::JoinHandle<()> {
    let (caller, call) = (caller.clone(), call.to_owned());
    tokio::spawn(async move {
        let result = caller.call(0, PROGRAM, &call, &alarm(3)).await;
        println!("{call}: {result:?}");
    })
}

/// Sends a call to both gateways concurrently, as a caller does that lost the response.
async fn resend(caller: &Caller, call: &str) {
    let request = alarm(3);
    let (first, second) = tokio::join!(
        caller.call(1, PROGRAM, call, &request),
        caller.call(0, PROGRAM, call, &request)
    );
    println!("{call} again: {first:?}, {second:?}");
}

/// Sends a call until its outcome is known and returns the result. A missed deadline counts as
/// unknown: the claim of the killed gateway has not been given up yet.
async fn wait_settled(
    fleet: &Fleet,
    caller: &Caller,
    call: &str,
) -> Result<CallAnswer, CallerError> {
    let result = Mutex::new(None);
    let check = || async {
        let response = caller.call(1, PROGRAM, call, &alarm(3)).await;
        let claims_nothing =
            |e: &CallerError| e.is_retryable() || e.code() == Some("deadline_exceeded");
        match response {
            Err(error) if claims_nothing(&error) => Err(error.to_string()),
            settled => {
                *result.lock().unwrap() = Some(settled);
                Ok(())
            }
        }
    };
    fleet.wait_until("a call is settled", WAIT_TIMEOUT, check).await.unwrap();
    result.into_inner().unwrap().unwrap()
}

/// Times after which the gateway of a call is killed: before the claim, while the call runs (20
/// ms), between the record and the response, and after the response.
const KILLED_AFTER_MS: [u64; 7] = [0, 4, 8, 16, 24, 28, 40];

#[tokio::test(flavor = "multi_thread")]
async fn a_call_runs_at_most_once_if_its_gateway_is_killed() {
    let (fleet, caller) = start_calls().await;
    for millis in KILLED_AFTER_MS {
        let call = format!("killed-{millis}");
        let request = HttpRequest::json(
            Method::PUT,
            format!("/v1/programs/{PROGRAM}/calls/{call}"),
            &alarm(3),
        );
        let kill_gateway = async {
            tokio::time::sleep(Duration::from_millis(millis)).await;
            fleet.kill(name("gateway:0")).unwrap();
        };
        let (first, ()) = tokio::join!(caller.send_once(0, &request), kill_gateway);
        let again = wait_settled(&fleet, &caller, &call).await;
        println!("{call}: first {}, then {again:?}", first.is_ok());
        match &again {
            Ok(response) => {
                let first: Option<Value> = first.ok().map(|first| first.json().unwrap());
                assert!(
                    first.is_none_or(|first| first == response.body),
                    "{call}: two different responses"
                );
                assert_ran_once(&fleet, &call);
            }
            // The killed gateway claimed the call, and no engine knows it.
            Err(error) => {
                assert!(first.is_err(), "{call}: answered, then {error}");
                assert_eq!(error.code(), Some("call_unknown"), "{call}: {error}");
            }
        }
        fleet.restart(name("gateway:0")).await.unwrap();
        fleet.wait_ready(name("gateway:0"), WAIT_TIMEOUT).await.unwrap();
        resend(&caller, &call).await;
        let run_count = runs(&fleet, &format!("{PROGRAM}/{call}"));
        assert!(run_count <= 1, "{call} ran {run_count} times");
    }
}
