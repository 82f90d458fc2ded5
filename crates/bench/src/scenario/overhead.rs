//! Measures the latency that hooklug adds to streams: the same model servers are used through
//! hooklug and directly.

use std::net::SocketAddr;
use std::time::Duration;

use hooklug_fleet::caller::{SessionRef, TurnRequest};
use hooklug_fleet::http::{Ask, HttpClient};
use hooklug_fleet::{Fleet, FleetError, ProcessKind, Topology};
use http::Method;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::burst::lift_tenant_limits;
use crate::oracle::evidence::{TurnClaim, TurnRecord};
use crate::report::{Goal, Measure, Section};
use crate::statistics::Percentiles;
use crate::workload::{Client, Profile, Recorder};

/// Maximum overhead of the first token, median and 95th percentile, in milliseconds (issue 5).
const FIRST_TOKEN_GOALS: (f64, f64) = (10.0, 25.0);
/// Maximum ratio of the time between tokens through hooklug to that of direct streams, 95th
/// percentile (issue 5).
const BETWEEN_GOAL: f64 = 1.15;
/// Tokens of each turn.
const TOKENS: u64 = 60;
/// Consecutive turns of each stream; the first is a warm-up.
const TURNS: u32 = 3;
/// Time over which the starts of streams are spread.
const RAMP: Duration = Duration::from_secs(2);

/// Latencies of a set of streams.
#[derive(Debug, Default)]
struct Times {
    first_ms: Vec<f64>,
    gaps_ms: Vec<f64>,
    failed: u64,
}

/// Measures the overhead with `streams` concurrent streams through hooklug, then as many direct
/// ones.
///
/// # Errors
/// If the fleet cannot be started.
pub async fn run(mut topology: Topology, streams: usize) -> Result<Section, FleetError> {
    let engines: usize = topology.models.iter().map(|g| g.engines).sum();
    let slots = streams.div_ceil(engines.max(1)) * 2;
    for group in &mut topology.models {
        group.slots = u32::try_from(slots).unwrap_or(u32::MAX);
    }
    let profile = Profile::of(&topology);
    let fleet = Fleet::start(topology).await?;
    lift_tenant_limits(&fleet).await?;
    let through = through(&fleet, &profile, streams).await;
    let direct = direct(&fleet, streams).await?;
    Ok(section(streams, &through, &direct))
}

async fn through(fleet: &Fleet, profile: &Profile, streams: usize) -> Times {
    let client = Client::new(fleet, Recorder::default());
    let mut running = JoinSet::new();
    for number in 0..streams {
        let (client, model) = (client.clone(), profile.model.clone());
        let delay = RAMP.mul_f64(number as f64 / streams as f64);
        running.spawn(async move {
            tokio::time::sleep(delay).await;
            one_through(&client, number, &model).await
        });
    }
    let mut times = Times::default();
    while let Some(ended) = running.join_next().await {
        for record in ended.unwrap_or_default() {
            if record.claim != TurnClaim::Ended("finished".to_owned()) {
                times.failed += 1;
            }
            times.first_ms.extend(record.first_token_ms);
            times.gaps_ms.extend(record.gaps_ms);
        }
    }
    times
}

/// Runs the turns of one session and returns the records of all but the first.
async fn one_through(client: &Client, number: usize, model: &str) -> Vec<TurnRecord> {
    let session = SessionRef::new(&format!("stream-{number}"), "s");
    let budget = TOKENS * u64::from(TURNS) * 2;
    let mut records = Vec::new();
    if client.declare(number, &session.program, budget, TOKENS).await.is_err()
        || client.open(number, &session, model, "p").await.is_err()
    {
        return records;
    }
    let mut after: Option<String> = None;
    for turn in 0..TURNS {
        let name = format!("t{turn}");
        let request =
            TurnRequest::new(&name, after.as_deref(), &format!("[tokens {TOKENS}]"), TOKENS);
        let record = client.run_turn(number, &session, &request).await;
        if turn > 0 {
            records.push(record);
        }
        after = Some(name);
    }
    records
}

async fn direct(fleet: &Fleet, streams: usize) -> Result<Times, FleetError> {
    let http = HttpClient::default();
    let servers: Vec<SocketAddr> = fleet
        .names(ProcessKind::Model)
        .into_iter()
        .map(|name| fleet.http_address(name))
        .collect::<Result<_, _>>()?;
    let mut running = JoinSet::new();
    for number in 0..streams {
        let (http, server) = (http.clone(), servers[number % servers.len()]);
        let delay = RAMP.mul_f64(number as f64 / streams as f64);
        running.spawn(async move {
            tokio::time::sleep(delay).await;
            one_direct(&http, server, number).await
        });
    }
    let mut times = Times::default();
    while let Some(ended) = running.join_next().await {
        let one = ended.unwrap_or_default();
        times.first_ms.extend(one.first_ms);
        times.gaps_ms.extend(one.gaps_ms);
        times.failed += one.failed;
    }
    Ok(times)
}

async fn one_direct(http: &HttpClient, server: SocketAddr, number: usize) -> Times {
    let mut times = Times::default();
    let mut context = Vec::new();
    let input = format!("[tokens {TOKENS}]");
    for turn in 0..TURNS {
        let body = json!({"session": format!("direct-{number}/s"), "turn": format!("t{turn}"),
            "prefix": "p", "max_tokens": TOKENS, "context": context, "input": input});
        let ask = Ask::json(Method::POST, "/generate", &body)
            .header("x-hooklug-request", format!("r-{number}-{turn}"));
        let mut one = Times::default();
        let text = generate(http, server, &ask, &mut one).await;
        context.push(json!({"role": "user", "text": input}));
        context.push(json!({"role": "assistant", "text": text.unwrap_or_default()}));
        if turn > 0 {
            times.first_ms.extend(one.first_ms);
            times.gaps_ms.extend(one.gaps_ms);
            times.failed += one.failed;
        }
    }
    times
}

/// Reads one generation directly from a model server. Returns its text, or `None` if it failed.
async fn generate(
    http: &HttpClient,
    server: SocketAddr,
    ask: &Ask,
    times: &mut Times,
) -> Option<String> {
    let sent = Instant::now();
    let Ok(answer) = http.open(server, ask).await else {
        times.failed += 1;
        return None;
    };
    let mut body = answer.into_body();
    let (mut last, mut all): (Option<Instant>, Vec<u8>) = (None, Vec::new());
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else { continue };
        let at = Instant::now();
        for _ in bytes.split(|b| *b == b'\n').filter(|l| contains_text(l)) {
            match last.replace(at) {
                None => times.first_ms.push((at - sent).as_secs_f64() * 1e3),
                Some(last) => times.gaps_ms.push((at - last).as_secs_f64() * 1e3),
            }
        }
        all.extend_from_slice(&bytes);
    }
    let lines = String::from_utf8_lossy(&all).into_owned();
    let values = lines.lines().filter_map(|l| serde_json::from_str::<serde_json::Value>(l).ok());
    Some(values.filter_map(|value| value["text"].as_str().map(str::to_owned)).collect())
}

fn contains_text(line: &[u8]) -> bool {
    line.windows(7).any(|part| part == b"\"text\":")
}

fn section(streams: usize, through: &Times, direct: &Times) -> Section {
    let of = |times: &[f64]| Percentiles::of(times.iter().copied());
    let (first, first_direct) = (of(&through.first_ms), of(&direct.first_ms));
    let (gap, gap_direct) = (of(&through.gaps_ms), of(&direct.gaps_ms));
    let measures = vec![
        Measure::new("first token's overhead, p50", first.p50 - first_direct.p50, "ms")
            .with_goal(Goal::AtMost(FIRST_TOKEN_GOALS.0)),
        Measure::new("first token's overhead, p95", first.p95 - first_direct.p95, "ms")
            .with_goal(Goal::AtMost(FIRST_TOKEN_GOALS.1)),
        Measure::new("between tokens by direct, p95", gap.p95 / gap_direct.p95, "")
            .with_goal(Goal::AtMost(BETWEEN_GOAL)),
        Measure::new("first token through hooklug, p50", first.p50, "ms"),
        Measure::new("first token directly, p50", first_direct.p50, "ms"),
        Measure::new("first token through hooklug, p95", first.p95, "ms"),
        Measure::new("first token directly, p95", first_direct.p95, "ms"),
        Measure::new("between tokens through hooklug, p95", gap.p95, "ms"),
        Measure::new("between tokens directly, p95", gap_direct.p95, "ms"),
        Measure::new("streams at once", streams as f64, ""),
        Measure::new("turns that failed through hooklug", through.failed as f64, "turns"),
        Measure::new("turns that failed directly", direct.failed as f64, "turns"),
        Measure::new("turns measured through hooklug", first.count as f64, "turns"),
    ];
    let load = crate::environment::load_averages();
    Section::Measures { name: "streams through hooklug and directly".to_owned(), measures, load }
}
