//! Measures goodput and latency of repeatable calls at 0.8, 1 and 3 times the capacity of the
//! application engines, with the gateway in full mode and in plain mode.
//!
//! Run with `cargo run --release -p hooklug-gateway --example overload`. Requests are sent at fixed
//! instants independent of the responses (open loop). Everything runs in one process on loopback:
//! the results compare modes, not machines.

#[path = "../tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hooklug_emulator::{ApplicationEngine as App, ApplicationOptions, FakeBackend};
use hooklug_protocol::control::ApplicationEngine;
use hooklug_settings::GatewayMode;
use hooklug_types::ServiceName;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use support::{TestEnv, bundle, id, loopback};
use tokio::time::Instant;

const ENGINES: u32 = 3;
const SLOTS: u32 = 8;
const RUN_TIME: Duration = Duration::from_millis(20);
const DEADLINE: Duration = Duration::from_millis(500);
const SPAN: Duration = Duration::from_secs(8);
/// Responses in this first part are not counted, because the adaptive limits are still converging.
const WARM_UP: Duration = Duration::from_secs(2);

type Caller = Client<HttpConnector, Full<Bytes>>;

#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    good_ms: Vec<f64>,
    shed_ms: Vec<f64>,
    late: u64,
}

async fn start_env(mode: GatewayMode) -> (TestEnv, Vec<FakeBackend>) {
    let mut bundle = bundle();
    let farm = bundle.services.get_mut(&id::<ServiceName>("farm")).expect("service not listed");
    farm.queue_per_engine = 64;
    let mut env = TestEnv::with(bundle, mode, 1).await;
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let app = App::start(ApplicationOptions {
            listen: loopback(),
            service: id("farm"),
            engine: id(&format!("app-{number}")),
            version: id("v1"),
            run_time: RUN_TIME,
            slots: SLOTS,
            ledger: None,
        });
        let app = app.await.expect("failed to bind a port");
        let listed = ApplicationEngine {
            engine: app.identity().engine,
            incarnation: app.identity().incarnation,
            service: id("farm"),
            version: id("v1"),
            address: app.address(),
            zone: id("z1"),
            draining: false,
            healthy: true,
        };
        env.view.engines.insert(listed.engine.clone(), listed);
        engines.push(app);
    }
    env.publish();
    env.put_program("p1").await;
    (env, engines)
}

async fn send_call(
    caller: Caller,
    to: SocketAddr,
    number: u64,
    counted: bool,
    counts: Arc<Mutex<Counts>>,
) {
    let body = format!(
        r#"{{"tool":"read_sensor","arguments":{{"house":{number}}},"deadline_ms":{}}}"#,
        DEADLINE.as_millis()
    );
    let request = http::Request::put(format!("http://{to}/v1/programs/p1/calls/c{number}"))
        .header("x-hooklug-tenant", "dalatek")
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("invalid request");
    let started = Instant::now();
    let exchange = async {
        let response = caller.request(request).await.ok()?;
        let status = response.status().as_u16();
        response.into_body().collect().await.ok()?;
        Some(status)
    };
    let status = tokio::time::timeout(DEADLINE * 2, exchange).await.ok().flatten();
    let ms = started.elapsed().as_secs_f64() * 1000.0;
    if !counted {
        return;
    }
    let mut counts = counts.lock().expect("lock is poisoned");
    counts.sent += 1;
    match status {
        Some(200) if started.elapsed() <= DEADLINE => counts.good_ms.push(ms),
        Some(429 | 503) => counts.shed_ms.push(ms),
        _ => counts.late += 1,
    }
}

async fn generate_load(to: SocketAddr, per_second: f64) -> Counts {
    let caller: Caller = Client::builder(TokioExecutor::new()).build_http();
    let counts: Arc<Mutex<Counts>> = Arc::default();
    let (start, mut tasks) = (Instant::now(), tokio::task::JoinSet::new());
    let count = (per_second * SPAN.as_secs_f64()) as u64;
    for number in 0..count {
        let at = Duration::from_secs_f64(number as f64 / per_second);
        tokio::time::sleep_until(start + at).await;
        tasks.spawn(send_call(caller.clone(), to, number, at >= WARM_UP, counts.clone()));
    }
    while tasks.join_next().await.is_some() {}
    let mut counts = counts.lock().expect("lock is poisoned");
    std::mem::take(&mut *counts)
}

fn percentile(list: &mut [f64], share: f64) -> f64 {
    list.sort_by(f64::total_cmp);
    let place = ((list.len() as f64 * share) as usize).min(list.len().saturating_sub(1));
    list.get(place).copied().unwrap_or(f64::NAN)
}

#[tokio::main]
async fn main() {
    let capacity = f64::from(ENGINES * SLOTS) / RUN_TIME.as_secs_f64();
    println!("capacity {capacity:.0}/s; deadline {} ms", DEADLINE.as_millis());
    println!("mode   load  sent/s  good/s  good p50/p99 ms  shed/s  shed p50/p99 ms  late/s");
    for mode in [GatewayMode::Full, GatewayMode::Plain] {
        for times in [0.8, 1.0, 3.0] {
            let (env, _engines) = start_env(mode).await;
            let mut counts = generate_load(env.url(0), capacity * times).await;
            let seconds = (SPAN - WARM_UP).as_secs_f64();
            println!(
                "{:<6} {times:>3.1}x {:>7.0} {:>7.0}  {:>6.1} / {:>6.1}  {:>6.0}  {:>6.1} / {:>6.1}  {:>6.0}",
                format!("{mode:?}"),
                counts.sent as f64 / seconds,
                counts.good_ms.len() as f64 / seconds,
                percentile(&mut counts.good_ms, 0.5),
                percentile(&mut counts.good_ms, 0.99),
                counts.shed_ms.len() as f64 / seconds,
                percentile(&mut counts.shed_ms, 0.5),
                percentile(&mut counts.shed_ms, 0.99),
                counts.late as f64 / seconds,
            );
        }
    }
}
