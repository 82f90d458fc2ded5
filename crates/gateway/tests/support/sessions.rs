//! Helpers for sessions: an open session, its turns and its event streams.

use serde_json::json;

use super::TestEnv;
use super::fake_engine::FakeEngine;
use super::http::SseEvent;

pub const SESSION: &str = "p1/sessions/s1";

pub async fn env_with_session() -> (TestEnv, FakeEngine) {
    let mut env = TestEnv::new().await;
    let engine = FakeEngine::start("e1", "v2", 1, &env.state).await;
    env.list(&engine, "z1");
    env.put_program("p1").await;
    let opened = env.open_session("p1", "s1").await;
    assert_eq!((opened.status, &opened.json["owner"]), (200, &json!("e1")), "{opened:?}");
    (env, engine)
}

pub fn turn(name: &str, after: Option<&str>, tokens: u64) -> serde_json::Value {
    json!({"turn": name, "after": after, "input": "vent?", "max_tokens": tokens})
}

pub fn ids(events: &[SseEvent]) -> Vec<u64> {
    events.iter().map(|e| e.id).collect()
}

pub fn names(events: &[SseEvent]) -> Vec<&str> {
    events.iter().map(|e| e.event.as_str()).collect()
}
