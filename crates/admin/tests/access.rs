//! Authorization, readiness, fault injection and retiring a store.

mod common;

use common::{Api, STORE, deadline, settings};
use hooklug_state::meta::{MetaAnswer, MetaCommand, MetaQuery, MetaReply, StoreState};
use hooklug_store::StateAccess;
use hooklug_types::{Digest, FencingEpoch, Incarnation, NodeId};
use http::{Method, StatusCode};
use serde_json::json;

#[tokio::test]
async fn requests_without_a_valid_admin_key_are_refused() {
    let mut with_keys = settings();
    with_keys.operators.admin_key_digests =
        vec![Digest::of(b"former key").to_string(), Digest::of(b"present key").to_string()];
    let api = Api::start(with_keys).await;
    let path = "/admin/v1/members";
    for key in [None, Some("wrong key"), Some("")] {
        let refused = api.request(Method::GET, path, key, "").await;
        assert_eq!((refused.status, refused.code()), (StatusCode::UNAUTHORIZED, "unauthorized"));
    }
    for key in ["former key", "present key"] {
        assert_eq!(api.request(Method::GET, path, Some(key), "").await.status, StatusCode::OK);
    }
    assert_eq!(api.get("/healthz").await.status, StatusCode::OK, "health needs no key");
}

#[tokio::test]
async fn without_keys_the_api_is_open_on_loopback_only() {
    assert_eq!(Api::start(settings()).await.get("/admin/v1/view").await.status, StatusCode::OK);
    let mut not_loopback = settings();
    not_loopback.http = "10.0.0.1:80".parse().expect("an address");
    let refused = Api::start(not_loopback).await.get("/admin/v1/view").await;
    assert_eq!(refused.status, StatusCode::UNAUTHORIZED);
}

#[tokio::test]
async fn readiness_names_the_reasons() {
    let api = Api::start(settings()).await;
    assert_eq!(api.get("/readyz").await.status, StatusCode::OK);
    api.context.node.readiness.set_not_ready("reach", "no one answers");
    let answer = api.get("/readyz").await;
    assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.body, json!({"ready": false, "reasons": {"reach": "no one answers"}}));
}

#[tokio::test]
async fn links_are_cut_only_where_faults_are_enabled() {
    let body = r#"{"links": {"127.1.2.3": {"cut": true, "delay_micros": 5}}}"#;
    let without_faults = Api::start(settings()).await;
    let refused = without_faults.request(Method::PUT, "/faults", None, body).await;
    assert_eq!(refused.status, StatusCode::NOT_FOUND);
    let mut with_faults = settings();
    with_faults.enable_faults = true;
    let api = Api::start(with_faults).await;
    assert_eq!(api.request(Method::PUT, "/faults", None, body).await.status, StatusCode::OK);
    let ip = "127.1.2.3".parse().expect("an address");
    assert!(api.context.identity.faults.is_cut(ip));
    assert_eq!(api.get("/faults").await.body["links"]["127.1.2.3"]["delay_micros"], 5);
    let malformed = api.request(Method::PUT, "/faults", None, r#"{"link": {}}"#).await;
    assert_eq!((malformed.status, malformed.code()), (StatusCode::BAD_REQUEST, "bad_json"));
    assert!(api.context.identity.faults.is_cut(ip), "a refused body changes nothing");
}

#[tokio::test]
async fn retiring_a_store_requires_a_core_leader() {
    let api = Api::start(settings()).await;
    let retire = |node: NodeId| format!("/admin/v1/stores/{node}/retire");
    let without_leader = api.request(Method::POST, &retire(STORE), None, "").await;
    assert_eq!(
        (without_leader.status, without_leader.code()),
        (StatusCode::SERVICE_UNAVAILABLE, "try_again")
    );
    let acquire = MetaCommand::AcquireLeadership {
        core: NodeId(9),
        incarnation: Incarnation(1),
        address: api.context.settings.rpc,
        seen: FencingEpoch(0),
    };
    let reply = api.state.execute_meta(&acquire, deadline()).await.expect("in memory");
    assert!(matches!(reply, MetaReply::Leader(_)));
    let unknown = api.request(Method::POST, &retire(NodeId(5)), None, "").await;
    assert_eq!((unknown.status, unknown.code()), (StatusCode::NOT_FOUND, "no_store"));
    let done = api.request(Method::POST, &retire(STORE), None, "").await;
    assert_eq!(done.status, StatusCode::ACCEPTED);
    let answer = api.state.query_meta(&MetaQuery::State, deadline()).await.expect("in memory");
    let MetaAnswer::State(state) = answer else { panic!("asked for the state") };
    assert_eq!(state.stores[0].state, StoreState::Retiring);
}
