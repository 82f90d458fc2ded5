//! Helpers for calls: one non-repeatable tool and one repeatable tool.

use hooklug_settings::GatewayMode;
use serde_json::{Value, json};

use super::app_engine::AppEngine;
use super::http::{self, Answer};
use super::{TestEnv, bundle};

pub fn alarm() -> Value {
    json!({"tool": "send_alarm", "arguments": {"house": 4, "level": "frost"}})
}

pub fn sensor() -> Value {
    json!({"tool": "read_sensor", "arguments": {"house": 4}})
}

pub async fn call(env: &TestEnv, gateway: usize, call: &str, body: &Value) -> Answer {
    http::put(env.url(gateway), &format!("/v1/programs/p1/calls/{call}"), body).await
}

pub async fn read(env: &TestEnv, call: &str) -> Answer {
    http::get(env.url(0), &format!("/v1/programs/p1/calls/{call}")).await
}

pub async fn env_with(engines: u64, gateways: u64) -> (TestEnv, Vec<AppEngine>) {
    let mut env = TestEnv::with(bundle(), GatewayMode::Full, gateways).await;
    let mut started = Vec::new();
    for run in 1..=engines {
        let engine = AppEngine::start(&format!("a{run}"), run).await;
        env.list_app(&engine, "v1", "z1");
        started.push(engine);
    }
    env.put_program("p1").await;
    (env, started)
}

pub fn runs(engines: &[AppEngine], call: &str) -> u32 {
    engines.iter().map(|e| e.runs(&format!("p1/{call}"))).sum()
}
