//! Callers only get complete responses of the engine that they called, to their own request.
//!
//! Detects a gateway or engine that accepts a truncated response, the response to another request,
//! one that can't be decoded, or one of another service at a reused address.

use crate::support::{PATIENCE, caller, check_text, fault, open, put_program, start};
use hooklug_emulator::{FaultKind, FaultRule, Faults, LedgerEntry, Restart};
use hooklug_fleet::caller::{CallAnswer, CallRequest, CallerError, TurnRequest};
use hooklug_fleet::{Caller, ProcessKind, Topology};
use serde_json::json;

const PROGRAM: &str = "frost";
/// Service that takes over the address of a backend.
const STRANGER: &str = "stranger";

fn topology() -> Topology {
    let mut topology = crate::support::data_topology(2, 2);
    topology.applications = Topology::small().applications;
    topology
}

/// Asserts that a response belongs to the request: the fake engines return the request in each
/// response.
fn assert_genuine(answer: &CallAnswer, call: &str, house: u64) {
    assert_eq!(answer.status, 200, "{answer:?}");
    assert_eq!(answer.body["call"], format!("{PROGRAM}/{call}"));
    assert_eq!(answer.body["arguments"], json!({"house": house}));
    assert!(answer.body["engine"].as_str().unwrap().starts_with("app-"), "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_answer_of_an_application_is_never_shown() {
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
                    genuine += usize::from(ask(&caller, tool, house).await);
                }
            }
            println!("{kind:?} with share {share}: {genuine} of 12 answered");
            assert!(share < 1.0 || genuine == 0, "a damaged response was returned to the caller");
        }
        fault(&fleet, ProcessKind::App, None).await;
    }
}

/// Makes a call and checks the response. Returns whether it was answered.
async fn ask(caller: &Caller, tool: &str, house: u64) -> bool {
    let call = format!("{tool}-{house}");
    let mut request = CallRequest::new(tool, json!({"house": house}));
    request.deadline_ms = 1_000;
    let ask = hooklug_fleet::http::Ask::json(
        http::Method::PUT,
        format!("/v1/programs/{PROGRAM}/calls/{call}"),
        &request,
    );
    match caller.ask_once(0, &ask).await {
        Ok(answer) => {
            let body = serde_json::from_slice(&answer.body).unwrap();
            let answer = CallAnswer { status: answer.status.as_u16(), body };
            assert_genuine(&answer, &call, house);
            true
        }
        Err(CallerError::Problem(_)) => false,
        Err(error) => panic!("{call}: {error}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn another_service_at_a_reused_address_is_asked_nothing() {
    let fleet = start(topology()).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 1_000).await;
    for house in 0..10 {
        // Opens connections to all engines before their addresses are reused.
        assert!(
            ask(&caller, "read_sensor", house).await && ask(&caller, "send_alarm", house).await
        );
    }
    let restart = Restart {
        service: Some(STRANGER.parse().unwrap()),
        engine: Some("stranger-1".parse().unwrap()),
        version: None,
        down_ms: 0,
    };
    // One engine of each service and one of the two model servers are replaced.
    for stand_in in ["app:0", "app:2", "model:0"] {
        fleet.restart_stand_in(stand_in.parse().unwrap(), &restart).await.unwrap();
    }
    let mut answered = 0;
    for house in 10..40 {
        answered += usize::from(ask(&caller, "read_sensor", house).await);
        answered += usize::from(ask(&caller, "send_alarm", house).await);
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
            let strange = line.identity.starts_with(STRANGER);
            // Requests on existing connections may reach it; it must refuse requests for another
            // identity.
            let idle = matches!(line.entry, LedgerEntry::Started | LedgerEntry::Refused { .. });
            assert!(!strange || idle, "{line:?}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_damaged_stream_of_a_model_server_never_ends_finished() {
    let fleet = start(topology()).await;
    let caller = caller(&fleet);
    put_program(&caller, PROGRAM, 10_000).await;
    use FaultKind::{Cross, CutShort, Garble, LoseAnswer};
    for kind in [LoseAnswer, CutShort, Cross, Garble] {
        let session = open(&caller, PROGRAM, &format!("s-{kind:?}").to_lowercase()).await;
        let whole = TurnRequest::new("whole", None, "[tokens 12]", 16);
        let before = crate::support::finish(&caller, &session, &whole).await;
        fault(&fleet, ProcessKind::Model, Some(FaultRule::always(kind))).await;
        let damaged = TurnRequest::new("damaged", Some("whole"), "[tokens 12]", 16);
        let shown = caller.run_turn(0, &session, &damaged).await.unwrap();
        shown.check("damaged").unwrap();
        println!("{kind:?}: {} after {} tokens", shown.end(), shown.tokens());
        assert!(matches!(shown.end(), "failed" | "interrupted"), "{kind:?}: {shown:?}");
        fault(&fleet, ProcessKind::Model, None).await;
        check_text(&fleet, &session, "whole", &before).await;
        if shown.tokens() > 0 {
            check_text(&fleet, &session, "damaged", &shown).await;
        }
        fleet.wait_all_ready(PATIENCE).await.unwrap();
        let after = TurnRequest::new("after", Some("damaged"), "[tokens 12]", 16);
        crate::support::finish(&caller, &session, &after).await;
    }
}
