//! Callers only get complete responses of the engine that they called, to their own request.
//!
//! Detects a gateway or engine that accepts a truncated response, the response to another request,
//! one that can't be decoded, or one of another service at a reused address.

use crate::support::{WAIT_TIMEOUT, caller, check_text, open, put_program, set_fault, start};
use hooklug_emulator::{FaultKind, FaultRule, Faults, LedgerEntry, Restart};
use hooklug_fleet::caller::{CallAnswer, CallRequest, CallerError, TurnRequest};
use hooklug_fleet::{Caller, ProcessKind, Topology};
use serde_json::json;

const PROGRAM: &str = "frost";
/// Service that takes over the address of a backend.
const OTHER_SERVICE: &str = "stranger";

fn topology() -> Topology {
    let mut topology = crate::support::data_topology(2, 2);
    topology.applications = Topology::small().applications;
    topology
}

/// Asserts that a response belongs to the request: the fake engines return the request in each
/// response.
fn assert_genuine(response: &CallAnswer, call: &str, house: u64) {
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.body["call"], format!("{PROGRAM}/{call}"));
    assert_eq!(response.body["arguments"], json!({"house": house}));
    assert!(response.body["engine"].as_str().unwrap().starts_with("app-"), "{response:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn damaged_application_responses_are_never_returned() {
    let fleet = start(topology()).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 100).await;
    use FaultKind::{Cross, CutShort, Garble, LoseAnswer};
    let mut house = 0;
    for kind in [LoseAnswer, CutShort, Cross, Garble] {
        for share in [0.5, 1.0] {
            let rules = vec![FaultRule { share, ..FaultRule::always(kind) }];
            for app in fleet.names(ProcessKind::App) {
                let faults = Faults { rules: rules.clone(), no_lookup: true, ..Faults::default() };
                fleet.set_faults(app, &faults).await.unwrap();
            }
            let mut genuine = 0;
            for tool in ["read_sensor", "send_alarm"] {
                for _ in 0..6 {
                    house += 1;
                    genuine += usize::from(call_tool(&caller, tool, house).await);
                }
            }
            println!("{kind:?} with share {share}: {genuine} of 12 answered");
            assert!(share < 1.0 || genuine == 0, "a damaged response was returned to the caller");
        }
        set_fault(&fleet, ProcessKind::App, None).await;
    }
}

/// Makes a call and checks the response. Returns whether it was answered.
async fn call_tool(caller: &Caller, tool: &str, house: u64) -> bool {
    let call = format!("{tool}-{house}");
    let mut request = CallRequest::new(tool, json!({"house": house}));
    request.deadline_ms = 1_000;
    let http_request = hooklug_fleet::http::HttpRequest::json(
        http::Method::PUT,
        format!("/v1/programs/{PROGRAM}/calls/{call}"),
        &request,
    );
    match caller.send_once(0, &http_request).await {
        Ok(response) => {
            let body = serde_json::from_slice(&response.body).unwrap();
            let response = CallAnswer { status: response.status.as_u16(), body };
            assert_genuine(&response, &call, house);
            true
        }
        Err(CallerError::Problem(_)) => false,
        Err(error) => panic!("{call}: {error}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_service_at_a_reused_address_gets_no_requests() {
    let fleet = start(topology()).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 1_000).await;
    for house in 0..10 {
        // Opens connections to all engines before their addresses are reused.
        assert!(
            call_tool(&caller, "read_sensor", house).await
                && call_tool(&caller, "send_alarm", house).await
        );
    }
    let restart = Restart {
        service: Some(OTHER_SERVICE.parse().unwrap()),
        engine: Some("stranger-1".parse().unwrap()),
        version: None,
        down_ms: 0,
    };
    // One engine of each service and one of the two model servers are replaced.
    for backend in ["app:0", "app:2", "model:0"] {
        fleet.restart_fake_backend(backend.parse().unwrap(), &restart).await.unwrap();
    }
    let mut answered = 0;
    for house in 10..40 {
        answered += usize::from(call_tool(&caller, "read_sensor", house).await);
        answered += usize::from(call_tool(&caller, "send_alarm", house).await);
    }
    println!("{answered} of 60 calls answered by the remaining engines");
    assert!(answered > 0);
    for number in 0..4 {
        let session = open(&caller, PROGRAM, &format!("s{number}")).await;
        let turn = TurnRequest::new("t1", None, "[tokens 5]", 8);
        let transcript = caller.run_turn(0, &session, &turn).await.unwrap();
        transcript.check("t1").unwrap();
        if transcript.tokens() > 0 {
            check_text(&fleet, &session, "t1", &transcript).await;
        }
    }
    for kind in [ProcessKind::App, ProcessKind::Model] {
        for line in fleet.ledgers(kind).unwrap() {
            let is_other_service = line.identity.starts_with(OTHER_SERVICE);
            // Requests on existing connections may reach it; it must refuse requests for another
            // identity.
            let did_no_work =
                matches!(line.entry, LedgerEntry::Started | LedgerEntry::Refused { .. });
            assert!(!is_other_service || did_no_work, "{line:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_turn_with_a_damaged_model_stream_never_ends_finished() {
    let fleet = start(topology()).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 10_000).await;
    use FaultKind::{Cross, CutShort, Garble, LoseAnswer};
    for kind in [LoseAnswer, CutShort, Cross, Garble] {
        let session = open(&caller, PROGRAM, &format!("s-{kind:?}").to_lowercase()).await;
        let complete = TurnRequest::new("whole", None, "[tokens 12]", 16);
        let before = crate::support::finish(&caller, &session, &complete).await;
        set_fault(&fleet, ProcessKind::Model, Some(FaultRule::always(kind))).await;
        let damaged = TurnRequest::new("damaged", Some("whole"), "[tokens 12]", 16);
        let transcript = caller.run_turn(0, &session, &damaged).await.unwrap();
        transcript.check("damaged").unwrap();
        println!("{kind:?}: {} after {} tokens", transcript.end(), transcript.tokens());
        assert!(matches!(transcript.end(), "failed" | "interrupted"), "{kind:?}: {transcript:?}");
        set_fault(&fleet, ProcessKind::Model, None).await;
        check_text(&fleet, &session, "whole", &before).await;
        if transcript.tokens() > 0 {
            check_text(&fleet, &session, "damaged", &transcript).await;
        }
        fleet.wait_all_ready(WAIT_TIMEOUT).await.unwrap();
        let after = TurnRequest::new("after", Some("damaged"), "[tokens 12]", 16);
        crate::support::finish(&caller, &session, &after).await;
    }
}
