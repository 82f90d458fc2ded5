//! Measures real stores with commits of several sizes: processor time, syncs, log bytes and memory.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::try_join_all;
use hooklug_state::shard::ShardCommand;
use serde_json::json;
use tokio_util::sync::CancellationToken;

use super::fit::Observation;
use super::fleet_usage::UsageSpan;
use super::report::Report;
use super::report_slope;
use crate::hollow::{ClusterAccess, ProgramRecords, RecordWriter, TestCluster};

const EXPERIMENT: &str = "stores";
/// Number of concurrent writers and of token events in each of their commits, for each measurement.
const LOADS: [(usize, u64); 9] =
    [(1, 1), (4, 1), (16, 1), (64, 1), (4, 16), (16, 16), (64, 16), (16, 64), (64, 64)];
/// Warm-up before a span is measured.
const WARM_UP: Duration = Duration::from_millis(700);

struct Measurement {
    commits: f64,
    events: f64,
    span: UsageSpan,
}

/// Runs writers in closed loops against three stores and fits the costs.
pub(super) async fn run(report: &Report, span: Duration) -> anyhow::Result<()> {
    let cluster = TestCluster::start(3, 1).await?;
    let writer = RecordWriter::new(&ClusterAccess::of(&cluster.fleet)?)?;
    let idle = measure(&cluster, &writer, (0, 0), span).await?;
    let mut measurements = vec![idle];
    for load in LOADS {
        measurements.push(measure(&cluster, &writer, load, span).await?);
    }
    for measured in &measurements {
        let fields = json!({
            "experiment": EXPERIMENT,
            "commits": measured.commits,
            "events": measured.events,
            "span": measured.span,
        });
        report.line("observation", &fields)?;
    }
    let fitted = |cost: &str, of: &dyn Fn(&Measurement) -> f64| {
        let rate = |m: &Measurement, value: f64| value / m.span.seconds;
        let to_observation = |m: &Measurement| Observation {
            drivers: vec![rate(m, m.commits), rate(m, m.events)],
            cost: rate(m, of(m)),
        };
        let observations: Vec<_> = measurements.iter().map(to_observation).collect();
        let drivers = ["commit", "token event"];
        report_slope(report, (EXPERIMENT, "three stores", cost), &drivers, &observations)
    };
    fitted("cpu seconds", &|m| m.span.role("store").cpu_seconds)?;
    fit_syncs(report, &measurements)?;
    fitted("log bytes", &|m| m.span.role("store").log_bytes)?;
    fitted("syncs", &|m| m.span.role("store").syncs)?;
    fitted("rpc bytes sent", &|m| m.span.role("store").rpc_sent_bytes)?;
    fitted("rpc frames", &|m| m.span.role("store").rpc_frames)?;
    fitted("resident bytes", &|m| m.span.role("store").resident_bytes)
}

/// Fits processor time with syncs as a driver too: the more commits run at once, the more of them
/// share a sync.
fn fit_syncs(report: &Report, measurements: &[Measurement]) -> anyhow::Result<()> {
    let to_observation = |m: &Measurement| {
        let store = m.span.role("store");
        let drivers = [store.syncs, m.commits, m.events].map(|n| n / m.span.seconds);
        Observation { drivers: drivers.to_vec(), cost: store.cpu_seconds / m.span.seconds }
    };
    let observations: Vec<_> = measurements.iter().map(to_observation).collect();
    let drivers = ["sync", "commit", "token event"];
    report_slope(report, (EXPERIMENT, "three stores", "cpu seconds"), &drivers, &observations)
}

async fn measure(
    cluster: &TestCluster,
    writer: &RecordWriter,
    (writers, events): (usize, u64),
    span: Duration,
) -> anyhow::Result<Measurement> {
    let commits = Arc::new(AtomicU64::new(0));
    let stop = CancellationToken::new();
    let mut tasks = Vec::new();
    for n in 0..writers {
        let records = ProgramRecords::new(&format!("w{writers}e{events}"), n)?;
        let first = ShardCommand::Batch(vec![
            records.put_program()?,
            records.open_session()?,
            records.begin_turn(),
        ]);
        writer.execute(records.group(), &first).await?;
        let task = write_events(writer.clone(), records, events, commits.clone(), stop.clone());
        tasks.push(tokio::spawn(task));
    }
    tokio::time::sleep(WARM_UP).await;
    let before = cluster.read_usage().await?;
    let from = commits.load(Ordering::Relaxed);
    tokio::time::sleep(span).await;
    let after = cluster.read_usage().await?;
    let done = (commits.load(Ordering::Relaxed) - from) as f64;
    stop.cancel();
    for ended in try_join_all(tasks).await? {
        ended?;
    }
    Ok(Measurement { commits: done, events: done * events as f64, span: after.since(&before) })
}

async fn write_events(
    writer: RecordWriter,
    records: ProgramRecords,
    events: u64,
    commits: Arc<AtomicU64>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut next = 2;
    while !stop.is_cancelled() {
        writer.execute(records.group(), &records.append_events(next, events)).await?;
        next += events;
        commits.fetch_add(1, Ordering::Relaxed);
    }
    Ok(())
}
