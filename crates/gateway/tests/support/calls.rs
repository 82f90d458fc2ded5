//! Calls as tests make them: one tool that may not be repeated, one that may.

use hooklug_settings::GatewayMode;
use serde_json::{Value, json};

use super::app_engine::AppEngine;
use super::http::{self, Answer};
use super::{World, bundle};

pub fn alarm() -> Value {
    json!({"tool": "send_alarm", "arguments": {"house": 4, "level": "frost"}})
}

pub fn sensor() -> Value {
    json!({"tool": "read_sensor", "arguments": {"house": 4}})
}

pub async fn call(world: &World, gateway: usize, call: &str, body: &Value) -> Answer {
    http::put(world.url(gateway), &format!("/v1/programs/p1/calls/{call}"), body).await
}

pub async fn read(world: &World, call: &str) -> Answer {
    http::get(world.url(0), &format!("/v1/programs/p1/calls/{call}")).await
}

pub async fn world_with(engines: u64, gateways: u64) -> (World, Vec<AppEngine>) {
    let mut world = World::with(bundle(), GatewayMode::Full, gateways).await;
    let mut started = Vec::new();
    for run in 1..=engines {
        let engine = AppEngine::start(&format!("a{run}"), run).await;
        world.list_app(&engine, "v1", "z1");
        started.push(engine);
    }
    world.put_program("p1").await;
    (world, started)
}

pub fn runs(engines: &[AppEngine], call: &str) -> u32 {
    engines.iter().map(|e| e.runs(&format!("p1/{call}"))).sum()
}
