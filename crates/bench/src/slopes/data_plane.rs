//! Measures a real gateway and engine with turns and tokens, and with many open sessions and
//! streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::{join_all, try_join_all};
use hooklug_fleet::caller::SessionRef;
use hooklug_fleet::caller::TurnRequest;
use hooklug_fleet::http::HttpClient;
use hooklug_fleet::{Caller, Fleet, ModelGroup, ModelPace, SeedChoice, Topology};
use hooklug_types::{ModelName, ServiceName, ServiceVersion, TenantId, UnixMillis, ZoneName};
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::fit::Observation;
use super::fleet_usage::{UsageReading, UsageSpan};
use super::report::Report;
use super::report_slope;

const EXPERIMENT: &str = "data plane";
/// Number of concurrent streams and of tokens per turn, for each measurement.
const LOADS: [(usize, u64); 11] = [
    (4, 4),
    (16, 4),
    (32, 4),
    (64, 4),
    (8, 40),
    (32, 40),
    (8, 200),
    (16, 200),
    (32, 200),
    (64, 200),
    (96, 200),
];
/// Warm-up before a span is measured.
const WARM_UP: Duration = Duration::from_millis(1_500);
/// Number of open sessions at each step.
const SESSION_STEPS: [usize; 5] = [0, 500, 1_000, 2_000, 4_000];
/// Number of open streams at each step.
const STREAM_STEPS: [usize; 5] = [0, 64, 128, 256, 400];
/// Tokens of a turn whose stream is kept open.
const LONG_TURN_TOKENS: u64 = 4_000;
/// Maximum number of concurrent requests.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Number of tenants that the load is spread over, so that none reaches its limits.
const TENANTS: usize = 64;
const MODEL: &str = "model-0";
const SLOTS: u32 = 1_024;

struct Measurement {
    turns: f64,
    tokens: f64,
    span: UsageSpan,
}

fn tenant(n: usize) -> String {
    format!("tenant-{}", n % TENANTS)
}

fn topology(pace: ModelPace) -> anyhow::Result<Topology> {
    let zones: Result<Vec<ZoneName>, _> = (1..=3).map(|n| ZoneName::new(format!("z{n}"))).collect();
    let tenants: Result<Vec<TenantId>, _> =
        (0..TENANTS).map(|n| TenantId::new(tenant(n))).collect();
    let group = ModelGroup {
        service: ServiceName::new(MODEL)?,
        model: ModelName::new(MODEL)?,
        version: ServiceVersion::new("v1")?,
        engines: 1,
        slots: SLOTS,
    };
    Ok(Topology {
        name: "slopes".to_owned(),
        zones: zones?,
        zone_delay_micros: 0,
        seeds: SeedChoice::default(),
        stores: 3,
        cores: 1,
        gateways: 1,
        tenants: tenants?,
        models: vec![group],
        applications: Vec::new(),
        pace,
        gateway_mode: hooklug_settings::GatewayMode::Full,
        platform_lag_ms: 1_000,
        keep_seconds: 86_400,
        grace_ms: 2_000,
    })
}

/// Runs turns in closed loops and fits the cost of a turn and of a token for each role.
pub(super) async fn run(report: &Report, span: Duration) -> anyhow::Result<()> {
    let pace = ModelPace { first_token_ms: 20, between_tokens_ms: 20, uncached_token_micros: 0 };
    let fleet = Fleet::start(topology(pace)?).await?;
    let http = HttpClient::default();
    let mut measurements = Vec::new();
    for (series, load) in LOADS.into_iter().enumerate() {
        let measured = measure(&fleet, &http, series, load, span).await?;
        let fields = json!({
            "experiment": EXPERIMENT,
            "streams": load.0,
            "tokens_a_turn": load.1,
            "turns": measured.turns,
            "tokens": measured.tokens,
            "span": measured.span,
        });
        report.line("observation", &fields)?;
        measurements.push(measured);
    }
    for role in ["gateway", "engine", "store", "core"] {
        let fitted = |cost: &str, of: &dyn Fn(&Measurement) -> f64| {
            let to_observation = |m: &Measurement| Observation {
                drivers: vec![m.turns / m.span.seconds, m.tokens / m.span.seconds],
                cost: of(m) / m.span.seconds,
            };
            let observations: Vec<_> = measurements.iter().map(to_observation).collect();
            report_slope(report, (EXPERIMENT, role, cost), &["turn", "token"], &observations)
        };
        fitted("cpu seconds", &|m| m.span.role(role).cpu_seconds)?;
        fitted("rpc bytes sent", &|m| m.span.role(role).rpc_sent_bytes)?;
        fitted("rpc frames", &|m| m.span.role(role).rpc_frames)?;
        fitted("log bytes", &|m| m.span.role(role).log_bytes)?;
        fitted("syncs", &|m| m.span.role(role).syncs)?;
        fitted("resident bytes", &|m| m.span.role(role).resident_bytes)?;
    }
    Ok(())
}

async fn open_session(caller: &Caller, session: &SessionRef) -> anyhow::Result<()> {
    let end = UnixMillis::now().plus(Duration::from_secs(3_600)).0;
    caller.put_program(0, &session.program, 1_000_000_000, end).await?;
    caller.open_session(0, session, MODEL, None).await?;
    Ok(())
}

async fn measure(
    fleet: &Fleet,
    http: &HttpClient,
    series: usize,
    (streams, tokens): (usize, u64),
    span: Duration,
) -> anyhow::Result<Measurement> {
    let completed = Arc::new((AtomicU64::new(0), AtomicU64::new(0)));
    let stop = CancellationToken::new();
    let mut tasks = Vec::new();
    for n in 0..streams {
        let caller = Caller::new(fleet.gateways(), &tenant(n));
        let session = SessionRef::new(&format!("load-{series}-{n}"), "main");
        open_session(&caller, &session).await?;
        let task = run_turns(caller, session, tokens, completed.clone(), stop.clone());
        tasks.push(tokio::spawn(task));
    }
    tokio::time::sleep(WARM_UP).await;
    let read_counts = || (completed.0.load(Ordering::Relaxed), completed.1.load(Ordering::Relaxed));
    let (before, from) = (UsageReading::read(fleet, http).await?, read_counts());
    tokio::time::sleep(span).await;
    let (after, to) = (UsageReading::read(fleet, http).await?, read_counts());
    stop.cancel();
    for ended in join_all(tasks).await {
        ended??;
    }
    Ok(Measurement {
        turns: (to.0 - from.0) as f64,
        tokens: (to.1 - from.1) as f64,
        span: after.since(&before),
    })
}

/// Runs one turn after another and counts tokens as they arrive.
async fn run_turns(
    caller: Caller,
    session: SessionRef,
    tokens: u64,
    completed: Arc<(AtomicU64, AtomicU64)>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut after: Option<String> = None;
    let mut number = 0;
    while !stop.is_cancelled() {
        let name = format!("t{number}");
        let input = format!("go on [tokens {tokens}]");
        let request = TurnRequest::new(&name, after.as_deref(), &input, tokens);
        let mut stream = caller.start_turn(0, &session, &request).await?;
        while let Some(event) = stream.next().await? {
            completed.1.fetch_add(event.data["count"].as_u64().unwrap_or(0), Ordering::Relaxed);
            if event.ends_turn() {
                break;
            }
        }
        completed.0.fetch_add(1, Ordering::Relaxed);
        (after, number) = (Some(name), number + 1);
    }
    Ok(())
}

/// Opens sessions, then streams, in steps, and fits the memory of each role.
pub(super) async fn sessions(report: &Report) -> anyhow::Result<()> {
    let pace = ModelPace { first_token_ms: 20, between_tokens_ms: 500, uncached_token_micros: 0 };
    let fleet = Fleet::start(topology(pace)?).await?;
    let http = HttpClient::default();
    let callers: Vec<Caller> =
        (0..TENANTS).map(|n| Caller::new(fleet.gateways(), &tenant(n))).collect();
    let name = |n: usize| SessionRef::new(&format!("session-{n}"), "main");
    let mut readings = Vec::new();
    let mut opened = 0;
    for step in SESSION_STEPS {
        let numbers: Vec<usize> = (opened..step).collect();
        for chunk in numbers.chunks(MAX_CONCURRENT_REQUESTS) {
            let names: Vec<_> = chunk.iter().map(|n| (&callers[n % TENANTS], name(*n))).collect();
            try_join_all(names.iter().map(|(caller, session)| open_session(caller, session)))
                .await?;
        }
        opened = step;
        readings.push((step, UsageReading::read(&fleet, &http).await?));
    }
    report_memory(report, "open sessions", "session with program and cached owner", &readings)?;
    let mut readings = Vec::new();
    let mut streams = Vec::new();
    for step in STREAM_STEPS {
        for n in streams.len()..step {
            let input = format!("go on [tokens {LONG_TURN_TOKENS}]");
            let request = TurnRequest::new("t0", None, &input, LONG_TURN_TOKENS);
            let mut stream = callers[n % TENANTS].start_turn(0, &name(n), &request).await?;
            stream.next().await?;
            streams
                .push(tokio::spawn(async move { while let Ok(Some(_)) = stream.next().await {} }));
        }
        readings.push((step, UsageReading::read(&fleet, &http).await?));
    }
    streams.iter().for_each(tokio::task::JoinHandle::abort);
    report_memory(report, "open streams", "open stream", &readings)
}

fn report_memory(
    report: &Report,
    experiment: &str,
    driver: &str,
    readings: &[(usize, UsageReading)],
) -> anyhow::Result<()> {
    for (count, reading) in readings {
        let fields = json!({"experiment": experiment, "count": count, "roles": reading.roles});
        report.line("observation", &fields)?;
    }
    for role in ["gateway", "engine", "store"] {
        let resident = |reading: &UsageReading| {
            reading.roles.get(role).map_or(0.0, |usage| usage.resident_bytes)
        };
        let to_observation = |(count, reading): &(usize, UsageReading)| Observation {
            drivers: vec![*count as f64],
            cost: resident(reading),
        };
        let observations: Vec<_> = readings.iter().map(to_observation).collect();
        report_slope(report, (experiment, role, "resident bytes"), &[driver], &observations)?;
    }
    Ok(())
}
