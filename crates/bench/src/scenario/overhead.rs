//! Measures the latency that hooklug adds to streams: the same model servers are used through
//! hooklug and directly.

use std::net::SocketAddr;
use std::time::Duration;

use hooklug_fleet::caller::{SessionRef, TurnRequest};
use hooklug_fleet::http::{HttpClient, HttpRequest};
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
const FIRST_TOKEN_GOALS_MS: (f64, f64) = (10.0, 25.0);
/// Maximum ratio of the time between tokens through hooklug to that of direct streams, 95th
/// percentile (issue 5).
const TOKEN_GAP_RATIO_GOAL: f64 = 1.15;
/// Tokens of each turn.
const TURN_TOKENS: u64 = 60;
/// Consecutive turns of each stream; the first is a warm-up.
const TURNS: u32 = 3;
/// Time over which the starts of streams are spread.
const RAMP_TIME: Duration = Duration::from_secs(2);

/// Latencies of a set of streams.
#[derive(Debug, Default)]
struct StreamTimes {
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
    let through = run_through_hooklug(&fleet, &profile, streams).await;
    let direct = run_direct(&fleet, streams).await?;
    Ok(section(streams, &through, &direct))
}

async fn run_through_hooklug(fleet: &Fleet, profile: &Profile, streams: usize) -> StreamTimes {
    let client = Client::new(fleet, Recorder::default());
    let mut running = JoinSet::new();
    for number in 0..streams {
        let (client, model) = (client.clone(), profile.model.clone());
        let delay = RAMP_TIME.mul_f64(number as f64 / streams as f64);
        running.spawn(async move {
            tokio::time::sleep(delay).await;
            run_session(&client, number, &model).await
        });
    }
    let mut times = StreamTimes::default();
    while let Some(joined) = running.join_next().await {
        for record in joined.unwrap_or_default() {
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
async fn run_session(client: &Client, number: usize, model: &str) -> Vec<TurnRecord> {
    let session = SessionRef::new(&format!("stream-{number}"), "s");
    let budget = TURN_TOKENS * u64::from(TURNS) * 2;
    let mut records = Vec::new();
    if client.declare_program(number, &session.program, budget, TURN_TOKENS).await.is_err()
        || client.open_session(number, &session, model, "p").await.is_err()
    {
        return records;
    }
    let mut after: Option<String> = None;
    for turn in 0..TURNS {
        let name = format!("t{turn}");
        let request = TurnRequest::new(
            &name,
            after.as_deref(),
            &format!("[tokens {TURN_TOKENS}]"),
            TURN_TOKENS,
        );
        let record = client.run_turn(number, &session, &request).await;
        if turn > 0 {
            records.push(record);
        }
        after = Some(name);
    }
    records
}

async fn run_direct(fleet: &Fleet, streams: usize) -> Result<StreamTimes, FleetError> {
    let http = HttpClient::default();
    let servers: Vec<SocketAddr> = fleet
        .names(ProcessKind::Model)
        .into_iter()
        .map(|name| fleet.http_address(name))
        .collect::<Result<_, _>>()?;
    let mut running = JoinSet::new();
    for number in 0..streams {
        let (http, server) = (http.clone(), servers[number % servers.len()]);
        let delay = RAMP_TIME.mul_f64(number as f64 / streams as f64);
        running.spawn(async move {
            tokio::time::sleep(delay).await;
            run_direct_session(&http, server, number).await
        });
    }
    let mut times = StreamTimes::default();
    while let Some(joined) = running.join_next().await {
        let single = joined.unwrap_or_default();
        times.first_ms.extend(single.first_ms);
        times.gaps_ms.extend(single.gaps_ms);
        times.failed += single.failed;
    }
    Ok(times)
}

async fn run_direct_session(http: &HttpClient, server: SocketAddr, number: usize) -> StreamTimes {
    let mut times = StreamTimes::default();
    let mut context = Vec::new();
    let input = format!("[tokens {TURN_TOKENS}]");
    for turn in 0..TURNS {
        let body = json!({"session": format!("direct-{number}/s"), "turn": format!("t{turn}"),
            "prefix": "p", "max_tokens": TURN_TOKENS, "context": context, "input": input});
        let request = HttpRequest::json(Method::POST, "/generate", &body)
            .header("x-hooklug-request", format!("r-{number}-{turn}"));
        let mut single = StreamTimes::default();
        let text = generate(http, server, &request, &mut single).await;
        context.push(json!({"role": "user", "text": input}));
        context.push(json!({"role": "assistant", "text": text.unwrap_or_default()}));
        if turn > 0 {
            times.first_ms.extend(single.first_ms);
            times.gaps_ms.extend(single.gaps_ms);
            times.failed += single.failed;
        }
    }
    times
}

/// Reads one generation directly from a model server. Returns its text, or `None` if it failed.
async fn generate(
    http: &HttpClient,
    server: SocketAddr,
    request: &HttpRequest,
    times: &mut StreamTimes,
) -> Option<String> {
    let sent = Instant::now();
    let Ok(response) = http.open(server, request).await else {
        times.failed += 1;
        return None;
    };
    let mut body = response.into_body();
    let (mut last, mut all): (Option<Instant>, Vec<u8>) = (None, Vec::new());
    while let Some(Ok(frame)) = body.frame().await {
        let Ok(bytes) = frame.into_data() else { continue };
        let at = Instant::now();
        for _ in bytes.split(|b| *b == b'\n').filter(|l| is_text_line(l)) {
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

fn is_text_line(line: &[u8]) -> bool {
    line.windows(7).any(|part| part == b"\"text\":")
}

fn section(streams: usize, through: &StreamTimes, direct: &StreamTimes) -> Section {
    let percentiles = |times: &[f64]| Percentiles::of(times.iter().copied());
    let (first, first_direct) = (percentiles(&through.first_ms), percentiles(&direct.first_ms));
    let (gap, gap_direct) = (percentiles(&through.gaps_ms), percentiles(&direct.gaps_ms));
    let measures = vec![
        Measure::new("first token's overhead, p50", first.p50 - first_direct.p50, "ms")
            .with_goal(Goal::AtMost(FIRST_TOKEN_GOALS_MS.0)),
        Measure::new("first token's overhead, p95", first.p95 - first_direct.p95, "ms")
            .with_goal(Goal::AtMost(FIRST_TOKEN_GOALS_MS.1)),
        Measure::new("between tokens by direct, p95", gap.p95 / gap_direct.p95, "")
            .with_goal(Goal::AtMost(TOKEN_GAP_RATIO_GOAL)),
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
