//! The fake application engine: its interface, its faults, and its ledger.

mod common;

use common::*;
use hooklug_emulator::{FaultKind, FaultRule, Faults, Restart};
use http::{Method, StatusCode};
use serde_json::{Value, json};

#[tokio::test]
async fn the_emulated_application_reports_its_identity_and_status() {
    let engine = application().await;
    let identity = get(engine.address(), "/identity").await;
    assert_eq!(identity["service"], "alarms");
    assert_eq!(identity["kind"], "application");
    assert_eq!(identity["incarnation"], engine.identity().incarnation.0);
    let status = get(engine.address(), "/status").await;
    assert_eq!(status, json!({"ready": true, "draining": false, "slots": 4, "running": 0}));
}

#[tokio::test]
async fn a_response_echoes_its_request_id_and_every_request_runs() {
    let engine = application().await;
    for (request, times) in [("r1", 1), ("r2", 2)] {
        let (status, headers, body) = call(&engine, request, "alarm", "p/c").await.complete();
        assert_eq!(status, StatusCode::OK);
        assert_eq!(headers["x-hooklug-request"], request);
        assert_eq!(headers["x-hooklug-engine"], engine.identity().to_string().as_str());
        assert_eq!(headers["content-length"], body.len().to_string().as_str());
        let body: Value = serde_json::from_slice(&body).unwrap();
        assert_eq!((&body["times"], &body["arguments"]), (&json!(times), &json!({"house": 4})));
    }
    assert_eq!(runs(&engine, "p/c"), 2);
    let found = get(engine.address(), "/calls?call=p%2Fc").await;
    assert_eq!((&found["state"], &found["body"]["times"]), (&json!("done"), &json!(2)));
    assert_eq!(get(engine.address(), "/calls?call=p/other").await, json!({"state": "never"}));
}

#[tokio::test]
async fn refused_calls_are_marked_and_not_run() {
    let engine = application().await;
    let wrong_identity = [("x-hooklug-request", "r1"), ("x-hooklug-expect", "alarms/app-9/1")];
    let response =
        send(engine.address(), Method::POST, "/calls/alarm", &wrong_identity, &json!({})).await;
    let (status, headers, _) = response.complete();
    assert_eq!(
        (status, &headers["x-hooklug-refused"]),
        (StatusCode::CONFLICT, &"identity".parse().unwrap())
    );
    engine.set_faults(Faults { draining: true, ..Faults::default() });
    let (status, headers, _) = call(&engine, "r2", "alarm", "p/c").await.complete();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(headers["x-hooklug-refused"], "draining");
    assert_eq!(headers["x-hooklug-request"], "r2");
    engine.set_faults(faults(FaultKind::Refuse));
    let (_, headers, _) = call(&engine, "r3", "alarm", "p/c").await.complete();
    assert_eq!(headers["x-hooklug-refused"], "overloaded");
    assert_eq!(runs(&engine, "p/c"), 0);
}

#[tokio::test]
async fn a_call_with_a_lost_response_has_run() {
    let engine = application().await;
    engine.set_faults(faults(FaultKind::LoseAnswer));
    assert!(matches!(call(&engine, "r1", "alarm", "p/c").await, ClientResponse::NoResponse));
    assert_eq!(runs(&engine, "p/c"), 1);
    assert_eq!(get(engine.address(), "/calls?call=p/c").await["state"], "done");
}

#[tokio::test]
async fn truncated_crossed_and_garbled_responses_are_recognisable() {
    let engine = application().await;
    engine.set_faults(faults(FaultKind::CutShort));
    assert!(matches!(call(&engine, "r1", "alarm", "p/c1").await, ClientResponse::Truncated));
    engine.set_faults(faults(FaultKind::Cross));
    let (_, headers, body) = call(&engine, "r2", "alarm", "p/c2").await.complete();
    assert_eq!(headers["x-hooklug-request"], "r1");
    assert!(String::from_utf8_lossy(&body).contains("p/c1"));
    engine.set_faults(faults(FaultKind::Garble));
    let (_, headers, body) = call(&engine, "r3", "alarm", "p/c3").await.complete();
    assert_eq!(headers["x-hooklug-request"], "r3");
    assert!(serde_json::from_slice::<Value>(&body).is_err());
}

#[tokio::test]
async fn a_failure_is_not_a_refusal() {
    let engine = application().await;
    engine.set_faults(faults(FaultKind::Fail));
    let (status, headers, _) = call(&engine, "r1", "alarm", "p/c").await.complete();
    assert_eq!(status, StatusCode::INTERNAL_SERVER_ERROR);
    assert!(!headers.contains_key("x-hooklug-refused"));
    assert_eq!(runs(&engine, "p/c"), 0);
}

#[tokio::test]
async fn a_fault_rule_applies_to_its_share_and_route_up_to_its_limit() {
    let engine = application().await;
    let rule = FaultRule {
        share: 0.5,
        times: Some(2),
        route: Some("alarm".to_owned()),
        ..FaultRule::always(FaultKind::Fail)
    };
    engine.set_faults(Faults { rules: vec![rule], ..Faults::default() });
    let mut failed = Vec::new();
    for n in 0..8 {
        let (status, _, _) = call(&engine, "r", "alarm", "p/c").await.complete();
        let (other, _, _) = call(&engine, "r", "report", "p/c").await.complete();
        assert_eq!(other, StatusCode::OK);
        if status != StatusCode::OK {
            failed.push(n);
        }
    }
    assert_eq!(failed, [1, 3]);
}

#[tokio::test]
async fn a_restarted_engine_has_a_new_incarnation_and_may_change_service() {
    let engine = application().await;
    call(&engine, "r1", "alarm", "p/c").await.complete();
    let before = engine.identity();
    let restart = json!({"service": "reports", "engine": "app-7", "version": "v2"});
    let response = send(engine.address(), Method::PUT, "/emulator/restart", &[], &restart).await;
    assert_eq!(response.complete().0, StatusCode::OK);
    while engine.identity() == before {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    let after = engine.identity();
    assert!(after.incarnation > before.incarnation);
    assert_eq!(after.to_string(), format!("reports/app-7/{}", after.incarnation));
    while tokio::net::TcpStream::connect(engine.address()).await.is_err() {
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    assert_eq!(get(engine.address(), "/calls?call=p/c").await["state"], "never");
    assert_eq!(runs(&engine, "p/c"), 1, "the ledger survives the restart");
    engine.restart(Restart::default());
}

#[tokio::test]
async fn faults_are_switched_over_http_and_bad_ones_refused() {
    let engine = application().await;
    let put = |body: Value| async move {
        send(engine_address(&body), Method::PUT, "/emulator/faults", &[], &body["faults"]).await
    };
    let at = engine.address().to_string();
    let good = json!({"at": at, "faults": {"rules": [{"kind": "lose_answer", "share": 0.1}]}});
    assert_eq!(put(good).await.complete().0, StatusCode::OK);
    let active_faults = get(engine.address(), "/emulator/faults").await;
    assert_eq!(active_faults["rules"][0]["kind"], "lose_answer");
    let bad = json!({"at": at, "faults": {"rulez": []}});
    assert_eq!(put(bad).await.complete().0, StatusCode::BAD_REQUEST);
}

fn engine_address(body: &Value) -> std::net::SocketAddr {
    body["at"].as_str().unwrap().parse().unwrap()
}

#[tokio::test]
async fn the_ledgers_file_holds_every_line() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("ledger");
    let ledger = hooklug_emulator::Ledger::open(Some(&path)).unwrap();
    drop(ledger);
    let options = hooklug_emulator::ApplicationOptions {
        listen: LISTEN.parse().unwrap(),
        service: "alarms".parse().unwrap(),
        engine: "app-1".parse().unwrap(),
        version: "v1".parse().unwrap(),
        run_time: std::time::Duration::ZERO,
        slots: 1,
        ledger: Some(path.clone()),
    };
    let engine = hooklug_emulator::ApplicationEngine::start(options).await.unwrap();
    call(&engine, "r1", "alarm", "p/c").await.complete();
    let text = std::fs::read_to_string(path).unwrap();
    let lines: Vec<hooklug_emulator::LedgerLine> =
        text.lines().map(|line| serde_json::from_str(line).unwrap()).collect();
    assert_eq!(lines, engine.ledger());
    assert_eq!(lines.len(), 2);
}
