//! Invalid input: each error has a stable code, names its field and changes no state.

mod support;

use ::http::{Method, Request};
use bytes::Bytes;
use http_body_util::Full;
use serde_json::{Value, json};
use support::fake_engine::FakeEngine;
use support::http::{self, Answer, request};
use support::{TestEnv, bundle, id};

const SESSION: &str = "/v1/programs/p1/sessions/s1";

/// Method, path, body, status, code, field.
type Fault<'a> = (&'a str, &'a str, &'a str, u16, &'a str, Option<&'a str>);

async fn raw(env: &TestEnv, method: &str, path: &str, kind: &str, body: &str) -> Answer {
    let method = Method::from_bytes(method.as_bytes()).unwrap();
    let builder = request(method, env.url(0), path).header("content-type", kind);
    http::answer(builder.body(Full::new(Bytes::from(body.to_owned()))).unwrap()).await
}

#[tokio::test]
async fn each_fault_has_its_code_and_field() {
    let mut env = TestEnv::new().await;
    let engine = FakeEngine::start("e1", "v2", 1, &env.state).await;
    env.list(&engine, "z1");
    env.put_program("p1").await;
    assert_eq!(env.open_session("p1", "s1").await.status, 200);
    let long = "x".repeat(97);
    let long_id = format!("/v1/programs/{long}");
    let turns = format!("{SESSION}/turns");
    let results = format!("{SESSION}/tool-results");
    let call = "/v1/programs/p1/calls/c1";
    let big = format!(r#"{{"turn": "t1", "input": "{}", "max_tokens": 1}}"#, "y".repeat(5000));
    let table: &[Fault<'_>] = &[
        ("PUT", "/v1/programs/p2", "", 400, "bad_json", None),
        ("PUT", "/v1/programs/p2", "{", 400, "bad_json", None),
        ("PUT", "/v1/programs/p2", "[]", 400, "bad_json", None),
        (
            "PUT",
            "/v1/programs/p2",
            r#"{"token_budget": 1, "token_budget": 2, "end_time_ms": 1}"#,
            400,
            "bad_json",
            None,
        ),
        ("PUT", "/v1/programs/p2", r#"{"token_budget": 1}"#, 400, "bad_field", Some("end_time_ms")),
        (
            "PUT",
            "/v1/programs/p2",
            r#"{"token_budget": -1, "end_time_ms": 1}"#,
            400,
            "bad_field",
            Some("token_budget"),
        ),
        (
            "PUT",
            "/v1/programs/p2",
            r#"{"token_budget": "many", "end_time_ms": 1}"#,
            400,
            "bad_field",
            Some("token_budget"),
        ),
        (
            "PUT",
            "/v1/programs/p2",
            r#"{"token_budget": 1, "end_time_ms": 1, "color": "red"}"#,
            400,
            "unknown_field",
            Some("color"),
        ),
        (
            "PUT",
            "/v1/programs/p%20x",
            r#"{"token_budget": 1, "end_time_ms": 1}"#,
            400,
            "bad_id",
            Some("program"),
        ),
        (
            "PUT",
            &long_id,
            r#"{"token_budget": 1, "end_time_ms": 1}"#,
            400,
            "bad_id",
            Some("program"),
        ),
        (
            "PUT",
            "/v1/programs/p1",
            r#"{"token_budget": 1, "end_time_ms": 1}"#,
            409,
            "program_differs",
            None,
        ),
        (
            "PUT",
            "/v1/programs/p1/sessions/s2",
            r#"{"model": "none"}"#,
            404,
            "no_route",
            Some("model"),
        ),
        (
            "PUT",
            "/v1/programs/p1/sessions/s2",
            r#"{"model": "bad model"}"#,
            400,
            "bad_id",
            Some("model"),
        ),
        (
            "PUT",
            "/v1/programs/p9/sessions/s2",
            r#"{"model": "advisor-7b"}"#,
            404,
            "no_program",
            None,
        ),
        (
            "PUT",
            SESSION,
            r#"{"model": "advisor-7b", "prefix": "other"}"#,
            409,
            "session_differs",
            Some("prefix"),
        ),
        (
            "POST",
            &turns,
            r#"{"turn": "t1", "input": 7, "max_tokens": 1}"#,
            400,
            "bad_field",
            Some("input"),
        ),
        (
            "POST",
            &turns,
            r#"{"turn": "t 1", "input": "", "max_tokens": 1}"#,
            400,
            "bad_id",
            Some("turn"),
        ),
        (
            "POST",
            &turns,
            r#"{"turn": "t1", "after": "", "input": "", "max_tokens": 1}"#,
            400,
            "bad_id",
            Some("after"),
        ),
        (
            "POST",
            &turns,
            r#"{"turn": "t1", "input": "", "max_tokens": 0}"#,
            400,
            "bad_field",
            Some("max_tokens"),
        ),
        (
            "POST",
            &turns,
            r#"{"turn": "t1", "after": "t0", "input": "", "max_tokens": 1}"#,
            409,
            "no_such_turn",
            Some("after"),
        ),
        ("POST", &turns, &big, 413, "body_too_large", None),
        (
            "POST",
            "/v1/programs/p1/sessions/s9/turns",
            r#"{"turn": "t1", "input": "", "max_tokens": 1}"#,
            404,
            "no_session",
            None,
        ),
        ("POST", &results, r#"{"call": "", "result": 1}"#, 400, "bad_id", Some("call")),
        ("POST", &results, r#"{"call": "c1"}"#, 400, "bad_field", Some("result")),
        ("PUT", call, r#"{"tool": "send_alarm"}"#, 400, "bad_field", Some("arguments")),
        (
            "PUT",
            call,
            r#"{"tool": "send_alarm", "arguments": 3}"#,
            400,
            "bad_field",
            Some("arguments"),
        ),
        ("PUT", call, r#"{"tool": "../secret", "arguments": {}}"#, 400, "bad_field", Some("tool")),
        ("PUT", call, r#"{"tool": "none", "arguments": {}}"#, 404, "no_route", Some("tool")),
        (
            "PUT",
            call,
            r#"{"tool": "send_alarm", "arguments": {}, "repeat": "no"}"#,
            400,
            "bad_field",
            Some("repeat"),
        ),
        (
            "PUT",
            call,
            r#"{"tool": "send_alarm", "arguments": {}, "deadline_ms": 0}"#,
            400,
            "bad_field",
            Some("deadline_ms"),
        ),
        (
            "PUT",
            call,
            r#"{"tool": "send_alarm", "arguments": {}, "extra": 0}"#,
            400,
            "unknown_field",
            Some("extra"),
        ),
    ];
    for (method, path, body, status, code, field) in table {
        let answer = raw(&env, method, path, "application/json", body).await;
        let found = (answer.status, answer.code(), answer.json["field"].as_str());
        assert_eq!(found, (*status, *code, *field), "{method} {path} {body}: {answer:?}");
        assert_eq!(answer.header("content-type"), "application/problem+json");
        assert_eq!(answer.json["status"], *status);
        assert_eq!(answer.header("x-hooklug-bundle"), "3");
    }
    let unchanged = http::get(env.url(0), SESSION).await;
    assert_eq!((&unchanged.json["next_seq"], &unchanged.json["head"]), (&json!(1), &Value::Null));
    for absent in ["/v1/programs/p2", "/v1/programs/p1/calls/c1", "/v1/programs/p1/sessions/s2"] {
        assert_eq!(http::get(env.url(0), absent).await.status, 404, "{absent}");
    }
}

#[tokio::test]
async fn unknown_resources_return_not_found() {
    let mut env = TestEnv::new().await;
    let engine = FakeEngine::start("e1", "v2", 1, &env.state).await;
    env.list(&engine, "z1");
    env.put_program("p1").await;
    env.open_session("p1", "s1").await;
    let table = [
        ("/v1/programs/p9", "no_program"),
        ("/v1/programs/p1/sessions/s9", "no_session"),
        ("/v1/programs/p1/sessions/s9/events", "no_session"),
        ("/v1/programs/p1/sessions/s9/turns/t1", "no_session"),
        ("/v1/programs/p1/sessions/s1/turns/t1", "no_turn"),
        ("/v1/programs/p1/sessions/s1/turns/t1/events", "no_turn"),
        ("/v1/programs/p1/calls/c9", "no_call"),
    ];
    for (path, code) in table {
        let answer = http::get(env.url(0), path).await;
        assert_eq!((answer.status, answer.code()), (404, code), "{path}");
    }
    let bad = http::get_with_last(env.url(0), "/v1/programs/p1/sessions/s1/events", 9).await;
    assert_eq!((bad.status, bad.code()), (400, "bad_field"));
    assert_eq!(bad.json["field"], "last-event-id");
}

#[tokio::test]
async fn content_types_other_than_json_are_refused() {
    let env = TestEnv::new().await;
    let body = r#"{"token_budget": 1, "end_time_ms": 1}"#;
    for kind in ["text/plain", "application/x-www-form-urlencoded", "application/jsonx"] {
        let answer = raw(&env, "PUT", "/v1/programs/p1", kind, body).await;
        assert_eq!((answer.status, answer.code()), (415, "bad_content_type"), "{kind}");
    }
    let body = r#"{"token_budget": 1, "end_time_ms": 99999999999999}"#;
    let kind = "application/json; charset=utf-8";
    assert_eq!(raw(&env, "PUT", "/v1/programs/p1", kind, body).await.status, 200);
}

#[tokio::test]
async fn tenants_and_keys_are_checked_and_programs_belong_to_one_tenant() {
    let env = TestEnv::new().await;
    let ask = async |tenant: Option<&str>, key: Option<&str>| {
        let mut builder = Request::put(format!("http://{}/v1/programs/q1", env.url(0)))
            .header("content-type", "application/json");
        if let Some(tenant) = tenant {
            builder = builder.header("x-hooklug-tenant", tenant);
        }
        if let Some(key) = key {
            builder = builder.header("authorization", format!("Bearer {key}"));
        }
        let body = r#"{"token_budget": 5, "end_time_ms": 99999999999999}"#;
        support::http::answer(builder.body(Full::new(Bytes::from(body))).unwrap()).await
    };
    for (tenant, key) in [
        (None, None),
        (Some("nobody"), None),
        (Some("no body"), None),
        (Some("serra"), None),
        (Some("serra"), Some("k2")),
        (Some("serra"), Some("")),
    ] {
        let answer = ask(tenant, key).await;
        assert_eq!((answer.status, answer.code()), (401, "unauthorized"), "{tenant:?} {key:?}");
    }
    assert_eq!(ask(Some("serra"), Some("k1")).await.status, 200);
    // Another tenant can neither read nor replace the program.
    assert_eq!(support::http::get(env.url(0), "/v1/programs/q1").await.code(), "no_program");
    assert_eq!(ask(Some("dalatek"), None).await.code(), "program_differs");
}

#[tokio::test]
async fn a_rate_limited_tenant_gets_a_retry_after() {
    let mut tight = bundle();
    let tenant = tight.tenants.get_mut(&id("dalatek")).unwrap();
    tenant.limits.requests_per_second = 5.0;
    let env = TestEnv::with(tight, hooklug_settings::GatewayMode::Full, 1).await;
    let mut refused = None;
    for _ in 0..50 {
        let answer = support::http::get(env.url(0), "/v1/programs/p9").await;
        if answer.status == 429 {
            refused = Some(answer);
            break;
        }
    }
    let refused = refused.expect("the limit was never reached");
    assert_eq!((refused.code(), &refused.json["outcome"]), ("tenant_limited", &json!("try_again")));
    assert!(refused.json["retry_after_ms"].as_u64().unwrap() > 0);
    assert!(!refused.header("retry-after").is_empty());
}

#[tokio::test]
async fn a_gateway_without_a_bundle_is_unready_and_refuses_requests() {
    let env = TestEnv::new().await;
    env.gateways[0].channels.bundle.send_replace(None);
    let answer = support::http::get(env.url(0), "/v1/programs/p1").await;
    assert_eq!((answer.status, answer.code()), (503, "try_again"));
    env.gateways[0].wait_unready().await;
}
