//! Automatic rollback of a failing new version, with real processes and traffic.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use axum::Router;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::{get, post};
use common::{Fleet, TENANT, eventually, request};
use http::{HeaderMap, Method, StatusCode};
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

/// A fake application engine that counts its calls and can be made to fail.
struct Engine {
    name: String,
    version: &'static str,
    incarnation: u64,
    fails: AtomicBool,
    calls: AtomicU64,
}

async fn start_engine(number: u64, version: &'static str) -> (Arc<Engine>, SocketAddr) {
    let engine = Arc::new(Engine {
        name: format!("n{number}"),
        version,
        incarnation: 100 + number,
        fails: AtomicBool::new(false),
        calls: AtomicU64::new(0),
    });
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("loopback");
    let address = listener.local_addr().expect("bound");
    let router = Router::new()
        .route("/identity", get(identity))
        .route("/status", get(status))
        .route("/calls/{tool}", post(call))
        .with_state(engine.clone());
    tokio::spawn(async move { axum::serve(listener, router).await });
    (engine, address)
}

async fn identity(State(engine): State<Arc<Engine>>) -> axum::Json<Value> {
    axum::Json(json!({"service": "notices", "engine": engine.name, "version": engine.version,
        "incarnation": engine.incarnation, "kind": "application"}))
}

async fn status() -> axum::Json<Value> {
    axum::Json(json!({"ready": true, "draining": false, "slots": 64, "running": 0}))
}

async fn call(State(engine): State<Arc<Engine>>, headers: HeaderMap) -> Response {
    engine.calls.fetch_add(1, Ordering::SeqCst);
    let fails = engine.fails.load(Ordering::SeqCst);
    let status = if fails { StatusCode::INTERNAL_SERVER_ERROR } else { StatusCode::OK };
    let request = headers.get("x-hooklug-request").cloned();
    let own = format!("notices/{}/{}", engine.name, engine.incarnation);
    let mut response = (status, axum::Json(json!({"done": !fails}))).into_response();
    if let Some(request) = request {
        response.headers_mut().insert("x-hooklug-request", request);
    }
    response.headers_mut().insert("x-hooklug-engine", own.parse().expect("a header"));
    response
}

fn release(version: u64, versions: &[&str]) -> Value {
    let versions: Vec<Value> = versions.iter().map(|v| json!({ "version": v })).collect();
    json!({
        "version": version, "base": version - 1,
        "services": {"notices": {"kind": "application", "slots": 64, "versions": versions,
            "steps": [25, 50, 100], "step_seconds": 600}},
        "routes": {"show-notice": {"match": {"tool": {"tool": "show_notice"}},
            "service": "notices", "may_repeat": true}},
        "tenants": {TENANT: {}},
    })
}

/// Sends calls to a gateway repeatedly until stopped.
async fn keep_calling(gateway: SocketAddr, caller: usize, stop: CancellationToken) {
    let mut number = 0_u64;
    while !stop.is_cancelled() {
        number += 1;
        let path = format!("/v1/programs/p{caller}/calls/c{number}");
        let body = json!({"tool": "show_notice", "arguments": {}, "deadline_ms": 3000}).to_string();
        let _ = request(gateway, Method::PUT, &path, &body).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_failing_version_is_rolled_back_and_gets_no_traffic() {
    let fleet = Fleet::started(67, 3, 1, 2);
    let gateways = fleet.with_role("gateway");
    let (old, old_address) = start_engine(1, "v1").await;
    let (new, new_address) = start_engine(2, "v2").await;
    let entry = |address: SocketAddr| json!({"address": address, "zone": "z1"});
    let list = json!({"engines": [entry(old_address), entry(new_address)]}).to_string();
    std::fs::write(&fleet.platform_list, list).expect("written");
    fleet.wait_for_members(gateways[0], 6).await;
    assert_eq!(fleet.submit(gateways[0], &release(1, &["v1"])).await.0, StatusCode::OK);
    assert_eq!(fleet.submit(gateways[0], &release(2, &["v1", "v2"])).await.0, StatusCode::OK);
    let stop = CancellationToken::new();
    let _stops_callers = stop.clone().drop_guard();
    for caller in 0..8 {
        let gateway = fleet.http(gateways[caller % 2]);
        let end = json!({"token_budget": 1, "end_time_ms": 4_000_000_000_000_u64}).to_string();
        eventually("a program is created", async || {
            let path = format!("/v1/programs/p{caller}");
            let answer = request(gateway, Method::PUT, &path, &end).await;
            answer.is_some_and(|(status, _)| status == StatusCode::OK)
        })
        .await;
        tokio::spawn(keep_calling(gateway, caller, stop.clone()));
    }
    let calls_of = |engine: &Engine| engine.calls.load(Ordering::SeqCst);
    eventually("both versions have traffic", async || calls_of(&old) > 200 && calls_of(&new) > 50)
        .await;
    assert_eq!(fleet.current_version(gateways[0]).await, Some(2), "no regression, no rollback");

    new.fails.store(true, Ordering::SeqCst);
    eventually("the system rolls the version back", async || {
        fleet.current_version(gateways[0]).await == Some(3)
    })
    .await;
    let (_, body) = request(fleet.http(gateways[0]), Method::GET, "/admin/v1/bundles/3", "")
        .await
        .expect("an answer");
    let harm = &body["record"]["rollback"];
    assert_eq!((&harm["service"], &harm["version"]), (&json!("notices"), &json!("v2")), "{body}");
    assert!(harm["reason"].as_str().is_some_and(|r| !r.is_empty()), "{body}");
    for gateway in &gateways {
        eventually("the rollback is installed", async || {
            fleet.installed_version(*gateway).await == Some(3)
        })
        .await;
    }
    // Calls in flight when the rollback was installed may still arrive.
    tokio::time::sleep(Duration::from_secs(3)).await;
    let (settled_new, settled_old) = (calls_of(&new), calls_of(&old));
    eventually("the old version still gets traffic", async || calls_of(&old) > settled_old + 200)
        .await;
    assert_eq!(calls_of(&new), settled_new, "the rolled-back version gets no more traffic");
}
