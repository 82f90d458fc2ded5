//! Sends each kind of invalid input to each endpoint: the error has a stable code, names its field
//! and changes no state.

mod support;

use ::http::Method;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::Frame;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::{Map, Value, json};
use support::TestEnv;
use support::app_engine::AppEngine;
use support::fake_engine::FakeEngine;
use support::http::{self, Answer, request};

/// An endpoint that takes a body, with a valid body.
struct Endpoint {
    method: Method,
    path: &'static str,
    body: Value,
}

fn endpoints() -> Vec<Endpoint> {
    let endpoint = |method, path, body| Endpoint { method, path, body };
    let alarm = json!({"tool": "send_alarm", "arguments": {}});
    vec![
        endpoint(Method::PUT, "/v1/programs/p2", json!({"token_budget": 1, "end_time_ms": 1})),
        endpoint(Method::PUT, "/v1/programs/p1/sessions/s2", json!({"model": "advisor-7b"})),
        endpoint(
            Method::POST,
            "/v1/programs/p1/sessions/s1/turns",
            json!({"turn": "t1", "input": "vent?", "max_tokens": 1}),
        ),
        endpoint(
            Method::POST,
            "/v1/programs/p1/sessions/s1/tool-results",
            json!({"call": "c1", "result": 1}),
        ),
        endpoint(Method::PUT, "/v1/programs/p1/calls/c1", alarm.clone()),
        endpoint(Method::POST, "/v1/programs/p1/calls/c1/seal", alarm),
    ]
}

struct Fixture {
    env: TestEnv,
    host: FakeEngine,
    application: AppEngine,
}

impl Fixture {
    async fn start() -> Self {
        let mut env = TestEnv::new().await;
        let host = FakeEngine::start("e1", "v2", 1, &env.state).await;
        env.list(&host, "z1");
        let application = AppEngine::start("a1", 1).await;
        env.list_app(&application, "v1", "z1");
        env.put_program("p1").await;
        assert_eq!(env.open_session("p1", "s1").await.status, 200);
        Self { env, host, application }
    }

    async fn ask(&self, method: &Method, path: &str, kind: &str, body: &str) -> Answer {
        let builder = request(method.clone(), self.env.url(0), path).header("content-type", kind);
        http::answer(
            builder.body(Full::new(Bytes::from(body.to_owned()))).expect("invalid request"),
        )
        .await
    }

    async fn check(&self, endpoint: &Endpoint, body: &str, expected: (u16, &str, Option<&str>)) {
        let answer = self.ask(&endpoint.method, endpoint.path, "application/json", body).await;
        let found = (answer.status, answer.code(), answer.json["field"].as_str());
        assert_eq!(found, expected, "{} {}: {answer:?}", endpoint.path, body);
        assert_eq!(answer.header("content-type"), "application/problem+json");
    }

    /// Checks that no state was changed.
    async fn check_unchanged(&self) {
        let session = http::get(self.env.url(0), "/v1/programs/p1/sessions/s1").await;
        assert_eq!((&session.json["next_seq"], &session.json["head"]), (&json!(1), &Value::Null));
        for absent in ["/v1/programs/p2", "/v1/programs/p1/calls/c1", "/v1/programs/p1/sessions/s2"]
        {
            assert_eq!(http::get(self.env.url(0), absent).await.status, 404, "{absent}");
        }
        assert_eq!((self.host.count("run_turn"), self.host.count("tool_result")), (0, 0));
        assert_eq!((self.host.count("open"), self.application.received()), (1, 0));
    }
}

#[tokio::test]
async fn malformed_bodies_and_unknown_fields_are_refused() {
    let fixture = Fixture::start().await;
    for endpoint in endpoints() {
        for broken in ["", "{", "[]", "null", "7", r#"{"a": 1, "a": 2}"#, "{} {}", "\u{0}"] {
            fixture.check(&endpoint, broken, (400, "bad_json", None)).await;
        }
        let fields: Map<String, Value> = endpoint.body.as_object().expect("not an object").clone();
        for name in fields.keys().filter(|name| *name != "result") {
            let mut missing = fields.clone();
            missing.remove(name);
            let body = Value::Object(missing).to_string();
            fixture.check(&endpoint, &body, (400, "bad_field", Some(name))).await;
            let mut wrong = fields.clone();
            wrong.insert(name.clone(), json!([true]));
            let body = Value::Object(wrong).to_string();
            fixture.check(&endpoint, &body, (400, "bad_field", Some(name))).await;
        }
        let mut unknown = fields.clone();
        unknown.insert("colour".to_owned(), json!("red"));
        let body = Value::Object(unknown).to_string();
        fixture.check(&endpoint, &body, (400, "unknown_field", Some("colour"))).await;
    }
    fixture.check_unchanged().await;
}

#[tokio::test]
async fn bodies_of_a_wrong_content_type_or_size_are_refused() {
    let fixture = Fixture::start().await;
    for endpoint in endpoints() {
        let body = endpoint.body.to_string();
        for kind in ["text/plain", "application/jsonx", ""] {
            let answer = fixture.ask(&endpoint.method, endpoint.path, kind, &body).await;
            let found = (answer.status, answer.code(), answer.json["field"].as_str());
            assert_eq!(found, (415, "bad_content_type", Some("content-type")), "{answer:?}");
        }
        let large = format!("{body}{}", " ".repeat(5_000));
        fixture.check(&endpoint, &large, (413, "body_too_large", None)).await;
        let answer = send_chunked(&fixture.env, &endpoint, &large).await;
        assert_eq!((answer.0, answer.1["code"].as_str()), (413, Some("body_too_large")));
    }
    fixture.check_unchanged().await;
}

/// Sends a chunked body, without a declared length.
async fn send_chunked(env: &TestEnv, endpoint: &Endpoint, body: &str) -> (u16, Value) {
    let pieces: Vec<Result<Frame<Bytes>, std::io::Error>> = body
        .as_bytes()
        .chunks(1_000)
        .map(|piece| Ok(Frame::data(Bytes::copy_from_slice(piece))))
        .collect();
    let body = StreamBody::new(futures::stream::iter(pieces));
    let request = request(endpoint.method.clone(), env.url(0), endpoint.path)
        .header("content-type", "application/json")
        .body(body)
        .expect("invalid request");
    let client = Client::builder(TokioExecutor::new()).build_http();
    let (head, body) = client.request(request).await.expect("no response").into_parts();
    let bytes = body.collect().await.expect("incomplete body").to_bytes();
    (head.status.as_u16(), serde_json::from_slice(&bytes).expect("JSON"))
}

#[tokio::test]
async fn invalid_path_identifiers_are_reported_by_field() {
    let fixture = Fixture::start().await;
    let long = "x".repeat(97);
    for bad in ["a%20b", "%00", "a%2Fb", long.as_str()] {
        let paths = [
            (format!("/v1/programs/{bad}"), "program"),
            (format!("/v1/programs/p1/sessions/{bad}"), "session"),
            (format!("/v1/programs/p1/sessions/{bad}/events"), "session"),
            (format!("/v1/programs/p1/sessions/s1/turns/{bad}"), "turn"),
            (format!("/v1/programs/p1/sessions/s1/turns/{bad}/events"), "turn"),
            (format!("/v1/programs/p1/calls/{bad}"), "call"),
        ];
        for (path, field) in paths {
            let answer = http::get(fixture.env.url(0), &path).await;
            let found = (answer.status, answer.code(), answer.json["field"].as_str());
            assert_eq!(found, (400, "bad_id", Some(field)), "{path}: {answer:?}");
        }
    }
    fixture.check_unchanged().await;
}

#[tokio::test]
async fn references_to_unknown_resources_change_no_state() {
    let fixture = Fixture::start().await;
    let turn = json!({"turn": "t1", "input": "", "max_tokens": 1});
    let result = json!({"call": "c1", "result": 1});
    let alarm = json!({"tool": "send_alarm", "arguments": {}});
    let url = fixture.env.url(0);
    let table = [
        (Method::POST, "/v1/programs/p1/sessions/s9/turns", &turn, "no_session"),
        (Method::POST, "/v1/programs/p9/sessions/s1/turns", &turn, "no_program"),
        (Method::POST, "/v1/programs/p1/sessions/s9/tool-results", &result, "no_session"),
        (Method::POST, "/v1/programs/p1/sessions/s9/turns/t1/abort", &Value::Null, "no_session"),
        (Method::DELETE, "/v1/programs/p1/sessions/s9", &Value::Null, "no_session"),
        (Method::PUT, "/v1/programs/p9/calls/c1", &alarm, "no_program"),
        (Method::POST, "/v1/programs/p9/calls/c1/seal", &alarm, "no_program"),
    ];
    for (method, path, body, code) in table {
        let answer = http::answer(http::with_json(request(method, url, path), body)).await;
        assert_eq!((answer.status, answer.code()), (404, code), "{path}: {answer:?}");
    }
    let mut follows = turn.clone();
    follows["after"] = json!("t0");
    let path = "/v1/programs/p1/sessions/s1/turns";
    let answer = http::answer(http::with_json(request(Method::POST, url, path), &follows)).await;
    let found = (answer.status, answer.code(), answer.json["field"].as_str());
    assert_eq!(found, (409, "no_such_turn", Some("after")), "{answer:?}");
    let session = http::get(url, "/v1/programs/p1/sessions/s1").await;
    assert_eq!((&session.json["next_seq"], &session.json["head"]), (&json!(1), &Value::Null));
}
